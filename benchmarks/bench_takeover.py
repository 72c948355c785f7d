"""Benchmark of a change of leader under load, and of the removal of ended jobs, in virtual time.

Prints, for several durations of a call to the store, the time from the loss of a leader until the
next one leads, the time from the acceptance of a job near the loss to its first start, and the
calls to the store meanwhile; then the writes for each job from its acceptance to the removal of its
rows.
"""

from statistics import mean, quantiles

from anvilflow.cell import Bounds
from anvilflow.standins import PlatformCell

#: Load: jobs per second, each with one task.
JOBS_PER_S = 15
STEP = {"count": 1, "cpu": 500}
SPEC = "0.3 done 500"

#: Durations of a call to the store, and number of plays for each. Unit: seconds.
CALL_DURATIONS_S = (0.0, 0.05, 0.3)
N_PLAYS = 8

#: Period with which a worker writes its registry entry. Unit: seconds.
HEARTBEAT_S = 1.5

#: From the start of the load to the loss, and from the loss to the end of the load and of the
#: measurement. Unit: seconds.
BEFORE_S = 2.0
AFTER_S = 4.0
STEP_S = 0.01

#: Jobs accepted from this long before the loss count. Unit: seconds.
NEAR_S = 1.0


def main():
    """Run both parts and print the figures."""
    for call_s in CALL_DURATIONS_S:
        plays = [_lose_leader(call_s, number) for number in range(N_PLAYS)]
        takeovers, calls = [play[0] for play in plays], [play[1] for play in plays]
        waits = [wait for play in plays for wait in play[2]]
        print(
            f"store call {call_s:.2f} s: next leader after {mean(takeovers):.2f} s (largest "
            f"{max(takeovers):.2f}); first start of {len(waits)} jobs {mean(waits):.3f} s after "
            f"the acceptance, p90 {quantiles(waits, n=10)[-1]:.3f}, largest {max(waits):.3f}; "
            f"{mean(calls):.0f} calls to the store"
        )
    _remove_jobs()


def _lose_leader(call_s, number):
    """Return the time until the next leader, the calls to the store, and the waits of jobs."""
    cell = PlatformCell(n_instances=9, n_workers=24, random_state=number)
    cell.start()
    for worker_id in cell.workers:
        _keep_entry(cell, worker_id)
    cell.store_faults.slow_s = call_s
    load = _Load(cell)
    load.run(BEFORE_S)
    calls_before = cell.store.n_reads + cell.store.n_writes
    lost_at, former = cell.clock.seconds(), cell.leader()
    cell.kill(former)
    led_at = None
    while cell.clock.seconds() < lost_at + AFTER_S:
        load.run(STEP_S)
        if led_at is None and any(name != former for name in cell.leaders()):
            led_at = cell.clock.seconds()
    n_calls = cell.store.n_reads + cell.store.n_writes - calls_before
    cell.advance(2.0)
    waits = load.waits(accepted_after=lost_at - NEAR_S, accepted_before=lost_at + NEAR_S)
    return led_at - lost_at, n_calls, waits


def _keep_entry(cell, worker_id):
    """Let a worker write its registry entry periodically, at moments of its own."""

    def write():
        cell.store.put("servers", worker_id, cell.workers[worker_id].entry())
        cell.clock.callLater(HEARTBEAT_S, write)

    cell.clock.callLater(cell.random_state.uniform(0.0, HEARTBEAT_S), write)


def _remove_jobs():
    """Print the writes for each job from its acceptance to the removal of its rows."""
    cell = PlatformCell(n_instances=9, n_workers=24, bounds=Bounds(status_kept_s=1.0))
    cell.start()
    load = _Load(cell)
    load.run(20.0)
    writes_before = cell.store.n_writes
    load.run(10.0)
    n_jobs = 10 * JOBS_PER_S
    print(f"removal: {(cell.store.n_writes - writes_before) / n_jobs:.2f} writes a job")


class _Load:
    """Submits jobs at a steady rate at all instances but the leader, in turn."""

    def __init__(self, cell):
        self.cell = cell
        self.answers = {}
        self.accepted_at = {}
        self._due_at = cell.clock.seconds()

    def run(self, seconds):
        """Submit jobs for a time."""
        until = self.cell.clock.seconds() + seconds
        while self.cell.clock.seconds() < until:
            if self.cell.clock.seconds() >= self._due_at:
                self._due_at += 1 / JOBS_PER_S
                number = len(self.answers)
                job_id = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
                names = [name for name in self.cell.daemons if name != self.cell.leader()]
                name = names[number % len(names)]
                self.answers[job_id] = self.cell.submit(name, job_id, STEP, spec=SPEC)
            self.cell.advance(STEP_S)
            for job_id, answers in self.answers.items():
                if answers and answers[0][0] == 200:
                    self.accepted_at.setdefault(job_id, self.cell.clock.seconds())

    def waits(self, *, accepted_after, accepted_before):
        """Return the times from acceptance to first start of the jobs accepted between two times.

        Unit: seconds.
        """
        began_at = {}
        for span in self.cell.spans:
            began_at.setdefault(span.task.partition(".")[0], span.began_at)
        return [
            began_at[job_id] - at
            for job_id, at in self.accepted_at.items()
            if accepted_after <= at <= accepted_before
        ]


if __name__ == "__main__":
    main()
