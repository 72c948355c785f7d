"""HTTP server of the stand-ins."""

import msgspec
from klein import Klein
from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Site

from ..exceptions import AnvilflowError
from ..utils import decode_lenient, encode

#: Paths of the calls that change nothing.
_READS = {"read", "scan", "members"}


def listen(reactor, app, host, port=0):
    """Serve a klein app; return the listening port."""
    return reactor.listenTCP(port, Site(app.resource()), interface=host, backlog=512)


def make_app(routes, faults):
    """Return a klein app that calls ``routes[path](value)`` through the fault switches."""
    app = Klein()
    for path, act in routes.items():
        app.route(f"/{path}", methods=["POST"], endpoint=path)(_endpoint(path, act, faults))
    return app


def _endpoint(path, act, faults):
    @inlineCallbacks
    def endpoint(request):
        try:
            value = decode_lenient(request.content.read())
            result = yield faults.around(act, value, changes=path not in _READS)
            return encode(result)
        except AnvilflowError as exc:
            request.setResponseCode(exc.http_status)
            return encode(exc.to_dict())
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            request.setResponseCode(400)
            return encode({"message": repr(exc)})

    return endpoint
