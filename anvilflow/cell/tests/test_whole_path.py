"""Jobs from acceptance to final state, over the platform's protocol."""

import pytest

from anvilflow.jobs import SchedulingPolicy
from anvilflow.standins import AdviceServer, make_platform_config

from ._helpers import JOB, make_cell


def test_job_is_accepted_and_completed():
    """Guards against delayed starts, and against a step that starts before its predecessor ends."""
    cell = make_cell()
    steps = [{"count": 4, "cpu": 1000}, {"count": 3, "cpu": 1000, "after": [0]}]
    answers = cell.submit(cell.other(), JOB, *steps)
    cell.advance(0.05)
    assert answers[0][0] == 200
    assert [span.began_at - 1.5 < 0.03 for span in cell.spans] == [True] * 4
    cell.advance(3.0)
    assert cell.state(cell.other(), JOB) == "completed"
    first_done = max(span.ended_at for span in cell.spans[:4])
    assert min(span.began_at for span in cell.spans[4:]) >= first_done
    assert cell.check() == []


def test_repeated_submission_of_a_job_runs_it_once():
    """A client submits a job repeatedly, at different instances, as if each 2xx had been lost.

    The tasks must run once, also if the job has ended before the last submission.
    """
    cell = make_cell()
    for instance in ("a0", "a1", "a2"):
        answers = cell.submit(instance, JOB, {"count": 2, "cpu": 1000})
        cell.advance(0.7)
        assert answers[0][0] == 200
    answers = cell.submit("a1", JOB, {"count": 2, "cpu": 1000})
    cell.advance(2.0)
    assert answers[0][0] == 200
    assert len(cell.spans) == 2
    assert cell.state("a2", JOB) == "completed"


def test_cancelled_job_stops_and_stays_cancelled():
    """Guards against tasks of a cancelled job that keep running or are started again."""
    cell = make_cell()
    cell.submit("a0", JOB, {"count": 2, "cpu": 1000}, spec="30.0 done 1000")
    cell.advance(0.5)
    answers = cell.call("a1", "DELETE", f"/urgent/{JOB}")
    cell.advance(1.5)
    assert answers[0][0] == 200
    assert {span.how for span in cell.spans} == {"stopped"}
    assert cell.state("a2", JOB) == "cancelled"
    assert len(cell.spans) == 2


@pytest.mark.parametrize("attempts", [1, 3])
def test_task_that_fails_has_the_allowed_number_of_attempts(attempts):
    """Guards against too few or too many attempts of a failing task, or all on one worker."""
    cell = make_cell(config=make_platform_config(attempts=attempts))
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 failed 1000")
    cell.advance(15.0)
    assert cell.state("a1", JOB) == "failed"
    assert [span.how for span in cell.spans] == ["failed"] * attempts
    assert len({span.worker for span in cell.spans}) == min(attempts, 4)


def test_tasks_wait_for_free_capacity():
    """Guards against exceeding the capacity of workers when tasks need twice as much."""
    cell = make_cell(n_workers=2, cpu=4000)
    cell.submit("a0", JOB, {"count": 16, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(0.5)
    assert len(cell.spans) == 8
    cell.advance(3.0)
    assert len(cell.spans) == 16
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_urgent_queue_goes_first():
    """Guards against urgent tasks that wait behind waiting tasks of a bulk job."""
    cell = make_cell(n_workers=1, cpu=4000)
    cell.submit("a0", JOB, {"count": 12, "cpu": 1000}, queue="bulk", spec="1.0 done 1000")
    cell.advance(0.3)
    cell.submit("a1", "00000000000000a2", {"count": 4, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(1.0)
    assert [span.task[:16] for span in cell.spans[:3]] == [JOB] * 3
    assert [span.task[:16] for span in cell.spans[3:7]] == ["00000000000000a2"] * 4


@pytest.mark.parametrize("safeguard", [True, False])
def test_urgent_task_starts_at_once_on_workers_full_of_bulk_tasks(safeguard):
    """Bulk tasks of five seconds demand all cores; then a client submits a short urgent job.

    A tenth of each worker is reserved for the urgent queue. Without the reserve, the urgent tasks
    wait five seconds for the end of a bulk task.
    """
    policy = SchedulingPolicy() if safeguard else SchedulingPolicy(reserve_share=0.0)
    cell = make_cell(n_workers=2, cpu=10_000, policy=policy)
    cell.submit("a0", JOB, {"count": 40, "cpu": 1000}, queue="bulk", spec="5.0 done 1000")
    cell.advance(1.0)
    requested_at = cell.clock.seconds()
    cell.submit("a1", "00000000000000a2", {"count": 2, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(4.5)
    urgent = [span for span in cell.spans if span.task.startswith("00000000000000a2")]
    delays = [span.began_at - requested_at for span in urgent]
    assert (len(delays) == 2 and max(delays) < 0.05) is safeguard


def test_gang_starts_whole_or_not_at_all():
    """Guards against starting a part of a gang: it needs four cores while only three are free."""
    cell = make_cell(n_workers=1, cpu=4000)
    cell.submit("a0", "00000000000000a2", {"count": 1, "cpu": 1000}, spec="2.0 done 1000")
    cell.advance(0.2)
    cell.submit("a0", JOB, {"count": 4, "cpu": 1000, "gang": True}, spec="1.0 done 1000")
    cell.advance(1.0)
    assert len(cell.spans) == 1
    cell.advance(3.0)
    members = cell.spans[1:]
    assert len(members) == 4
    assert len({span.run_id for span in members}) == 1
    assert max(span.began_at for span in members) - min(span.began_at for span in members) < 0.05
    assert cell.state("a0", JOB) == "completed"


def test_only_allowed_workers_get_tasks_and_advice_requests_are_distributed():
    """Guards against starts on workers that the advice service does not allow.

    Two of four workers are allowed; each start has an advice ticket. All instances must make advice
    requests for the leader.
    """
    advice = AdviceServer(clock=None, allowed={"i-1", "i-2"}, base_s=0.1)
    rules = {"decide-ms": 100, "each-ms": 1, "valid-ms": 2500}
    cell = make_cell(advice=advice, config=make_platform_config(advice=rules))
    for number in range(4):
        cell.submit("a0", f"00000000000000b{number}", {"count": 2, "cpu": 1000})
    cell.advance(3.0)
    assert {span.worker for span in cell.spans} <= {"i-1", "i-2"}
    assert len(cell.spans) == 8
    assert {name for name, address in cell.wire.calls if address == "advice:1"} == {
        "a0",
        "a1",
        "a2",
    }


def test_placement_constraints():
    """Guards against ignoring a required label, the rack of the data, or anti-affinity."""
    cell = make_cell(n_workers=4)
    cell.submit("a0", "00000000000000c1", {"count": 2, "cpu": 1000, "requires": "r1"})
    cell.submit("a0", "00000000000000c2", {"count": 2, "cpu": 1000, "data-rack": "r0"})
    cell.submit("a0", "00000000000000c3", {"count": 4, "cpu": 1000, "anti-affinity": 1})
    cell.submit("a0", "00000000000000c4", {"count": 1, "cpu": 1000, "requires": "nowhere"})
    cell.advance(2.5)
    racks = {
        job: [cell.workers[span.worker].rack for span in cell.spans if span.task.startswith(job)]
        for job in ("00000000000000c1", "00000000000000c2")
    }
    assert racks == {"00000000000000c1": ["r1"] * 2, "00000000000000c2": ["r0"] * 2}
    worker_ids = [span.worker for span in cell.spans if span.task.startswith("00000000000000c3")]
    assert len(worker_ids) == len(set(worker_ids)) == 4
    assert cell.state("a0", "00000000000000c4") == "queued"


def test_occurrences_begin_at_their_times():
    """Guards against early or late occurrences: three, a second apart, the first after a second."""
    cell = make_cell()
    now_ms = 1_700_000_000_000 + cell.clock.seconds() * 1000
    times = {"repeat-count": 3, "first-ms": now_ms + 1000, "interval-ms": 1000}
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000", **times)
    cell.advance(5.0)
    assert [span.task for span in cell.spans] == [f"{JOB}.{k}.0.0" for k in range(3)]
    late = [span.began_at - (2.5 + number) for number, span in enumerate(cell.spans)]
    assert all(0 <= seconds < 0.25 for seconds in late)
    assert cell.state("a0", JOB) == "completed"


def test_long_running_tasks_are_started_again_after_a_failure():
    """Guards against a long-running job that ends when its task fails."""
    cell = make_cell()
    step = {"count": 1, "cpu": 1000, "long-running": True}
    cell.submit("a0", JOB, step, spec="1.0 failed 1000")
    cell.advance(6.0)
    assert len(cell.spans) >= 4
    assert cell.state("a0", JOB) == "running"


@pytest.mark.parametrize(
    ("path", "method", "body", "status", "code"),
    [
        ("/nowhere/00000000000000a1", "POST", b"{}", 404, "AF201"),
        ("/urgent/xyz", "POST", b"{}", 400, "AF301"),
        ("/urgent/00000000000000a1", "POST", b"{", 400, "AF301"),
        ("/urgent/00000000000000a1", "POST", b'{"steps":[]}', 400, "AF301"),
        ("/urgent/00000000000000a1", "POST", b'{"steps":[{"count":0}]}', 400, "AF301"),
        ("/urgent/00000000000000a1", "POST", b'{"steps":[{"after":[0]}]}', 400, "AF301"),
        ("/urgent/00000000000000a1", "POST", b" " * 300_000, 413, "AF303"),
        ("/urgent/00000000000000a1", "PUT", b"{}", 400, "AF301"),
        ("/urgent/00000000000000a1", "GET", b"", 410, "AF304"),
        ("/urgent/00000000000000a1", "DELETE", b"", 410, "AF304"),
    ],
)
def test_invalid_calls_get_an_error_code(path, method, body, status, code):
    """Guards against invalid requests without an error code, or whose jobs are stored."""
    cell = make_cell(n_workers=1)
    answers = cell.call("a0", method, path, body)
    cell.advance(1.0)
    assert answers[0][0] == status
    assert answers[0][1]["error"]["code"] == code
    assert not [key for key in cell.store.rows if key[0] == "jobs"]


def test_pending_counts_jobs_without_a_started_task():
    """Guards against counting a running job: one runs and two wait for capacity."""
    cell = make_cell(n_workers=1, cpu=1000)
    for number in range(3):
        job_id = f"00000000000000d{number}"
        cell.submit("a0", job_id, {"count": 1, "cpu": 1000}, spec="9.0 done 1000")
    cell.advance(1.0)
    answers = cell.call("a1", "GET", "/urgent/")
    cell.advance(0.1)
    assert answers[0][:2] == (200, {"pending": 2})


def test_configuration_applies_to_all_instances_and_is_never_reverted():
    """Guards against an older version of the configuration that replaces a newer one.

    The operator replaces the queues, and each instance serves the new one within 0.5 s.
    """
    cell = make_cell()
    queues = [{"name": "new", "prefix": "/new/"}]
    cell.store.put("op", "config", make_platform_config(5, queues=queues))
    cell.advance(0.5)
    cell.store.put("op", "config", make_platform_config(4))
    cell.advance(0.5)
    for name in cell.daemons:
        answers = cell.call(name, "GET", "/new/")
        removed = cell.call(name, "GET", "/urgent/")
        cell.advance(0.1)
        assert (answers[0][0], removed[0][0]) == (200, 404)


@pytest.mark.parametrize("safeguard", [True, False])
def test_short_advice_requests_do_not_wait_behind_long_ones(safeguard):
    """Ten bulk jobs need advice requests of 0.8 s each; then a short job needs one of 0.05 s.

    Some instances are kept free of long requests. Otherwise each instance has two in progress, and
    the short request waits behind them.
    """
    policy = SchedulingPolicy() if safeguard else SchedulingPolicy(long_ask_share=2.0)
    rules = {"each-ms": 1, "valid-ms": 2500}
    queues = [
        {"name": "urgent", "prefix": "/urgent/", "advice": {"decide-ms": 50, **rules}},
        {"name": "bulk", "prefix": "/bulk/", "priority": 2, "advice": {"decide-ms": 800, **rules}},
    ]
    advice = AdviceServer(clock=None, allowed=None, base_s=lambda n: 0.8 if n < 10 else 0.05)
    config = make_platform_config(queues=queues)
    cell = make_cell(n_instances=5, advice=advice, config=config, policy=policy)
    for number in range(10):
        cell.submit("a0", f"00000000000000e{number}", {"count": 1, "cpu": 1000}, queue="bulk")
    cell.advance(0.2)
    if safeguard:
        advice.base_s = 0.05
    requested_at = cell.clock.seconds()
    cell.submit("a1", JOB, {"count": 1, "cpu": 1000})
    cell.advance(1.5)
    [span] = cell.runs_of(f"{JOB}.0.0.0")
    assert (span.began_at - requested_at < 0.15) is safeguard


def test_rows_of_ended_jobs_are_removed_after_the_retention_time():
    """Guards against rows that stay in the store, or are removed within two minutes of the end."""
    cell = make_cell(n_workers=1)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(100.0)
    assert cell.state("a1", JOB) == "completed"
    cell.advance(45.0)
    tables = {"jobs", "progress", "ended"}
    assert not [key for key in cell.store.rows if key[0] in tables]
