"""Tests of the answers by which relays pass on what workers report."""

import pytest

from anvilflow.cell._worker_commands import report_from_answer
from anvilflow.exceptions import WorkerUnreachableError
from anvilflow.peers.gen.ttypes import ActiveRun, ListedEnd, WorkerAnswer

from ._helpers import JOB

TASK = f"{JOB}.0.0.0"
RUN = {"task": TASK, "run_id": 1, "percent": 5}
END = {"number": 1, "task": TASK, "run_id": 1, "how": "done"}


@pytest.mark.parametrize(
    "answer",
    [
        {"clock_ms": None},
        *[{"active": [ActiveRun(**RUN | {name: None})]} for name in ("task", "run_id")],
        *[{"ended": [ListedEnd(**END | {name: None})]} for name in END],
    ],
    ids=["clock", "run: task", "run: run_id", *(f"end: {name}" for name in END)],
)
def test_answer_without_a_required_field_is_no_report(answer):
    """Guards against an end of no kind, which would be acknowledged and its task run again."""
    with pytest.raises(WorkerUnreachableError):
        report_from_answer(WorkerAnswer(**{"outcome": 0, "clock_ms": 1, **answer}))
