"""Execution of the leader's commands to workers by another instance, the relay."""

from collections import OrderedDict

from msgspec import Struct

from ..decisions import MessageAge
from ..exceptions import (
    AnvilflowError,
    PayloadGoneError,
    PlatformError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from ..jobs import SetPace, StartRun, StopRun, make_worker_id
from ..peers.gen.ttypes import WorkerAnswer
from ..runtime import Part
from ._fault_isolation import FaultIsolation
from ._worker_commands import (
    LATE,
    LEAVING,
    CommandOutcome,
    Verb,
    answer_from_error,
    answer_from_report,
    find_command_error,
)

#: Time for which answers are collected into one frame: reading a frame costs processor time, of
#: which the leader is short. Unit: seconds.
ANSWER_BATCH_S = 0.01

#: Number of workers for which a client is cached; the least recently used ones are evicted.
MAX_CACHED_WORKERS = 4_096

#: Errors of a command that an answer reports to the leader.
_PASSED_ERRORS = (WorkerRefusedError, WorkerUnreachableError, PayloadGoneError, PlatformError)


class WorkerEndpoint(Struct, kw_only=True, frozen=True):
    """Incarnation of a worker that commands are sent to; `born_ms` is None if it is not known."""

    registry_id: str
    address: str
    born_ms: int | None

    @property
    def worker_id(self):
        """Identity of the incarnation."""
        return make_worker_id(self.registry_id, self.born_ms)


class RelayPart(Part):
    """Executes the leader's commands to workers, each at once or not at all.

    Notes
    -----
    A command that has waited for longer than its time limit is not sent: the leader no longer
    expects an answer, and a late start would run after the leader has acted on the missing answer.
    Nor is a command of a former leader sent, if this instance has seen the successor's token;
    otherwise the worker's fence refuses it.
    """

    prefix = "carrier"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._clients = OrderedDict()
        self._answers = []
        self._token = 0
        self._link = None
        self._age = MessageAge()
        self._faults = FaultIsolation(log=self.log, meters=context.meters)

    def start(self):
        """Accept commands."""
        self.context.relay = self

    def stop(self):
        """Accept no further commands."""
        self.context.relay = None
        super().stop()

    def serve(self, link, command):
        """Execute a :class:`WorkerOrder` received over `link`, and answer over the same link."""
        reason = find_command_error(command)
        if reason is not None:
            self.context.meters.count("malformed_messages")
            self.log.warning("order not understood", home=link.peer.instance, error=reason)
            return
        expires_at = (
            self.now - self.record_message_age(link, command.sent_ms) + command.limit_ms / 1000
        )
        refusal = self._refusal(link, command, expires_at)
        if refusal is not None:
            self._answer(_not_sent(refusal), link, command)
            return
        self._token = _leader_token(command)
        done = self._faults.call_worker(
            command.worker, self._execute, link, command, expires_at, passes=_PASSED_ERRORS
        )
        done.addErrback(_failed)
        done.addCallback(self._answer, link, command)
        done.addErrback(self.fail_with)

    def _execute(self, link, command, expires_at):
        """Execute a command; the Deferred fires with the :class:`WorkerAnswer`."""
        if command.verb != Verb.START:
            return self._call(command)
        done = self.context.payloads.find(command.task.partition(".")[0])
        return done.addCallback(self._start, link, command, expires_at)

    def record_message_age(self, link, sent_ms):
        """Record a message of the leader; return for how long it was on its way. Unit: seconds."""
        if link is not self._link:
            self._link, self._age = link, MessageAge()
        return self._age.note(sent_ms / 1000, self.now)

    def _refusal(self, link, command, expires_at):
        """Return why a command is not executed, or None."""
        context = self.context
        checks = {
            LEAVING: context.leaving,
            "not from the home": context.links is None or link is not context.links.leader_link,
            "of a former home": _leader_token(command) < self._token,
            LATE: self.now >= expires_at,
        }
        return next((why for why, holds in checks.items() if holds), None)

    def _answer(self, answer, link, command):
        self.context.meters.count(
            "carried", Verb(command.verb).name, CommandOutcome(answer.outcome).name
        )
        answer.call = command.call
        if not self._answers:
            self.later(ANSWER_BATCH_S, self._send_answers)
        self._answers.append((link, answer))

    def _send_answers(self):
        answers, self._answers = self._answers, []
        for link, answer in answers:
            link.send(answer)

    def _start(self, payload, link, command, expires_at):
        # The time limit may have passed, or the leader changed, while the payload was read.
        refusal = self._refusal(link, command, expires_at)
        if refusal is not None:
            return _not_sent(refusal)
        action = StartRun(
            worker_id=command.worker,
            task=command.task,
            run_id=command.run_id,
            payload=payload,
            checkpoint=command.checkpoint or "",
            ticket=command.ticket or "",
        )
        done = self._client_for(command).start(
            action, until_s=command.until_ms / 1000, timeout=command.limit_ms / 1000
        )
        return done.addCallback(
            lambda clock_s: WorkerAnswer(
                outcome=CommandOutcome.DONE, clock_ms=round(1000 * clock_s)
            )
        )

    def _call(self, command):
        client = self._client_for(command)
        timeout = command.limit_ms / 1000
        match command.verb:
            case Verb.HOLD:
                done = client.renew_leases(
                    seen=command.seen,
                    until_s=None if command.until_ms is None else command.until_ms / 1000,
                    wait_s=(command.wait_ms or 0) / 1000,
                    timeout=timeout,
                )
                return done.addCallback(answer_from_report)
            case Verb.STOP:
                action = StopRun(
                    worker_id=command.worker, task=command.task, run_id=command.run_id, why=""
                )
                done = client.stop(action, timeout=timeout)
            case Verb.PACE:
                action = SetPace(
                    worker_id=command.worker,
                    task=command.task,
                    run_id=command.run_id,
                    percent=command.percent,
                )
                done = client.set_pace(action, timeout=timeout)
        return done.addCallback(lambda _: WorkerAnswer(outcome=CommandOutcome.DONE))

    def _client_for(self, command):
        endpoint = WorkerEndpoint(
            registry_id=command.worker, address=command.address, born_ms=command.born_ms
        )
        client = self._clients.get(endpoint)
        if client is None or client.token != command.token:
            client = self._clients[endpoint] = self.context.make_worker(endpoint, command.token)
        self._clients.move_to_end(endpoint)
        while len(self._clients) > MAX_CACHED_WORKERS:
            self._clients.popitem(last=False)
        return client


def _leader_token(command):
    """Return the token of the leader's claim; leaders of older releases send only the command's."""
    return command.token if command.home_token is None else command.home_token


def _not_sent(why):
    return WorkerAnswer(outcome=CommandOutcome.NOT_SENT, reason=why)


def _failed(failure):
    failure.trap(AnvilflowError)
    if failure.check(PayloadGoneError):
        return WorkerAnswer(outcome=CommandOutcome.NO_PAYLOAD, reason=str(failure.value))
    if failure.check(PlatformError):
        return _not_sent(f"payload not read: {failure.value}")
    return answer_from_error(failure.value)
