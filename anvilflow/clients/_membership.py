"""Client of the platform's membership list."""

from typing import Literal

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PlatformUnavailableError
from ..resources import Amounts
from ..utils import decode


class MemberInfo(Struct, kw_only=True):
    """An instance or worker on the membership list."""

    name: str
    role: Literal["instance", "worker"]
    address: str
    failure_domain: str
    rack: str = ""
    state: Literal["live", "leaving"] = "live"
    operators: str = ""
    callers: str = ""
    capacity: Amounts | None = None


class MembershipList(Struct, kw_only=True):
    """The membership list as the platform returned it."""

    members: list[MemberInfo]


class MembershipClient:
    """Reads the membership list over HTTP.

    Parameters
    ----------
    http : HttpClient
    address : str
    timeout : float
        Timeout of a call. Unit: seconds.
    """

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout

    @inlineCallbacks
    def read(self):
        """Return the :class:`MembershipList`; AF402 if there is no response."""
        try:
            status, body = yield self.http.post_json(
                f"http://{self.address}/members", {}, timeout=self.timeout
            )
        except Exception as exc:
            raise PlatformUnavailableError(
                f"no response from the membership list: {exc!r}"
            ) from exc
        if status != 200:
            raise PlatformUnavailableError(f"the membership list responded with status {status}")
        return decode(body, MembershipList, error=PlatformError)
