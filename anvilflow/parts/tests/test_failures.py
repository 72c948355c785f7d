"""Failures of instances, workers and the platform, under virtual time."""

import pytest

from anvilflow.history import RunBegan, RunEnded, check_history
from anvilflow.utils import encode

from ._helpers import assert_invariants, make_cell, make_job, outcomes, phase_of


def new_work_after(cell, at, workers):
    """Return the first time after `at` at which one of the workers began to run something."""
    starts = [
        event.at
        for event in cell.history.events
        if isinstance(event, RunBegan) and event.at > at and event.worker in workers
    ]
    return min(starts, default=None)


@pytest.mark.parametrize("table_down", [False, True])
def test_workers_of_a_crashed_owner_take_new_work(table_down):
    """A caller keeps sending requests while the instance that owns some workers crashes.

    The other instances miss its heartbeats. Each computes the new owners on its own, and they claim
    the workers, which then refuse the former owner's epoch. This needs no access to the table, so
    an outage of the table at the same time changes nothing.
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
    assert_invariants(cell)


def test_job_completes_after_two_crashes_of_its_coordinator():
    """A job completes although the instance that coordinates it crashes twice.

    The next coordinator claims the customer's row, reads from the records where tasks were placed,
    and queries the owners of those workers. Ended tasks are not repeated, and running tasks
    continue.
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
    assert_invariants(cell)


def test_paused_owner_resumes_after_every_lease_expired():
    """An owner with requests and tasks is paused for longer than every lease.

    The other instances take over its workers. When the owner resumes, it sends starts and renewals
    under its old epoch. The workers refuse these, so no task runs twice.
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
    assert_invariants(cell)


def test_paused_coordinator_records_nothing_after_it_lost_its_row():
    """A coordinator is paused with holds granted and intents not yet recorded.

    Another coordinator takes over its jobs. When the first one resumes, it writes its old intents.
    The condition on the coordinator's row refuses them, and an attempt whose intent is not recorded
    is not started. No task runs twice, and none is lost.
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
    assert_invariants(cell)


def test_requests_and_running_tasks_go_on_without_the_table():
    """The table is unavailable for ten minutes while requests arrive and tasks run and end.

    Requests need no access to the table. Owners renew the leases of tasks without the table. The
    workers keep the results, and these are written once, when the table is available again.
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
    assert_invariants(cell)


def test_large_results_are_kept_until_the_object_store_is_available():
    """Tasks end with large results while the object store is unavailable.

    No task is recorded as done before its result is stored; until then the workers keep the
    results. When the store is available again, each result is stored once, and the job completes.
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
    assert_invariants(cell)


def test_job_is_refused_at_once_without_the_table():
    """A job that cannot be made durable is refused with an error code, not kept in memory."""
    cell = make_cell()
    cell.table_faults.down = True
    answers = cell.submit("a1", make_job("j1", "refresh", 5))
    cell.advance(1.0)
    assert answers[0].value.code == "AF402"


def test_write_whose_answer_is_lost_is_not_made_twice():
    """The table stores a job, but every answer to the write is lost.

    The instance reads the row back and answers the caller. When the caller submits the job again at
    another instance, nothing changes.
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
    assert_invariants(cell)


def test_worker_crash_repeats_its_tasks_elsewhere():
    """A worker crashes with tasks running and loses its state; the tasks run again elsewhere."""
    cell = make_cell()
    job = make_job("j1", "refresh", 30, seconds=2.0)
    cell.submit("a1", job)
    cell.advance(1.0)
    crashed = next(name for name, state in cell.workers.items() if state.tasks)
    cell.workers[crashed].crash()
    cell.advance(20.0)
    assert phase_of(cell, job) == ("completed", 30, 0)
    assert_invariants(cell)


def test_unreachable_worker_keeps_its_tasks_until_their_leases_lapse():
    """A worker with running tasks is unreachable for a while, and then reachable again.

    Its owner cannot know whether the tasks still run, so they are started nowhere else while the
    worker is unreachable. Only when the worker reports that the leases lapsed do the tasks run
    again.
    """
    cell = make_cell()
    job = make_job("j1", "refresh", 30, seconds=60.0)
    cell.submit("a1", job)
    cell.advance(1.0)
    unreachable = next(name for name, state in cell.workers.items() if state.tasks)
    cell.workers[unreachable].faults.down = True
    cell.advance(40.0)
    lapsed = [e for e in cell.history.events if isinstance(e, RunEnded) and e.how == "lapsed"]
    assert lapsed
    cell.workers[unreachable].faults.down = False
    cell.advance(150.0)
    assert phase_of(cell, job) == ("completed", 30, 0)
    assert_invariants(cell)


def test_leaving_worker_gets_no_new_work():
    """The platform marks a worker as leaving: its running work ends, and it gets no new work."""
    cell = make_cell()
    cell.worker_leaves("w03")
    for _ in range(60):
        cell.request("a1", "small", "lookup")
        cell.submit("a1", make_job(f"j{len(cell.history.events)}", "refresh", 3, seconds=0.1))
        cell.advance(0.1)
    assert_invariants(cell)
    late = new_work_after(cell, cell.clock.seconds() - 3.0, ["w03"])
    assert late is None


def test_unreachable_worker_that_leaves_is_not_reopened():
    """A worker becomes unreachable, is marked as leaving, and becomes reachable again.

    Its owner has closed it because it was unreachable. The first answer must not reopen it, because
    the worker is still leaving. (Found by chaos seed 12.)
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
    assert_invariants(cell)


def test_not_run_is_answered_only_when_no_attempt_may_have_run():
    """An owner and its workers are lost with a request in flight; the retry elsewhere is refused.

    The caller must receive "unknown": the last attempt did not run, but the first may have. (Found
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
    assert_invariants(cell)


def test_coordinator_with_late_configuration_uses_the_records_of_a_job():
    """A coordinator takes over jobs before its configuration has one of them, which already runs.

    When the configuration is up to date, the job must not be treated as new: the records that were
    read at the take-over show where its tasks run. (Found by chaos seed 38, as tasks in
    two places.)
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
    assert_invariants(cell)


def test_rolling_restart_fails_no_request():
    """All instances are drained and replaced one after the other under load.

    The health check shows the drain to the load balancer before connections are refused. The
    draining instance hands over its workers and completes the requests that it has.
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
    assert_invariants(cell)


def test_connection_with_a_one_way_partition_is_replaced():
    """One direction between two instances stops carrying data on the open connections.

    Both ends close the connection once nothing was received for ``suspect_s`` seconds. New
    connections work, and requests between the instances are answered.
    """
    cell = make_cell()
    cell.network.block("a1", "a2")
    cell.advance(3.0)
    cell.network.heal()
    cell.advance(2.0)
    answers = [cell.request("a1", "small", "lookup") for _ in range(20)]
    cell.advance(1.0)
    assert set(outcomes(answers)) == {"completed"}
    assert_invariants(cell)


def test_connections_are_dialled_again_while_the_list_is_unavailable():
    """Two instances lose their connection during an outage of the membership list.

    They dial the last known address, so that load, hints and requests are exchanged again. (Chaos
    seed 917: an instance was isolated until the list was available again, and gave work to a worker
    that was leaving.)
    """
    cell = make_cell()
    cell.membership_faults.down = True
    cell.network.block("a1", "a2")
    cell.advance(4.0)
    assert "a2" not in cell.part("a1", "peers").dump()
    cell.network.heal()
    cell.advance(3.0)
    assert "a2" in cell.part("a1", "peers").dump()
    answers = [cell.request("a1", "small", "lookup") for _ in range(20)]
    cell.advance(1.0)
    assert set(outcomes(answers)) == {"completed"}
    assert_invariants(cell)


def test_idempotency_key_applies_across_instances():
    """A billed order is sent again to another instance with the same key: it runs once."""
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
    """Without the table a key cannot be claimed: the answer is "not run", at once and correctly."""
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


def test_cancelled_job_starts_nothing_after_its_phase_is_written():
    """A job is cancelled with tasks running, held and queued: all end, and none starts later."""
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
    assert_invariants(cell)


def test_two_gangs_that_each_need_most_of_the_cell_both_finish():
    """Two gang jobs of different customers each need more than half of the places at once.

    Each is granted some holds and waits for the others, which could be a deadlock. The older job
    takes over the holds of the younger one, so that both complete one after the other.
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
    assert_invariants(cell)


def test_gang_is_not_blocked_by_an_owner_whose_only_worker_leaves():
    """A hold for a gang is requested of an owner whose only worker is leaving.

    That owner must refuse, and the coordinator must ask another owner; the job completes. (Chaos
    seed 619.)
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
    assert_invariants(cell)


def test_history_check_finds_events_for_the_invariants():
    """The checks of invariants in the other tests must find events to check."""
    cell = make_cell()
    cell.request("a1", "small", "lookup", idempotent=False)
    cell.submit("a1", make_job("j1", "refresh", 5))
    cell.advance(3.0)
    n_checked_by_invariant = {v.promise: v.n_checked for v in check_history(cell.history.events)}
    assert n_checked_by_invariant["no task in two places"] == 5
    assert n_checked_by_invariant["non-idempotent at most once"] == 1
