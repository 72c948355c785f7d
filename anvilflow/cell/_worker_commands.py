"""Orders to workers as messages between instances, and what became of them."""

from enum import IntEnum

from ..exceptions import WorkerGoneError, WorkerRefusedError, WorkerUnreachableError
from ..jobs import RunEnd, RunReport, WorkerReport
from ..peers.gen.ttypes import ActiveRun, ListedEnd, WorkerAnswer


class Verb(IntEnum):
    """What an order has an instance do."""

    START = 1
    STOP = 2
    HOLD = 3
    PACE = 4


class CommandOutcome(IntEnum):
    """What became of an order.

    `NOT_SENT` and `NO_PAYLOAD` are of the relay: it has sent nothing, and will not.
    """

    DONE = 0
    REFUSED = 1
    GONE = 2
    UNANSWERED = 3
    NOT_SENT = 4
    NO_PAYLOAD = 5


#: Reasons for which a relay does not send an order: it is about to stop; the order's time is
#: over, which says more of the way to the relay than of the relay.
LEAVING = "leaving"
LATE = "late"

#: Fields without which an order of a verb cannot be carried out.
_NEEDED = {
    Verb.START: ("task", "run_id", "until_ms"),
    Verb.STOP: ("task", "run_id"),
    Verb.HOLD: ("seen",),
    Verb.PACE: ("task", "run_id", "percent"),
}


def find_flaw(command):
    """Return what keeps a :class:`WorkerOrder` from being carried out, or None."""
    if command.verb not in _NEEDED:
        return f"the verb {command.verb!r} is not known"
    needed = ("call", "token", "worker", "address", "limit_ms", "sent_ms", *_NEEDED[command.verb])
    missing = [name for name in needed if getattr(command, name) is None]
    return f"without {', '.join(missing)}" if missing else None


#: How a failed call is told, the more special kinds first.
_OUTCOME_OF_ERROR = (
    (WorkerGoneError, CommandOutcome.GONE),
    (WorkerRefusedError, CommandOutcome.REFUSED),
    (WorkerUnreachableError, CommandOutcome.UNANSWERED),
)

#: Reason of a worker's refusal where nobody listens at its address.
_NOBODY_LISTENS = "nobody listens"


def answer_of_report(report):
    """Return the :class:`WorkerAnswer` that tells a worker's :class:`WorkerReport`."""
    return WorkerAnswer(
        outcome=CommandOutcome.DONE,
        clock_ms=round(1000 * report.clock_s),
        active=[_active_run(run) for run in report.active] or None,
        ended=[_listed_end(end) for end in report.ended] or None,
    )


def answer_of_error(error):
    """Return the :class:`WorkerAnswer` that tells of a call to a worker that failed."""
    outcome = next(outcome for kind, outcome in _OUTCOME_OF_ERROR if isinstance(error, kind))
    details = error.details or {}
    reason = _NOBODY_LISTENS if details.get("nobody_listens") else details.get("reason")
    return WorkerAnswer(outcome=outcome, reason=reason or str(error))


def clock_of_answer(answer):
    """Return the worker's clock in an answer; one without it cannot be read."""
    if answer.clock_ms is None:
        raise WorkerUnreachableError("the carrier's answer cannot be read")
    return answer.clock_ms / 1000


def report_of_answer(answer):
    """Return the :class:`WorkerReport` in an answer; one that is not whole cannot be read."""
    clock_s = clock_of_answer(answer)
    rows = [*(answer.active or ()), *(answer.ended or ())]
    numbers = [end.number for end in answer.ended or ()]
    if any(row.task is None or row.run_id is None for row in rows) or None in numbers:
        raise WorkerUnreachableError("the carrier's answer cannot be read")
    return WorkerReport(
        clock_s=clock_s,
        active=tuple(_run_report(run) for run in answer.active or ()),
        ended=tuple(_run_end(end) for end in answer.ended or ()),
    )


def raise_failed(answer):
    """Raise what the answer of a relay tells of a call that failed; return one that did not."""
    match answer.outcome:
        case CommandOutcome.DONE:
            return answer
        case CommandOutcome.REFUSED if answer.reason == _NOBODY_LISTENS:
            details = {"reason": "unreached", "nobody_listens": True}
            raise WorkerRefusedError("nobody listens at the worker's address", details=details)
        case CommandOutcome.REFUSED:
            raise WorkerRefusedError(
                f"the worker refused: {answer.reason}", details={"reason": answer.reason}
            )
        case CommandOutcome.GONE:
            raise WorkerGoneError(answer.reason)
        case CommandOutcome.NOT_SENT:
            raise WorkerRefusedError(
                f"the carrier did not send it: {answer.reason}", details={"reason": "unreached"}
            )
        case CommandOutcome.NO_PAYLOAD:
            raise WorkerRefusedError(answer.reason, details={"reason": "no payload"})
        case _:
            raise WorkerUnreachableError(answer.reason or "the carrier had no answer")


def _active_run(run):
    return ActiveRun(
        task=run.task,
        run_id=run.run_id,
        checkpoint=run.checkpoint or None,
        percent=round(run.percent),
        load=run.load or None,
    )


def _run_report(run):
    return RunReport(
        task=run.task,
        run_id=run.run_id,
        checkpoint=run.checkpoint or "",
        percent=float(run.percent or 0),
        load=run.load or 0.0,
    )


def _listed_end(end):
    return ListedEnd(
        number=end.number,
        task=end.task,
        run_id=end.run_id,
        how=end.how,
        checkpoint=end.checkpoint or None,
    )


def _run_end(end):
    return RunEnd(
        number=end.number,
        task=end.task,
        run_id=end.run_id,
        how=end.how,
        checkpoint=end.checkpoint or "",
    )
