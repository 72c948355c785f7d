"""Failures of instances, workers and the platform, under virtual time."""

import pytest

from anvilflow.history import RunBegan, RunEnded, check_history
from anvilflow.utils import encode

from ._helpers import assert_promises, make_cell, make_job, outcomes, phase_of


def new_work_after(cell, at, workers):
    """Return the first time after `at` at which one of the workers began to run something."""
    starts = [
        event.at
        for event in cell.history.events
        if isinstance(event, RunBegan) and event.at > at and event.worker in workers
    ]
    return min(starts, default=None)


@pytest.mark.parametrize("table_down", [False, True])
def test_owner_dies_and_its_workers_take_new_work(table_down):
    """A caller's requests go on while the instance that owns some workers is killed.

    The others miss its heartbeats, work out the new owners alone and claim the workers, which
    from then on refuse the dead owner's epoch. No table access is needed, so an outage of the
    table at the same moment changes nothing.
    """
    cell = make_cell()
    cell.table_faults.down = table_down
    lost = [name for name in cell.workers if cell.owner_of(name) == "a2"]
    assert lost
    at = cell.clock.seconds()
    cell.crash_instance("a2")
    answers = []
    for _ in range(100):
        answers += [cell.request("a1", "small", "lookup", seconds=0.4) for _ in range(4)]
        cell.advance(0.05)
    cell.advance(2.0)
    assert new_work_after(cell, at, lost) - at < 5.0
    assert set(outcomes(answers)) == {"completed"}
    assert_promises(cell)


def test_home_and_owner_die_with_jobs_running():
    """An operator sees a job complete although the instance that runs it is killed twice.

    The next coordinator takes the row of the customer, reads which tasks were placed where, and
    asks the workers' owners what became of them. Finished ones are not repeated, running ones go
    on.
    """
    cell = make_cell(n_instances=5)
    job = make_job("j1", "refresh", 60, seconds=1.0)
    cell.submit("a1", job)
    for _ in range(2):
        cell.advance(1.2)
        coordinators = [
            name
            for name, daemon in cell.daemons.items()
            if daemon.supervisor.part("home").dump().get("large")
        ]
        assert len(coordinators) == 1
        cell.crash_instance(coordinators[0])
    cell.advance(20.0)
    assert phase_of(cell, job) == ("completed", 60, 0)
    ends = [e.item for e in cell.history.events if isinstance(e, RunEnded) and e.how == "ok"]
    tasks = [item.rsplit("/", 1)[0] for item in ends]
    assert len(tasks) == len(set(tasks)) == 60
    assert_promises(cell)


def test_paused_owner_wakes_after_every_lease():
    """An owner stops for longer than every lease with requests and tasks in its hands.

    The others take its workers over. When it wakes it goes on where it was and sends starts and
    renewals under its old epoch; the workers refuse them, so nothing runs twice.
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 60, seconds=1.0)
    cell.submit("a1", job)
    cell.advance(0.6)
    paused = "a2"
    assert any(cell.owner_of(name) == paused for name in cell.workers)
    cell.pause_instance(paused)
    cell.advance(25.0)
    cell.resume_instance(paused)
    cell.advance(15.0)
    assert phase_of(cell, job) == ("completed", 60, 0)
    assert_promises(cell)


def test_paused_home_records_nothing_after_it_lost_its_row():
    """A coordinator stops with holds granted and intents unwritten, another takes over its jobs.

    On waking it writes the intents it had in hand. The condition on the coordinator's row refuses
    them, and what is not recorded is not started: no task runs twice, none is lost.
    """
    cell = make_cell(n_instances=4)
    job = make_job("j1", "refresh", 80, seconds=0.7)
    cell.submit("a1", job)
    cell.advance(0.31)
    [coordinator] = [
        name
        for name, daemon in cell.daemons.items()
        if daemon.supervisor.part("home").dump().get("large")
    ]
    cell.pause_instance(coordinator)
    cell.advance(10.0)
    cell.resume_instance(coordinator)
    cell.advance(20.0)
    assert cell.errors == []
    assert phase_of(cell, job) == ("completed", 80, 0)
    assert_promises(cell)


def test_requests_and_running_tasks_go_on_without_the_table():
    """The table is down for ten minutes while callers ask and tasks run and end.

    Requests need no table access. Tasks keep their leases, since owners renew them on their own;
    their results wait at the workers and are written once, when the table answers again.
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 20, seconds=30.0)
    cell.submit("a1", job)
    cell.advance(2.0)
    cell.table_faults.down = True
    answers = []
    for _ in range(60):
        answers.append(cell.request("a1", "small", "lookup"))
        cell.advance(10.0)
    assert set(outcomes(answers)) == {"completed"}
    cell.table_faults.down = False
    cell.advance(10.0)
    assert phase_of(cell, job) == ("completed", 20, 0)
    assert_promises(cell)


def test_large_results_wait_for_the_object_store():
    """Tasks end with large results while the object store is down.

    No row says that they are done before their results are safe; the workers keep them. When the
    store answers again, each result is there once, and the job completes.
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 4, seconds=0.2)
    job.tasks = [encode({"token": "x" * 9000, "seconds": 0.2}).decode() for _ in range(4)]
    cell.objects_faults.down = True
    cell.submit("a1", job)
    cell.advance(5.0)
    assert phase_of(cell, job) == ("running", 0, 0)
    cell.objects_faults.down = False
    cell.advance(5.0)
    assert phase_of(cell, job) == ("completed", 4, 0)
    assert sorted(map(len, cell.objects.objects.values())) == [9000] * 4
    assert_promises(cell)


def test_job_is_refused_at_once_without_the_table():
    """A job that cannot be made durable is answered with a coded error, not kept in memory."""
    cell = make_cell()
    cell.table_faults.down = True
    answers = cell.submit("a1", make_job("j1", "refresh", 5))
    cell.advance(1.0)
    assert answers[0].value.code == "AF402"


def test_write_whose_answer_is_lost_is_not_made_twice():
    """The table takes a job and its answer is lost, again and again.

    The instance reads back what it wrote and answers the caller; the caller's own repeat at
    another instance changes nothing either.
    """
    cell = make_cell()
    cell.table_faults.lose_answer = True
    job = make_job("j1", "refresh", 5)
    first = cell.submit("a1", job)
    cell.advance(0.5)
    cell.table_faults.lose_answer = False
    again = cell.submit("a2", job)
    cell.advance(6.0)
    assert first[0].revision == again[0].revision
    assert again[0].changed is False
    assert phase_of(cell, job) == ("completed", 5, 0)
    assert_promises(cell)


def test_worker_crash_repeats_its_tasks_elsewhere():
    """A worker loses its memory with tasks running; they run again, on the next attempt."""
    cell = make_cell()
    job = make_job("j1", "refresh", 30, seconds=2.0)
    cell.submit("a1", job)
    cell.advance(1.0)
    crashed = next(name for name, state in cell.workers.items() if state.tasks)
    cell.workers[crashed].crash()
    cell.advance(20.0)
    assert phase_of(cell, job) == ("completed", 30, 0)
    assert_promises(cell)


def test_silent_worker_keeps_its_tasks_until_their_leases_are_over():
    """A worker neither answers nor is heard of, with tasks running, and then is back.

    Its owner cannot know whether the tasks run on. It starts them nowhere else while the worker
    is silent; back again, the worker says that the leases lapsed, and only then they run anew.
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 30, seconds=60.0)
    cell.submit("a1", job)
    cell.advance(1.0)
    silent = next(name for name, state in cell.workers.items() if state.tasks)
    cell.workers[silent].faults.down = True
    cell.advance(40.0)
    lapsed = [e for e in cell.history.events if isinstance(e, RunEnded) and e.how == "lapsed"]
    assert lapsed
    cell.workers[silent].faults.down = False
    cell.advance(150.0)
    assert phase_of(cell, job) == ("completed", 30, 0)
    assert_promises(cell)


def test_leaving_worker_gets_no_new_work():
    """The platform marks a worker as leaving: what runs there ends, nothing new begins."""
    cell = make_cell()
    cell.worker_leaves("w03")
    for _ in range(60):
        cell.request("a1", "small", "lookup")
        cell.submit("a1", make_job(f"j{len(cell.history.events)}", "refresh", 3, seconds=0.1))
        cell.advance(0.1)
    assert_promises(cell)
    late = new_work_after(cell, cell.clock.seconds() - 3.0, ["w03"])
    assert late is None


def test_silent_worker_that_leaves_is_not_opened_again():
    """A worker falls silent, is marked as leaving, and is heard of again.

    Its owner had closed it for its silence. Hearing of it must not open it: it still leaves.
    (Found by chaos seed 12.)
    """
    cell = make_cell(n_instances=1, n_workers=2)
    cell.workers["w01"].faults.down = True
    cell.advance(3.0)
    cell.worker_leaves("w01")
    cell.advance(3.0)
    cell.workers["w01"].faults.down = False
    for _ in range(40):
        for customer in ("small", "large"):
            cell.request("a1", customer, "lookup", seconds=2.0)
        cell.advance(0.1)
    cell.advance(10.0)
    assert_promises(cell)


def test_not_run_is_said_only_when_no_attempt_may_have_run():
    """An owner is cut off with a request in hand; the retry elsewhere is refused.

    The caller must hear "unknown": the last attempt did not run, but the first may have. (Found
    by chaos seed 6.)
    """
    cell = make_cell(n_instances=2, n_workers=4)
    owners = {name: cell.owner_of(name) for name in cell.workers}
    assert set(owners.values()) == {"a1", "a2"}
    for name, owner in owners.items():
        cell.workers[name].faults.down = owner == "a1"
    cell.advance(5.0)
    answers = [cell.request("a1", "small", "lookup", seconds=3.0, deadline_s=4.0)]
    cell.advance(0.1)
    for state in cell.workers.values():
        state.faults.down = True
    cell.crash_instance("a2")
    cell.advance(10.0)
    assert outcomes(answers) == ["unknown"]
    assert_promises(cell)


def test_home_that_hears_late_of_a_job_uses_its_records():
    """A coordinator takes jobs over before its configuration shows one of them, which already runs.

    When the configuration catches up, the job must not look new: the records that were read at
    the take-over say where its tasks run. (Found by chaos seed 38, as tasks in two places.)
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 12, seconds=6.0)
    cell.submit("a1", job)
    cell.submit("a1", make_job("j0", "refresh", 1, seconds=20.0))
    cell.advance(2.0)
    [coordinator] = [
        name
        for name, daemon in cell.daemons.items()
        if daemon.supervisor.part("home").dump().get("large")
    ]
    for name, daemon in cell.daemons.items():
        if name != coordinator:
            late = daemon.context.catalog
            late._items.pop("Job/large/j1")
    cell.crash_instance(coordinator)
    cell.advance(2.0)
    for daemon in cell.daemons.values():
        daemon.supervisor.part("config")._listed = False
    cell.advance(20.0)
    assert_promises(cell)


def test_rolling_restart_fails_no_request():
    """All instances are drained and replaced one after the other under load.

    The balancer hears of it by the health check before connections are refused; the drained one
    hands its workers over and finishes what it has.
    """
    cell = make_cell()
    answers = []
    for name in ("a1", "a2", "a3"):
        daemon = cell.daemons[name]
        done = []
        daemon.drain().addCallback(done.append)
        others = [other for other in cell.daemons if other != name]
        for turn in range(100):
            answers.append(cell.request(others[turn % 2], "small", "lookup", idempotent=False))
            cell.advance(0.05)
        assert done
        del cell.daemons[name]
        cell.start_instance(name)
        cell.advance(3.0)
    assert set(outcomes(answers)) == {"completed"}
    assert_promises(cell)


def test_silent_connection_is_replaced():
    """One way between two instances goes silent for good, on connections that are open.

    Both ends drop the connection once nothing is heard for the suspect time. New ones work, and
    requests that went into the silence are answered, late but once.
    """
    cell = make_cell()
    cell.network.silence("a1", "a2")
    cell.advance(3.0)
    cell.network.heal()
    cell.advance(2.0)
    answers = [cell.request("a1", "small", "lookup") for _ in range(20)]
    cell.advance(1.0)
    assert set(outcomes(answers)) == {"completed"}
    assert_promises(cell)


def test_connections_are_dialled_anew_while_the_list_is_unreachable():
    """Two instances lose their connection during an outage of the membership list.

    They dial the address they last knew, so that load, hints and requests flow again. (Chaos seed
    917: alone until the list was back, an instance gave work to a worker that leaves.)
    """
    cell = make_cell()
    cell.membership_faults.down = True
    cell.network.silence("a1", "a2")
    cell.advance(4.0)
    assert "a2" not in cell.part("a1", "peers").dump()
    cell.network.heal()
    cell.advance(3.0)
    assert "a2" in cell.part("a1", "peers").dump()
    answers = [cell.request("a1", "small", "lookup") for _ in range(20)]
    cell.advance(1.0)
    assert set(outcomes(answers)) == {"completed"}
    assert_promises(cell)


def test_idempotency_key_across_instances():
    """A billed order is repeated at another instance with the same key: it runs once."""
    cell = make_cell()
    values = {"idempotent": False, "idempotency_key": "order-7", "token": "order-7"}
    first = cell.request("a1", "small", "lookup", **values)
    second = cell.request("a2", "small", "lookup", **values)
    cell.advance(1.0)
    third = cell.request("a3", "small", "lookup", **values)
    cell.advance(1.0)
    runs = [e for e in cell.history.events if isinstance(e, RunBegan) and e.token == "order-7"]
    assert len(runs) == 1
    assert sorted(outcomes([first, second])) in (
        ["completed", "completed"],
        ["completed", "unknown"],
    )
    assert outcomes([third]) == ["completed"] and third[0].replayed


def test_keyed_request_without_the_table_is_not_run():
    """Without the table a key cannot be claimed: the answer is "not run", at once and true."""
    cell = make_cell()
    cell.table_faults.down = True
    values = {"idempotent": False, "idempotency_key": "k", "token": "k"}
    answers = cell.request("a1", "small", "lookup", **values)
    cell.advance(0.1)
    assert outcomes([answers]) == ["not_run"]
    cell.table_faults.down = False
    cell.advance(10.0)
    again = cell.request("a2", "small", "lookup", **values)
    cell.advance(1.0)
    assert outcomes([again]) == ["completed"]


def test_cancelled_job_starts_nothing_after_its_phase():
    """A job is cancelled with tasks running, held and waiting: all end, none starts later."""
    cell = make_cell()
    job = make_job("j1", "refresh", 200, seconds=3.0)
    cell.submit("a1", job)
    cell.advance(1.0)
    cell.part("a2", "entry").cancel("large", "j1")
    cell.advance(5.0)
    assert phase_of(cell, job)[0] == "cancelled"
    at = cell.clock.seconds()
    cell.advance(10.0)
    assert new_work_after(cell, at, list(cell.workers)) is None
    assert not any(state.tasks for state in cell.workers.values())
    assert_promises(cell)


def test_two_gangs_that_each_need_most_of_the_cell_both_finish():
    """Two jobs of different customers each need more than half of the places, all at once.

    Each gets some and waits for the rest. The older one takes the younger one's holds, so that
    one after the other completes and neither waits for ever.
    """
    cell = make_cell()
    jobs = [
        make_job("g1", "assembly", 30, customer="large", seconds=1.0),
        make_job("g2", "assembly", 30, customer="small", seconds=1.0),
    ]
    for job in jobs:
        cell.submit("a1", job)
    cell.advance(20.0)
    assert [phase_of(cell, job) for job in jobs] == [("completed", 30, 0)] * 2
    assert_promises(cell)


def test_gang_is_not_kept_waiting_by_an_owner_whose_only_worker_leaves():
    """A gang's place is asked of an owner whose only worker leaves.

    That owner must refuse, and the coordinator must ask elsewhere; the job completes. (Chaos seed
    619.)
    """
    cell = make_cell(n_instances=3, n_workers=6)
    owners = {name: cell.owner_of(name) for name in cell.workers}
    least = min(set(owners.values()), key=list(owners.values()).count)
    for name, owner in owners.items():
        if owner == least:
            cell.worker_leaves(name)
    cell.advance(2.0)
    job = make_job("g1", "assembly", 9, seconds=0.2)
    cell.submit("a1", job)
    cell.advance(15.0)
    assert phase_of(cell, job) == ("completed", 9, 0)
    assert_promises(cell)


def test_history_shows_every_promise_checked():
    """The checks above must have had something to check."""
    cell = make_cell()
    cell.request("a1", "small", "lookup", idempotent=False)
    cell.submit("a1", make_job("j1", "refresh", 5))
    cell.advance(3.0)
    by_promise = {v.promise: v.n_checked for v in check_history(cell.history.events)}
    assert by_promise["no task in two places"] == 5
    assert by_promise["non-idempotent at most once"] == 1
