"""The in-memory HTTP client refuses the requests that the real client refuses."""

import pytest
from twisted.internet.task import Clock

from anvilflow.clients import InvalidRequestError
from anvilflow.standins._wire import WireNetwork

REFUSED = {
    "port out of range": ("http://10.9.9.9:99999/-/hold", b"i-0"),
    "IPv6 address without brackets": ("http://::1:80/-/hold", b"i-0"),
    "host that is not ASCII": ("http://h\u00f4te:80/-/hold", b"i-0"),
    "line break in a header": ("http://w0:1/-/hold", b"i-0\r\nx-y: z"),
}


@pytest.mark.parametrize(("url", "value"), REFUSED.values(), ids=REFUSED)
def test_request_that_cannot_be_built_is_not_sent(url, value):
    """Guards against a fault of the real client that no test in virtual time can see."""
    clock = Clock()
    clock.charge = lambda _: None
    client = WireNetwork(clock=clock).client("a0", clock)
    results = []
    call = client.post(url, b"", timeout=1.0, headers={b"x-expect-instance": [value]})
    call.addErrback(results.append)
    clock.advance(2.0)
    assert results[0].check(InvalidRequestError)
