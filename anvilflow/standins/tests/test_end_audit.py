"""Tests of the audit that compares acknowledged ends with the log of the store."""

import pytest
from twisted.internet.task import Clock

from anvilflow.cell._tables import ENDED, JOBS, PART, PROGRESS, JobRow
from anvilflow.jobs import EndedJob, JobRecord, JobSpec, Queue, StepSpec
from anvilflow.standins import EndAudit, MetadataStore

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.2"

#: An end as a worker lists it.
END = [1, TASK, 1, "done", ""]


class _Worker:
    """What the audit reads of a worker."""

    worker_id = "i-0"

    def __init__(self, *, unacknowledged_ends=()):
        self.unacknowledged_ends = set(unacknowledged_ends)


@pytest.fixture
def store():
    return MetadataStore(clock=Clock())


def _put_job(store, *, n_occurrences=0, **rules):
    steps = (StepSpec(n_tasks=4, **rules), StepSpec(n_tasks=1, after=(0,)))
    spec = JobSpec(job_id=JOB, queue="urgent", payload="", steps=steps, n_occurrences=n_occurrences)
    store.put(JOBS, JOB, JobRow(spec=spec, queue=_queue()), part="jobs-00")


def _queue():
    return Queue(name="urgent", host="desk.example", prefix="/urgent/", service="desk")


def _record(store, **values):
    store.put(PROGRESS, JOB, JobRecord(begun=True, **values), part=PART)


def _end(store):
    store.put(ENDED, JOB, EndedJob(state="completed"), part=PART)


@pytest.mark.parametrize(
    ("values", "is_stored"),
    [
        (None, False),
        ({}, False),
        ({"done_tasks": {"0.0": [1, 3]}}, False),
        ({"done_tasks": {"0.1": [2]}}, False),
        ({"done_tasks": {"0.0": [1, 2]}}, True),
        ({"done_steps": ["0.0"]}, True),
    ],
)
def test_acknowledged_end_must_be_in_the_record_of_its_job(store, values, is_stored):
    """Guards against an audit that passes an end which no transaction stored."""
    audit = EndAudit(store=store)
    _put_job(store)
    if values is not None:
        _record(store, **values)
    audit.ends_dropped(_Worker(), [END])
    assert len(audit.violations()) == (0 if is_stored else 1)


def test_end_that_is_stored_after_its_acknowledgement_is_a_violation(store):
    """Guards against an audit that looks only at what the store has in the end."""
    audit = EndAudit(store=store)
    _put_job(store)
    audit.ends_dropped(_Worker(), [END])
    _record(store, done_tasks={"0.0": [2]})
    assert len(audit.violations()) == 1


def test_ends_of_an_ended_job_are_stored_with_it(store):
    """Guards against violations for jobs whose rows were removed after their end."""
    audit = EndAudit(store=store)
    _put_job(store)
    _end(store)
    store.remove(ENDED, JOB, part=PART)
    audit.ends_dropped(_Worker(), [END])
    assert audit.violations() == []


@pytest.mark.parametrize(
    "rules", [{"gang": True}, {"speculative": True}, {"long_running": True}, {"n_occurrences": 2}]
)
def test_ends_that_need_no_record_of_their_own_are_not_judged(store, rules):
    """Guards against violations where one end stands for others."""
    audit = EndAudit(store=store)
    _put_job(store, **rules)
    audit.ends_dropped(_Worker(), [END])
    assert audit.violations() == []


@pytest.mark.parametrize(
    ("end", "lapsed"),
    [([1, TASK, 1, "failed", ""], ()), (END, [(TASK, 1)])],
    ids=["failed", "lapsed"],
)
def test_failed_and_lapsed_ends_are_not_judged(store, end, lapsed):
    """Guards against violations for ends that do not rule out another run."""
    audit = EndAudit(store=store)
    _put_job(store)
    audit.ends_dropped(_Worker(unacknowledged_ends=lapsed), [end])
    assert audit.violations() == []


def test_later_record_without_a_stored_task_is_a_violation(store):
    """Guards against a leader that records from an older state than the store has."""
    audit = EndAudit(store=store)
    _put_job(store)
    _record(store, done_tasks={"0.0": [2]})
    audit.ends_dropped(_Worker(), [END])
    assert audit.violations() == []
    _record(store, done_tasks={"0.0": [1]})
    _record(store)
    assert len(audit.violations()) == 1


def test_progress_after_the_end_of_a_job_is_a_violation(store):
    """Guards against a job that comes back after its end."""
    audit = EndAudit(store=store)
    _put_job(store)
    _end(store)
    store.remove(ENDED, JOB, part=PART)
    _record(store)
    assert len(audit.violations()) == 1
