"""The platform's list of live and leaving instances."""

from typing import Literal

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from ..exceptions import PlatformError, PlatformUnavailableError
from ..resources import Amounts
from ..utils import decode


class MemberInfo(Struct, kw_only=True):
    """One instance or worker on the list."""

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
    """The list as the platform last knew it."""

    members: list[MemberInfo]


class MembershipClient:
    """Reads the list over HTTP."""

    def __init__(self, *, http, address, timeout):
        self.http = http
        self.address = address
        self.timeout = timeout

    @inlineCallbacks
    def read(self):
        """Return the :class:`MembershipList`; AF402 without an answer."""
        try:
            status, body = yield self.http.post_json(
                f"http://{self.address}/members", {}, timeout=self.timeout
            )
        except Exception as exc:
            raise PlatformUnavailableError(f"the membership list gave no answer: {exc!r}") from exc
        if status != 200:
            raise PlatformUnavailableError(f"the membership list answered {status}")
        return decode(body, MembershipList, error=PlatformError)
