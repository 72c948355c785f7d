"""Tests of the start queue, without network."""

from twisted.internet.task import Clock

from anvilflow.cell._start_queue import StartQueue
from anvilflow.decisions._send_window import FIRST_LIMIT
from anvilflow.jobs import Queue, StepSpec, StopRun
from anvilflow.jobs.tests.test_scheduler import add_job, make_scheduler

URGENT = Queue(name="urgent", host="h", prefix="/u/", service="s", priority=0)
USUAL = Queue(name="usual", host="h", prefix="/n/", service="s", priority=1)


class _Leader:
    """A scheduler with a start queue that records which starts are sent and dropped."""

    def __init__(self, *, n_workers=40):
        self.clock = Clock()
        self.scheduler = make_scheduler(n_workers)
        self.sent = []
        self.dropped = []
        self.may_send_commands = True
        self.queue = StartQueue(
            clock=self.clock,
            scheduler=self.scheduler,
            send=lambda action, waited_s: self.sent.append(action),
            drop=self.dropped.append,
            may_send_commands=lambda: self.may_send_commands,
        )

    def submit(self, number, *, n_tasks, queue=USUAL, **values):
        """Add a job, queue the starts that the scheduler decides, and return them."""
        step = StepSpec(n_tasks=n_tasks, cpu_milli=100, estimate_s=1.0, **values)
        starts = add_job(self.scheduler, step, job_id=f"{number:016x}")
        self.scheduler.jobs[f"{number:016x}"].queue = queue
        for start in starts:
            self.queue.add(start)
        return starts


def test_no_more_starts_are_sent_than_the_window_allows():
    """Starts beyond the window wait on the link, where they are neither reordered nor withdrawn."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=FIRST_LIMIT + 5)
    leader.queue.send_due()
    assert leader.sent == starts[:FIRST_LIMIT]
    leader.queue.release(starts[0])
    assert leader.sent == starts[: FIRST_LIMIT + 1]
    leader.queue.release(starts[0])
    assert len(leader.sent) == FIRST_LIMIT + 1


def test_more_urgent_start_overtakes_queued_starts():
    """Without priority, a quick job waited until all starts of a burst of long jobs were sent."""
    leader = _Leader()
    leader.submit(1, n_tasks=FIRST_LIMIT + 5)
    leader.queue.send_due()
    [urgent] = leader.submit(2, n_tasks=1, queue=URGENT)
    leader.queue.release(leader.sent[0])
    assert leader.sent[-1] == urgent


def test_gang_is_sent_as_a_whole():
    """Members that were sent alone ran while waiting for the others, and ended without them."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=FIRST_LIMIT + 5, gang=True)
    leader.queue.send_due()
    assert leader.sent == starts


def test_gang_with_a_member_on_an_unreachable_worker_is_not_sent():
    """A worker becomes unreachable while its start is queued.

    The other members of the gang would run while waiting for a member that is not started.
    """
    leader = _Leader()
    starts = leader.submit(1, n_tasks=3, gang=True)
    leader.scheduler.worker_unreachable(starts[1].worker_id, 0.0)
    leader.queue.send_due()
    assert leader.sent == []
    assert leader.dropped == starts


def test_queued_start_whose_worker_begins_to_drain_is_not_sent():
    """A worker begins to drain while a start is queued; a draining worker accepts no new work."""
    leader = _Leader()
    [start] = leader.submit(1, n_tasks=1)
    worker = leader.scheduler.workers[start.worker_id]
    worker.listed = False
    leader.queue.send_due()
    assert leader.sent == []
    assert leader.dropped == [start]


def test_queued_start_of_a_cancelled_job_is_withdrawn():
    """Sending the start and then its stop would load a full link twice to no effect."""
    leader = _Leader()
    leader.submit(1, n_tasks=1)
    [stop] = leader.scheduler.cancel_job(f"{1:016x}", 0.0)
    assert isinstance(stop, StopRun)
    assert leader.queue.withdraw(stop)
    assert not leader.queue.withdraw(stop)
    leader.queue.send_due()
    assert leader.sent == []
    assert len(leader.queue) == 0


def test_starts_stay_queued_while_no_commands_may_be_sent():
    """A leader that may have been replaced must neither send starts nor discard them."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=2)
    leader.may_send_commands = False
    leader.queue.send_due()
    assert leader.sent == []
    leader.may_send_commands = True
    leader.queue.send_due()
    assert leader.sent == starts
