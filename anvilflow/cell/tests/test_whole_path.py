"""A job from its acceptance to its final state, over the platform's protocol."""

import pytest

from anvilflow.jobs import SchedulingPolicy
from anvilflow.standins import AdviceServer, make_platform_config

from ._helpers import JOB, make_cell


def test_job_is_accepted_run_and_shown():
    """A client hands in two steps; the second begins when the first is done; then it is shown."""
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


def test_same_job_again_is_one_job():
    """The 2xx got lost, so the client sends the job again, at another instance, even at its end."""
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
    """A client cancels a running job; its tasks are stopped and nothing starts again."""
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
def test_task_that_fails_is_tried_as_often_as_allowed(attempts):
    """A job that can never be done: after the allowed attempts it is shown as failed."""
    cell = make_cell(config=make_platform_config(attempts=attempts))
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 failed 1000")
    cell.advance(15.0)
    assert cell.state("a1", JOB) == "failed"
    assert [span.how for span in cell.spans] == ["failed"] * attempts
    assert len({span.worker for span in cell.spans}) == min(attempts, 4)


def test_tasks_wait_for_room():
    """Twice what the workers hold: the rest begins when the first tasks end, never before."""
    cell = make_cell(n_workers=2, cpu=4000)
    cell.submit("a0", JOB, {"count": 16, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(0.5)
    assert len(cell.spans) == 8
    cell.advance(3.0)
    assert len(cell.spans) == 16
    assert cell.check() == []
    assert cell.state("a0", JOB) == "completed"


def test_urgent_queue_goes_first():
    """A bulk job fills the workers and has more waiting; an urgent one gets the next places."""
    cell = make_cell(n_workers=1, cpu=4000)
    cell.submit("a0", JOB, {"count": 12, "cpu": 1000}, queue="bulk", spec="1.0 done 1000")
    cell.advance(0.3)
    cell.submit("a1", "00000000000000a2", {"count": 4, "cpu": 1000}, spec="1.0 done 1000")
    cell.advance(1.0)
    assert [span.task[:16] for span in cell.spans[:3]] == [JOB] * 3
    assert [span.task[:16] for span in cell.spans[3:7]] == ["00000000000000a2"] * 4


@pytest.mark.parametrize("safeguard", [True, False])
def test_urgent_task_finds_room_on_workers_full_of_bulk_work(safeguard):
    """Bulk tasks of five seconds want every core; then a describer sends a quick check.

    A tenth of each worker is left to the urgent queue. Without it the check waits for the end of a
    bulk task, five seconds.
    """
    policy = SchedulingPolicy() if safeguard else SchedulingPolicy(reserve_share=0.0)
    cell = make_cell(n_workers=2, cpu=10_000, policy=policy)
    cell.submit("a0", JOB, {"count": 40, "cpu": 1000}, queue="bulk", spec="5.0 done 1000")
    cell.advance(1.0)
    requested_at = cell.clock.seconds()
    cell.submit("a1", "00000000000000a2", {"count": 2, "cpu": 1000}, spec="0.5 done 1000")
    cell.advance(4.5)
    urgent = [span for span in cell.spans if span.task.startswith("00000000000000a2")]
    waits = [span.began_at - requested_at for span in urgent]
    assert (len(waits) == 2 and max(waits) < 0.05) is safeguard


def test_gang_starts_whole_or_not_at_all():
    """A gang needs four places; three are free, then a fourth: all members begin together."""
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


def test_only_allowed_workers_get_tasks_and_asks_are_spread():
    """Two of four workers are allowed; each start has a ticket, and others ask for the leader."""
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


def test_limits_on_placement():
    """A label, the rack of the data, and at most one task of the step on a worker."""
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
    handover = [span.worker for span in cell.spans if span.task.startswith("00000000000000c3")]
    assert len(handover) == len(set(handover)) == 4
    assert cell.state("a0", "00000000000000c4") == "queued"


def test_occurrences_begin_at_their_times():
    """A job that is repeated three times, a second apart, the first a second from now."""
    cell = make_cell()
    now_ms = 1_700_000_000_000 + cell.clock.seconds() * 1000
    times = {"repeat-count": 3, "first-ms": now_ms + 1000, "interval-ms": 1000}
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000", **times)
    cell.advance(5.0)
    assert [span.task for span in cell.spans] == [f"{JOB}.{k}.0.0" for k in range(3)]
    late = [span.began_at - (2.5 + number) for number, span in enumerate(cell.spans)]
    assert all(0 <= seconds < 0.25 for seconds in late)
    assert cell.state("a0", JOB) == "completed"


def test_long_running_tasks_are_started_again_however_they_end():
    """A task that lasts ends done, then fails: each time it is started again at once."""
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
def test_bad_calls_get_a_coded_error(path, method, body, status, code):
    """What a client got wrong is said with a code, and nothing is stored."""
    cell = make_cell(n_workers=1)
    answers = cell.call("a0", method, path, body)
    cell.advance(1.0)
    assert answers[0][0] == status
    assert answers[0][1]["error"]["code"] == code
    assert not [key for key in cell.store.rows if key[0] == "jobs"]


def test_pending_counts_jobs_of_which_nothing_has_begun():
    """One job runs and two wait for room."""
    cell = make_cell(n_workers=1, cpu=1000)
    for number in range(3):
        job_id = f"00000000000000d{number}"
        cell.submit("a0", job_id, {"count": 1, "cpu": 1000}, spec="9.0 done 1000")
    cell.advance(1.0)
    answers = cell.call("a1", "GET", "/urgent/")
    cell.advance(0.1)
    assert answers[0][:2] == (200, {"pending": 2})


def test_configuration_is_in_force_everywhere_and_never_goes_back():
    """The operator adds a queue; each instance serves it soon; an older version changes nothing."""
    cell = make_cell()
    queues = [{"name": "new", "prefix": "/new/"}]
    cell.store.put("op", "config", make_platform_config(5, queues=queues))
    cell.advance(0.5)
    cell.store.put("op", "config", make_platform_config(4))
    cell.advance(0.5)
    for name in cell.daemons:
        answers = cell.call(name, "GET", "/new/")
        gone = cell.call(name, "GET", "/urgent/")
        cell.advance(0.1)
        assert (answers[0][0], gone[0][0]) == (200, 404)


@pytest.mark.parametrize("safeguard", [True, False])
def test_quick_work_does_not_wait_behind_long_asks_for_advice(safeguard):
    """Many heavy jobs ask for advice of 0.8 s each; then a quick lookup asks for one of 0.05 s.

    Some instances are kept free of long asks. Without that every instance is busy with two, and
    the lookup's answer waits behind them.
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


def test_rows_of_ended_jobs_are_removed_after_their_time():
    """States are kept for two minutes; then nothing of a job is left in the store."""
    cell = make_cell(n_workers=1)
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.2 done 1000")
    cell.advance(100.0)
    assert cell.state("a1", JOB) == "completed"
    cell.advance(45.0)
    tables = {"jobs", "progress", "ended"}
    assert not [key for key in cell.store.rows if key[0] in tables]
