"""Tests of the check that ends which workers drop are in the store."""

import pytest
from twisted.internet.testing import MemoryReactorClock

from anvilflow.cell._tables import JOBS, PART, PROGRESS, JobRow
from anvilflow.jobs import JobRecord, JobSpec, Queue, StepSpec
from anvilflow.standins import WorkerCall
from anvilflow.utils import encode
from soak._environment import Environment
from soak._invariants import InvariantChecker

_JOB = "00000000000000a1"
_TASK = f"{_JOB}.0.0.0"


def _call(worker, path, **values):
    headers = {b"x-expect-instance": [worker.worker_id.encode()]}
    return worker.handle(b"POST", path, {}, encode({"fencing-token": 1, **values}), headers)


@pytest.mark.parametrize(
    ("done", "lapses", "is_violation"), [([], False, True), ([0], False, False), ([], True, False)]
)
def test_end_that_is_dropped_must_be_in_the_store(done, lapses, is_violation):
    """Guards against an acknowledgement that is judged only if the task runs a second time."""
    environment = Environment(reactor=MemoryReactorClock(), host="127.0.0.1", n_workers=1)
    queue = Queue(name="urgent", host="desk.example", prefix="/urgent/", service="desk")
    steps = (StepSpec(n_tasks=2),)
    spec = JobSpec(job_id=_JOB, queue="urgent", payload="", steps=steps)
    environment.store.put(JOBS, _JOB, JobRow(spec=spec, queue=queue), part="jobs-00")
    record = JobRecord(begun=True, done_tasks={"0.0": done})
    environment.store.put(PROGRESS, _JOB, record, part=PART)
    [worker] = environment.workers.values()
    run = {"task": _TASK, "run-id": 1, "spec": "0.5 done 1000", "until-ms": 3000}
    assert _call(worker, WorkerCall.START, **run)[0] == 200
    environment.reactor.advance(4.0 if lapses else 1.0)
    _call(worker, WorkerCall.HOLD, **{"last-seen": 1})
    assert worker.finished == []
    violations = InvariantChecker(environment=environment).finish([])
    assert any("not in the store" in text for text in violations) is is_violation
