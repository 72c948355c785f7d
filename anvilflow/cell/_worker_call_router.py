"""Calls to one worker, made by other instances while the leader is short of link or processor."""

from msgspec import Struct

from ..exceptions import (
    NotReadyError,
    PayloadGoneError,
    PeerTimeoutError,
    PlatformError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from ._tables import has_payload
from ._worker_commands import (
    CommandOutcome,
    Verb,
    clock_of_answer,
    raise_failed,
    report_of_answer,
)

#: Other instances that are tried for an order before the leader makes the call itself.
MAX_RELAYS = 2

#: Labels of who makes a call.
_DIRECT = "direct"
_CARRIED = "carried"


class _Command(Struct):
    """One call on its way.

    Parameters
    ----------
    verb : Verb
    choose : callable
        Returns the instance that should carry the order, or None.
    direct : callable
        Makes the call from here.
    convert : callable
        Returns the call's result from a :class:`WorkerAnswer`.
    limit_s, held_s : float
        Wait for the worker's answer, beyond how long it may be held back. Unit: seconds.
    values : dict
        Fields of the :class:`WorkerOrder`.
    n_left : int
        Other instances that may still be tried.
    """

    verb: Verb
    choose: object
    direct: object
    convert: object
    limit_s: float
    held_s: float
    values: dict
    n_left: int = MAX_RELAYS


class WorkerCallRouter:
    """The interface of :class:`WorkerCalls`, with a choice of who makes each call.

    Parameters
    ----------
    direct : WorkerCalls
        Of the leader itself.
    info : WorkerInfo
    relay_dispatcher : RelayDispatcher
    context : CellContext

    Notes
    -----
    An order that was certainly not sent goes to the next relay, and at last out from here. A hold
    that a worker did not answer a relay is made once more from here: a relay that is cut off
    from its share of the workers must not make them look dark. A start without an answer may be at
    work, and is left to the session's own retries.
    """

    def __init__(self, *, direct, info, relay_dispatcher, context):
        self.direct = direct
        self.worker_id = info.worker_id
        self.timeout = direct.timeout
        self._address = info.address
        self._relay_dispatcher = relay_dispatcher
        self._context = context

    def renew_leases(self, *, seen, until_s, wait_s, timeout=None):
        """Renew the lease of all that runs, see :meth:`WorkerCalls.renew_leases`."""

        def renew_directly(held_s=wait_s):
            return self.direct.renew_leases(
                seen=seen, until_s=until_s, wait_s=held_s, timeout=timeout
            )

        until_ms = None if until_s is None else int(1000 * until_s)
        values = {"seen": seen, "until_ms": until_ms, "wait_ms": round(1000 * wait_s)}
        return self._send(
            self._command(
                Verb.HOLD, renew_directly, report_of_answer, timeout, values=values, held_s=wait_s
            )
        )

    def start(self, action, *, until_s, timeout=None):
        """Start a run, see :meth:`WorkerCalls.start`."""
        job_id = action.task.partition(".")[0]
        command = self._command(
            Verb.START,
            lambda: self._start_directly(action, job_id, until_s, timeout),
            clock_of_answer,
            timeout,
            values={
                "task": action.task,
                "run_id": action.run_id,
                "until_ms": int(1000 * until_s),
                "checkpoint": action.checkpoint or None,
                "ticket": action.ticket or None,
            },
        )
        command.choose = lambda: self._relay_dispatcher.for_start(self.worker_id, job_id)
        return self._send(command)

    def stop(self, action, *, timeout=None):
        """Stop a run, see :meth:`WorkerCalls.stop`."""
        values = {"task": action.task, "run_id": action.run_id}
        return self._send(
            self._command(
                Verb.STOP,
                lambda: self.direct.stop(action, timeout=timeout),
                _nothing_of_answer,
                timeout,
                values=values,
            )
        )

    def set_pace(self, action, *, timeout=None):
        """Change the pace of a run, see :meth:`WorkerCalls.set_pace`."""
        values = {"task": action.task, "run_id": action.run_id, "percent": action.percent}
        return self._send(
            self._command(
                Verb.PACE,
                lambda: self.direct.set_pace(action, timeout=timeout),
                _nothing_of_answer,
                timeout,
                values=values,
            )
        )

    def _command(self, verb, direct, convert, timeout, *, values, held_s=0.0):
        return _Command(
            verb=verb,
            choose=self._choose_holder,
            direct=direct,
            convert=convert,
            limit_s=self.timeout if timeout is None else timeout,
            held_s=held_s,
            values=values,
        )

    def _choose_holder(self):
        return self._relay_dispatcher.for_worker(self.worker_id)

    def _start_directly(self, action, job_id, until_s, timeout):
        if has_payload(action):
            return self.direct.start(action, until_s=until_s, timeout=timeout)
        done = self._context.payloads.find(job_id)
        done.addErrback(_no_payload)
        return done.addCallback(self._start_with, action, until_s, timeout)

    def _start_with(self, payload, action, until_s, timeout):
        action.payload = payload
        return self.direct.start(action, until_s=until_s, timeout=timeout)

    # One order on its way

    def _send(self, command):
        """Have an order carried out, or make the call; the Deferred fires with its result."""
        name = command.choose() if command.n_left else None
        if name is None:
            self._count(command, _DIRECT)
            return command.direct()
        command.n_left -= 1
        self._count(command, _CARRIED)
        done = self._relay_dispatcher.ask(
            name,
            command.verb,
            command.limit_s,
            held_s=command.held_s,
            token=self.direct.token,
            worker=self.worker_id,
            address=self._address,
            **command.values,
        )
        return done.addCallbacks(
            self._answered, self._unanswered, callbackArgs=(command, name), errbackArgs=(command,)
        )

    def _answered(self, answer, command, name):
        match answer.outcome:
            case CommandOutcome.DONE:
                return command.convert(answer)
            case CommandOutcome.NOT_SENT:
                self._relay_dispatcher.not_sent(name, answer.reason)
                return self._send(command)
            case CommandOutcome.UNANSWERED if command.verb is Verb.HOLD:
                self._count(command, _DIRECT)
                # The worker has held its answer back already, if it was reached.
                return command.direct(0.0).addCallback(self._relay_was_cut_off, name)
            case _:
                return raise_failed(answer)

    def _relay_was_cut_off(self, report, name):
        self._relay_dispatcher.rest(name, "does not reach a worker")
        return report

    def _unanswered(self, failure, command):
        if failure.check(NotReadyError):
            return self._send(command)
        failure.trap(PeerTimeoutError)
        if command.verb is Verb.HOLD:
            command.n_left = 0
            return self._send(command)
        raise WorkerUnreachableError(f"no answer of a carrier: {failure.value}") from failure.value

    def _count(self, command, route):
        self._context.meters.count("routes", command.verb.name, route)


def _nothing_of_answer(_):
    return None


def _no_payload(failure):
    failure.trap(PayloadGoneError, PlatformError)
    reason = "no payload" if failure.check(PayloadGoneError) else "unreached"
    raise WorkerRefusedError(str(failure.value), details={"reason": reason}) from failure.value
