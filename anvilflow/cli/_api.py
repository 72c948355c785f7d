"""HTTP client of the command line for the instances of a cell."""

import treq
from twisted.internet.defer import inlineCallbacks

from ..exceptions import AnvilflowError, CallError, PlatformUnavailableError
from ..settings import parse_address
from ..utils import decode_lenient, encode

_TIMEOUT_S = 15


class RemoteError(AnvilflowError):
    """Coded error returned by an instance."""

    def __init__(self, body):
        super().__init__(body["message"], details=body.get("details"))
        self.code = body["code"]
        self.exit_status = _EXIT_STATUS_BY_CODE.get(self.code, 1)


_KINDS: list[type[AnvilflowError]] = [
    kind for kind in AnvilflowError.__subclasses__() if kind is not RemoteError
]
_EXIT_STATUS_BY_CODE = {kind.code: kind.exit_status for kind in _KINDS}


class Api:
    """Calls the first reachable one of several instances.

    Parameters
    ----------
    addresses : str
        ``IP:PORT`` of instances, separated by commas.
    """

    def __init__(self, *, addresses):
        self.addresses = [str(parse_address(text.strip())) for text in addresses.split(",")]

    @inlineCallbacks
    def call(self, method, path, *, value=None, params=None, timeout=_TIMEOUT_S):
        """Send a call; the Deferred fires with the decoded answer, or fails with a coded error."""
        last_error = None
        for address in self.addresses:
            try:
                response = yield treq.request(
                    method,
                    f"http://{address}{path}",
                    data=encode(value) if value is not None else None,
                    params=params,
                    timeout=timeout,
                )
                body = yield treq.content(response)
            except Exception as exc:
                last_error = exc
                continue
            return _decoded(response.code, body)
        raise PlatformUnavailableError(
            f"no instance answered at {', '.join(self.addresses)}: {last_error!r}"
        )

    @inlineCallbacks
    def list_all(self, kind, *, customer=""):
        """Return all resources of a kind as ``{key: (revision, value)}`` and the revision."""
        found = {}
        after = ""
        while after is not None:
            params = {"after": after, "customer": customer}
            page = yield self.call("GET", f"/v1/resources/{kind}", params=params)
            for item in page["items"]:
                found[item["key"]] = (item["revision"], item["value"])
            after = page["next"]
        return found, page["revision"]


def _decoded(status, body):
    try:
        value = decode_lenient(body)
    except ValueError as exc:
        raise CallError(f"the answer is not JSON (HTTP status {status})") from exc
    if isinstance(value, dict) and "error" in value:
        raise RemoteError(value["error"])
    return value
