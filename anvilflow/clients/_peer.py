"""Check of the process that a connection leads to."""

from msgspec import Struct


class Peer(Struct, kw_only=True, frozen=True):
    """The process that a call is meant for, and how it is recognized over a new connection.

    Parameters
    ----------
    name : str
        Distinguishes the processes that listen at one address, one after the other.
    url : str
    body : bytes
    headers : dict
        The request that is sent first over each new connection. It must be harmless for any process
        at the address.
    check : callable
        Called with the status and the body of its response; raises an error if the response is not
        that of the process.
    """

    name: str
    url: str
    body: bytes
    headers: dict
    check: object
