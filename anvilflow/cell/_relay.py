"""Makes calls to workers for the leader: an instance as a relay."""

from collections import OrderedDict

from msgspec import Struct

from ..decisions import MessageAge
from ..exceptions import AnvilflowError, PayloadGoneError, PlatformError
from ..jobs import SetPace, StartRun, StopRun
from ..peers.gen.ttypes import WorkerAnswer
from ..runtime import Part
from ._worker_commands import (
    LATE,
    LEAVING,
    CommandOutcome,
    Verb,
    answer_of_error,
    answer_of_report,
    find_flaw,
)

#: Time for which answers are gathered for one frame: the leader, which is short of processor, pays
#: for each frame that it reads. Unit: seconds.
GATHER_S = 0.01

#: Workers whose calls are kept ready, the ones used last.
MAX_WORKERS = 4_096


class WorkerEndpoint(Struct, kw_only=True):
    """Where a worker is."""

    worker_id: str
    address: str


class RelayPart(Part):
    """Carries out the orders of the leader to workers, each at once or not at all.

    Notes
    -----
    An order that has waited for longer than its time limit is not sent: the leader has given it up,
    and a start would begin after all that followed from that. So is one of a leader that another
    one has followed, as far as this instance has heard; the worker's fence refuses the rest.
    """

    prefix = "carrier"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._calls = OrderedDict()
        self._answers = []
        self._token = 0
        self._link = None
        self._age = MessageAge()

    def start(self):
        """Take orders."""
        self.context.relay = self

    def stop(self):
        """Take no more."""
        self.context.relay = None
        super().stop()

    def serve(self, link, command):
        """Carry out a :class:`WorkerOrder` that came over `link`, and answer over it."""
        flaw = find_flaw(command)
        if flaw is not None:
            self.context.meters.count("malformed_messages")
            self.log.warning("order not understood", home=link.peer.instance, error=flaw)
            return
        give_up_at = self.now - self.heard(link, command.sent_ms) + command.limit_ms / 1000
        refusal = self._refusal(link, command, give_up_at)
        if refusal is not None:
            self._answer(_not_sent(refusal), link, command)
            return
        self._token = command.token
        if command.verb == Verb.START:
            job_id = command.task.partition(".")[0]
            done = self.context.payloads.find(job_id)
            done.addCallback(self._start, link, command, give_up_at)
        else:
            done = self._call(command)
        done.addErrback(_failed)
        done.addCallback(self._answer, link, command)
        done.addErrback(self.fail_with)

    def heard(self, link, sent_ms):
        """Return for how long a message of the leader was on its way. Unit: seconds."""
        if link is not self._link:
            self._link, self._age = link, MessageAge()
        return self._age.note(sent_ms / 1000, self.now)

    def _refusal(self, link, command, give_up_at):
        """Return why an order is not carried out, or None."""
        context = self.context
        checks = {
            LEAVING: context.leaving,
            "not from the home": context.links is None or link is not context.links.leader_link,
            "of a former home": command.token < self._token,
            LATE: self.now >= give_up_at,
        }
        return next((why for why, holds in checks.items() if holds), None)

    def _answer(self, answer, link, command):
        self.context.meters.count(
            "carried", Verb(command.verb).name, CommandOutcome(answer.outcome).name
        )
        answer.call = command.call
        if not self._answers:
            self.later(GATHER_S, self._send_answers)
        self._answers.append((link, answer))

    def _send_answers(self):
        answers, self._answers = self._answers, []
        for link, answer in answers:
            link.send(answer)

    def _start(self, payload, link, command, give_up_at):
        # Reading the payload may have taken a while.
        refusal = self._refusal(link, command, give_up_at)
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
        done = self._calls_to(command).start(
            action, until_s=command.until_ms / 1000, timeout=command.limit_ms / 1000
        )
        return done.addCallback(
            lambda clock_s: WorkerAnswer(
                outcome=CommandOutcome.DONE, clock_ms=round(1000 * clock_s)
            )
        )

    def _call(self, command):
        calls = self._calls_to(command)
        timeout = command.limit_ms / 1000
        match command.verb:
            case Verb.HOLD:
                done = calls.renew_leases(
                    seen=command.seen,
                    until_s=None if command.until_ms is None else command.until_ms / 1000,
                    wait_s=(command.wait_ms or 0) / 1000,
                    timeout=timeout,
                )
                return done.addCallback(answer_of_report)
            case Verb.STOP:
                action = StopRun(
                    worker_id=command.worker, task=command.task, run_id=command.run_id, why=""
                )
                done = calls.stop(action, timeout=timeout)
            case Verb.PACE:
                action = SetPace(
                    worker_id=command.worker,
                    task=command.task,
                    run_id=command.run_id,
                    percent=command.percent,
                )
                done = calls.set_pace(action, timeout=timeout)
        return done.addCallback(lambda _: WorkerAnswer(outcome=CommandOutcome.DONE))

    def _calls_to(self, command):
        key = (command.worker, command.address)
        calls = self._calls.get(key)
        if calls is None or calls.token != command.token:
            place = WorkerEndpoint(worker_id=command.worker, address=command.address)
            calls = self._calls[key] = self.context.make_worker(place, command.token)
        self._calls.move_to_end(key)
        while len(self._calls) > MAX_WORKERS:
            self._calls.popitem(last=False)
        return calls


def _not_sent(why):
    return WorkerAnswer(outcome=CommandOutcome.NOT_SENT, reason=why)


def _failed(failure):
    failure.trap(AnvilflowError)
    if failure.check(PayloadGoneError):
        return WorkerAnswer(outcome=CommandOutcome.NO_PAYLOAD, reason=str(failure.value))
    if failure.check(PlatformError):
        return _not_sent(f"payload not read: {failure.value}")
    return answer_of_error(failure.value)
