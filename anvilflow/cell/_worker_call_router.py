"""Calls to one worker, made by relays while the leader is short of link or processor."""

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
    clock_from_answer,
    raise_for_outcome,
    report_from_answer,
)

#: Number of relays that are tried for a command before the leader makes the call itself.
MAX_RELAYS = 2

#: Values of the metric label `route`.
_DIRECT = "direct"
_RELAYED = "carried"


class _Command(Struct):
    """A call to the worker in progress.

    Parameters
    ----------
    verb : Verb
    choose : callable
        Returns the name of the relay for the command, or None.
    direct : callable
        Makes the call from the leader.
    convert : callable
        Returns the call's result from a :class:`WorkerAnswer`.
    limit_s, held_s : float
        `held_s` is the time for which the worker may delay its answer, `limit_s` the timeout beyond
        that time. Unit: seconds.
    values : dict
        Fields of the :class:`WorkerOrder`.
    n_left : int
        Number of relays that may still be tried.
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
    """Makes each call to a worker over a relay or directly; interface of :class:`WorkerCalls`.

    Parameters
    ----------
    direct : WorkerCalls
        Makes the leader's own calls.
    info : WorkerInfo
    relay_dispatcher : RelayDispatcher
    context : CellContext

    Notes
    -----
    A command that was certainly not sent goes to the next relay, and finally the leader makes the
    call itself. When a relay gets no answer to a lease renewal, the leader repeats the renewal
    directly: a relay that is cut off from its share of the workers must not make them appear
    unreachable. A start without an answer may be running, and is retried by the session only.
    """

    def __init__(self, *, direct, info, relay_dispatcher, context):
        self.direct = direct
        self.worker_id = info.worker_id
        self.born_ms = info.born_ms
        self.timeout = direct.timeout
        self.registry_id = info.registry_id
        self.address = info.address
        self._relay_dispatcher = relay_dispatcher
        self._context = context

    def renew_leases(self, *, seen, until_s, wait_s, timeout=None):
        """Renew the leases of all runs, see :meth:`WorkerCalls.renew_leases`."""

        def renew_directly(held_s=wait_s):
            return self.direct.renew_leases(
                seen=seen, until_s=until_s, wait_s=held_s, timeout=timeout
            )

        until_ms = None if until_s is None else int(1000 * until_s)
        values = {"seen": seen, "until_ms": until_ms, "wait_ms": round(1000 * wait_s)}
        return self._send(
            self._command(
                Verb.HOLD, renew_directly, report_from_answer, timeout, values=values, held_s=wait_s
            )
        )

    def start(self, action, *, until_s, timeout=None):
        """Start a run, see :meth:`WorkerCalls.start`."""
        job_id = action.task.partition(".")[0]
        command = self._command(
            Verb.START,
            lambda: self._start_directly(action, job_id, until_s, timeout),
            clock_from_answer,
            timeout,
            values={
                "task": action.task,
                "run_id": action.run_id,
                "until_ms": int(1000 * until_s),
                "checkpoint": action.checkpoint or None,
                "ticket": action.ticket or None,
            },
        )
        command.choose = lambda: self._relay_dispatcher.relay_for_start(self.worker_id, job_id)
        return self._send(command)

    def stop(self, action, *, timeout=None):
        """Stop a run, see :meth:`WorkerCalls.stop`."""
        values = {"task": action.task, "run_id": action.run_id}
        return self._send(
            self._command(
                Verb.STOP,
                lambda: self.direct.stop(action, timeout=timeout),
                _no_result,
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
                _no_result,
                timeout,
                values=values,
            )
        )

    def _command(self, verb, direct, convert, timeout, *, values, held_s=0.0):
        return _Command(
            verb=verb,
            choose=self._choose_relay,
            direct=direct,
            convert=convert,
            limit_s=self.timeout if timeout is None else timeout,
            held_s=held_s,
            values=values,
        )

    def _choose_relay(self):
        return self._relay_dispatcher.relay_for_worker(self.worker_id)

    def _start_directly(self, action, job_id, until_s, timeout):
        if has_payload(action):
            return self.direct.start(action, until_s=until_s, timeout=timeout)
        done = self._context.payloads.find(job_id)
        done.addErrback(_raise_no_payload)
        return done.addCallback(self._start_with, action, until_s, timeout)

    def _start_with(self, payload, action, until_s, timeout):
        action.payload = payload
        return self.direct.start(action, until_s=until_s, timeout=timeout)

    # Sending of a command

    def _send(self, command):
        """Send a command over a relay or directly; the Deferred fires with the call's result."""
        name = command.choose() if command.n_left else None
        if name is None:
            self._count(command, _DIRECT)
            return command.direct()
        command.n_left -= 1
        self._count(command, _RELAYED)
        done = self._relay_dispatcher.send_command(
            name,
            command.verb,
            command.limit_s,
            held_s=command.held_s,
            token=self.direct.token,
            worker=self.registry_id,
            address=self.address,
            born_ms=self.born_ms,
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
                self._relay_dispatcher.command_not_sent(name, answer.reason)
                return self._send(command)
            case CommandOutcome.UNANSWERED if command.verb is Verb.HOLD:
                self._count(command, _DIRECT)
                # If the worker was reached, it has already delayed its answer; no second delay.
                return command.direct(0.0).addCallback(self._relay_was_cut_off, name)
            case _:
                return raise_for_outcome(answer)

    def _relay_was_cut_off(self, report, name):
        self._relay_dispatcher.back_off(name, "does not reach a worker")
        return report

    def _unanswered(self, failure, command):
        if failure.check(NotReadyError):
            return self._send(command)
        failure.trap(PeerTimeoutError)
        if command.verb is Verb.HOLD:
            command.n_left = 0
            return self._send(command)
        raise WorkerUnreachableError(
            f"no answer from the relay: {failure.value}"
        ) from failure.value

    def _count(self, command, route):
        self._context.meters.count("routes", command.verb.name, route)


def _no_result(_):
    return None


def _raise_no_payload(failure):
    failure.trap(PayloadGoneError, PlatformError)
    reason = "no payload" if failure.check(PayloadGoneError) else "unreached"
    raise WorkerRefusedError(str(failure.value), details={"reason": reason}) from failure.value
