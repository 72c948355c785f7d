"""A client's call without a socket."""

from io import BytesIO

from twisted.internet.defer import Deferred

from ..utils import decode_lenient


class FrontCall:
    """What a front resource needs of a request; `answers` gets ``(status, value, headers)``."""

    def __init__(self, *, method, host, path, body):
        self.method = method.encode()
        self.path = path.encode()
        self.content = BytesIO(body)
        self.answers = []
        self._host = host.encode()
        self._status = 200
        self._headers = {}
        self._body = b""

    def getRequestHostname(self):
        """Return the host that the client named."""
        return self._host

    def notifyFinish(self):
        """Return a Deferred that never fires: this client does not go away."""
        return Deferred()

    def setResponseCode(self, status):
        """Note the status."""
        self._status = status

    def setHeader(self, name, value):
        """Note a header."""
        self._headers[name] = value

    def write(self, data):
        """Note a part of the body."""
        self._body += data

    def finish(self):
        """Hand the answer over."""
        self.answers.append((self._status, decode_lenient(self._body), self._headers))
