"""A client's HTTP call to a front resource, without a socket."""

from io import BytesIO

from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from ..utils import decode_lenient


class FrontCall:
    """The part of Twisted's request interface that a front resource uses.

    `headers` are the request's headers, each with the list of its values. `answers` receives
    ``(status, value, headers)`` when the resource finishes the response.
    """

    def __init__(self, *, method, host, path, body, headers=()):
        self.requestHeaders = Headers(dict(headers))
        self.method = method.encode("latin-1")
        self.path = path.encode()
        self.content = BytesIO(body)
        self.answers = []
        self._host = host.encode()
        self._status = 200
        self._headers = {}
        self._body = b""

    def getRequestHostname(self):
        """Return the host name of the request."""
        return self._host

    def notifyFinish(self):
        """Return a Deferred that never fires: this client does not disconnect."""
        return Deferred()

    def setResponseCode(self, status):
        """Record the status."""
        self._status = status

    def setHeader(self, name, value):
        """Record a header."""
        self._headers[name] = value

    def write(self, data):
        """Append data to the body."""
        self._body += data

    def finish(self):
        """Append the complete response to `answers`."""
        self.answers.append((self._status, decode_lenient(self._body), self._headers))
