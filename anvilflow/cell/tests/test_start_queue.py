"""Starts that wait for their turn, without network."""

from twisted.internet.task import Clock

from anvilflow.cell._start_queue import StartQueue
from anvilflow.decisions._send_window import FIRST_LIMIT
from anvilflow.jobs import Queue, StepSpec, StopRun
from anvilflow.jobs.tests.test_scheduler import add_job, make_scheduler

URGENT = Queue(name="urgent", host="h", prefix="/u/", service="s", priority=0)
USUAL = Queue(name="usual", host="h", prefix="/n/", service="s", priority=1)


class _Leader:
    """A scheduler with a queue of starts, and what became of them."""

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
        """Decide the starts of a job; return them."""
        step = StepSpec(n_tasks=n_tasks, cpu_milli=100, estimate_s=1.0, **values)
        starts = add_job(self.scheduler, step, job_id=f"{number:016x}")
        self.scheduler.jobs[f"{number:016x}"].queue = queue
        for start in starts:
            self.queue.add(start)
        return starts


def test_no_more_starts_are_sent_than_the_window_allows():
    """What is sent beyond it waits on the link, where it can be neither ordered nor taken back."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=FIRST_LIMIT + 5)
    leader.queue.send_due()
    assert leader.sent == starts[:FIRST_LIMIT]
    leader.queue.release(starts[0])
    assert leader.sent == starts[: FIRST_LIMIT + 1]
    leader.queue.release(starts[0])
    assert len(leader.sent) == FIRST_LIMIT + 1


def test_more_urgent_start_overtakes_those_that_wait():
    """Behind a burst of long jobs a quick one waited until the link had carried them all."""
    leader = _Leader()
    leader.submit(1, n_tasks=FIRST_LIMIT + 5)
    leader.queue.send_due()
    [urgent] = leader.submit(2, n_tasks=1, queue=URGENT)
    leader.queue.release(leader.sent[0])
    assert leader.sent[-1] == urgent


def test_gang_is_sent_as_a_whole():
    """Members that were sent alone waited at work for the others, and ended without them."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=FIRST_LIMIT + 5, gang=True)
    leader.queue.send_due()
    assert leader.sent == starts


def test_gang_with_a_member_whose_worker_fell_silent_is_not_sent():
    """Its other members would wait at work for one that does not come."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=3, gang=True)
    leader.scheduler.worker_unreachable(starts[1].worker_id, 0.0)
    leader.queue.send_due()
    assert leader.sent == []
    assert leader.dropped == starts


def test_start_whose_worker_drains_meanwhile_is_not_sent():
    """A start that waited must not go to a worker that takes no work any more."""
    leader = _Leader()
    [start] = leader.submit(1, n_tasks=1)
    worker = leader.scheduler.workers[start.worker_id]
    worker.listed = False
    leader.queue.send_due()
    assert leader.sent == []
    assert leader.dropped == [start]


def test_start_of_a_cancelled_job_is_taken_back():
    """Sent and stopped again, it would load a full link twice for nothing."""
    leader = _Leader()
    leader.submit(1, n_tasks=1)
    [stop] = leader.scheduler.cancel_job(f"{1:016x}", 0.0)
    assert isinstance(stop, StopRun)
    assert leader.queue.withdraw(stop)
    assert not leader.queue.withdraw(stop)
    leader.queue.send_due()
    assert leader.sent == []
    assert len(leader.queue) == 0


def test_starts_wait_while_nothing_may_be_ordered():
    """A leader that may have lost its place must neither send starts nor lose them."""
    leader = _Leader()
    starts = leader.submit(1, n_tasks=2)
    leader.may_send_commands = False
    leader.queue.send_due()
    assert leader.sent == []
    leader.may_send_commands = True
    leader.queue.send_due()
    assert leader.sent == starts
