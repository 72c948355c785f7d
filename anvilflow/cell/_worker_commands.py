"""Messages between instances for commands to workers, and their outcomes."""

from enum import IntEnum

from ..exceptions import WorkerGoneError, WorkerRefusedError, WorkerUnreachableError
from ..jobs import RunEnd, RunReport, WorkerReport
from ..peers.gen.ttypes import ActiveRun, ListedEnd, WorkerAnswer


class Verb(IntEnum):
    """Kind of a command."""

    START = 1
    STOP = 2
    HOLD = 3
    PACE = 4


class CommandOutcome(IntEnum):
    """Outcome of a command.

    `NOT_SENT` and `NO_PAYLOAD` mean that the relay has not sent the command, and will not send it.
    """

    DONE = 0
    REFUSED = 1
    GONE = 2
    UNANSWERED = 3
    NOT_SENT = 4
    NO_PAYLOAD = 5


#: Reasons why a relay does not send a command: the relay is about to stop; the command's time limit
#: has passed, which points to a slow path to the relay rather than to a fault of the relay.
LEAVING = "leaving"
LATE = "late"

#: Fields that a command needs, by its verb.
_REQUIRED_FIELDS = {
    Verb.START: ("task", "run_id", "until_ms"),
    Verb.STOP: ("task", "run_id"),
    Verb.HOLD: ("seen",),
    Verb.PACE: ("task", "run_id", "percent"),
}


def find_command_error(command):
    """Return why a :class:`WorkerOrder` is invalid, or None if it is valid."""
    if command.verb not in _REQUIRED_FIELDS:
        return f"the verb {command.verb!r} is not known"
    required = (
        "call",
        "token",
        "worker",
        "address",
        "limit_ms",
        "sent_ms",
        *_REQUIRED_FIELDS[command.verb],
    )
    missing = [name for name in required if getattr(command, name) is None]
    return f"without {', '.join(missing)}" if missing else None


#: Outcomes of failed calls by error class; subclasses stand before their base classes.
_OUTCOME_OF_ERROR = (
    (WorkerGoneError, CommandOutcome.GONE),
    (WorkerRefusedError, CommandOutcome.REFUSED),
    (WorkerUnreachableError, CommandOutcome.UNANSWERED),
)

#: Start time in an answer from a worker that has started again and states no valid one.
_NO_START_TIME = -1

#: Reason in an answer when the connection to the worker's address was refused.
_CONNECTION_REFUSED = "nobody listens"


def answer_from_report(report):
    """Return the :class:`WorkerAnswer` with the contents of a :class:`WorkerReport`."""
    return WorkerAnswer(
        outcome=CommandOutcome.DONE,
        clock_ms=round(1000 * report.clock_s),
        active=[_active_run(run) for run in report.active] or None,
        ended=[_listed_end(end) for end in report.ended] or None,
        born_ms=report.born_ms,
    )


def answer_from_error(error):
    """Return the :class:`WorkerAnswer` for a failed call to a worker."""
    outcome = next(outcome for kind, outcome in _OUTCOME_OF_ERROR if isinstance(error, kind))
    details = error.details or {}
    reason = _CONNECTION_REFUSED if details.get("nobody_listens") else details.get("reason")
    born_ms = None
    if "born_ms" in details:
        born_ms = _NO_START_TIME if details["born_ms"] is None else details["born_ms"]
    return WorkerAnswer(outcome=outcome, reason=reason or str(error), born_ms=born_ms)


def clock_from_answer(answer):
    """Return the worker's clock from an answer; raise if it is missing. Unit: seconds."""
    if answer.clock_ms is None:
        raise WorkerUnreachableError("the relay's answer has no time of the worker's clock")
    return answer.clock_ms / 1000


def report_from_answer(answer):
    """Return the :class:`WorkerReport` from an answer; raise if a field is missing."""
    clock_s = clock_from_answer(answer)
    rows = [*(answer.active or ()), *(answer.ended or ())]
    ends = [value for end in answer.ended or () for value in (end.number, end.how)]
    if any(row.task is None or row.run_id is None for row in rows) or None in ends:
        raise WorkerUnreachableError("the relay's answer has a run or end without a required field")
    return WorkerReport(
        clock_s=clock_s,
        active=tuple(_run_report(run) for run in answer.active or ()),
        ended=tuple(_run_end(end) for end in answer.ended or ()),
        born_ms=answer.born_ms,
    )


def raise_for_outcome(answer):
    """Raise the error that a relay's answer reports; return an answer that reports success."""
    match answer.outcome:
        case CommandOutcome.DONE:
            return answer
        case CommandOutcome.REFUSED if answer.reason == _CONNECTION_REFUSED:
            details = {"reason": "unreached", "nobody_listens": True}
            raise WorkerRefusedError("nobody listens at the worker's address", details=details)
        case CommandOutcome.REFUSED:
            raise WorkerRefusedError(
                f"the worker refused: {answer.reason}", details={"reason": answer.reason}
            )
        case CommandOutcome.GONE if answer.born_ms is not None:
            born_ms = None if answer.born_ms == _NO_START_TIME else answer.born_ms
            raise WorkerGoneError(answer.reason, details={"born_ms": born_ms})
        case CommandOutcome.GONE:
            # A relay of an older release: another worker answers at the address.
            raise WorkerRefusedError(answer.reason, details={"reason": "misdirected"})
        case CommandOutcome.NOT_SENT:
            raise WorkerRefusedError(
                f"the relay did not send the command: {answer.reason}",
                details={"reason": "unreached"},
            )
        case CommandOutcome.NO_PAYLOAD:
            raise WorkerRefusedError(answer.reason, details={"reason": "no payload"})
        case _:
            raise WorkerUnreachableError(answer.reason or "the relay received no answer")


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
