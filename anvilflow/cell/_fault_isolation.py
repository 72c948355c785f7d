"""Confinement of unexpected errors to the worker or registry entry that causes them."""

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from ..exceptions import (
    EntryFaultError,
    PlatformError,
    WorkerFaultError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from ..platform import decode_worker

#: Longest parts of a name, an error and a traceback in the log. Unit: characters.
MAX_LOGGED_NAME = 200
MAX_LOGGED_ERROR = 200
MAX_LOGGED_TRACEBACK = 2_000

#: Errors of a call to a worker that every caller handles.
_CALL_ERRORS = (WorkerRefusedError, WorkerUnreachableError)


class FaultIsolation:
    """Turns unexpected errors in the work for one worker or entry into errors with codes.

    The callers handle those as they handle a worker that does not respond, or an entry that names
    no worker. Each is logged once per worker or entry and counted each time.

    Parameters
    ----------
    log : Logger
    meters : Meters

    Notes
    -----
    Confined is only what changes no state that others share: calls to a worker up to their decoded
    answers, and the decoding of an entry. An error in the scheduler ends the leader's term. It may
    have left the scheduler's state inconsistent, and a decision from there could start a task
    twice, while the next leader reads its state anew.
    """

    def __init__(self, *, log, meters):
        self.log = log
        self.meters = meters
        self._logged = set()

    def call_worker(self, worker_id, call, *args, passes=_CALL_ERRORS, **values):
        """Make a call to a worker; any error besides `passes` becomes a WorkerFaultError.

        Parameters
        ----------
        worker_id : str
        call : callable
            Called with the further arguments; returns a Deferred or a result.
        passes : tuple of type
            Errors that are passed on.
        """
        done = maybeDeferred(call, *args, **values)
        return done.addErrback(self._call_failed, worker_id, passes)

    def _call_failed(self, failure, worker_id, passes):
        if failure.check(*passes):
            return failure
        self._note("worker", worker_id, failure)
        raise WorkerFaultError(f"error of a call: {failure.value!r:.200}") from failure.value

    def decode_entry(self, row):
        """Decode a registry entry, see :func:`decode_worker`; any error becomes a PlatformError."""
        try:
            return decode_worker(row.key, row.value)
        except PlatformError:
            raise
        except Exception as exc:
            self._note("entry", row.key, Failure())
            raise EntryFaultError(f"error of an entry: {exc!r:.200}") from exc

    def _note(self, unit, name, failure):
        self.meters.count("isolated_faults", unit)
        if (unit, name) in self._logged:
            return
        self._logged.add((unit, name))
        self.log.warning(
            "unexpected error set aside",
            unit=unit,
            name=name[:MAX_LOGGED_NAME],
            error=repr(failure.value)[:MAX_LOGGED_ERROR],
            traceback=failure.getTraceback()[-MAX_LOGGED_TRACEBACK:],
        )


class IsolatedCalls:
    """Calls to one worker whose unexpected errors are those of a worker without an answer.

    Parameters
    ----------
    calls : WorkerCallRouter
        Makes the calls; this class has the same interface.
    faults : FaultIsolation
    """

    def __init__(self, *, calls, faults):
        self.worker_id = calls.worker_id
        self.registry_id = calls.registry_id
        self.born_ms = calls.born_ms
        self.address = calls.address
        self.timeout = calls.timeout
        self._calls = calls
        self._faults = faults

    def renew_leases(self, **values):
        """Renew the leases of all runs, see :meth:`WorkerCalls.renew_leases`."""
        return self._faults.call_worker(self.worker_id, self._calls.renew_leases, **values)

    def start(self, action, **values):
        """Start a run, see :meth:`WorkerCalls.start`."""
        return self._faults.call_worker(self.worker_id, self._calls.start, action, **values)

    def stop(self, action, **values):
        """Stop a run, see :meth:`WorkerCalls.stop`."""
        return self._faults.call_worker(self.worker_id, self._calls.stop, action, **values)

    def set_pace(self, action, **values):
        """Change the pace of a run, see :meth:`WorkerCalls.set_pace`."""
        return self._faults.call_worker(self.worker_id, self._calls.set_pace, action, **values)
