"""Choice of the runs that are stopped on a leaving worker, to be started again elsewhere."""

#: Time before a worker leaves at which its long-running tasks are moved. A stop takes up to 0.9 s,
#: and a start elsewhere may first need an advice request of 0.8 s. Tasks that stay until the worker
#: leaves have no run for up to 1.8 s: its leases must first expire. Unit: seconds.
MOVE_S = 2.0

#: Margin by which a run must be expected to end before its worker leaves, to be left running. Unit:
#: seconds.
END_MARGIN_S = 0.3


def find_leaving_runs(scheduler, now):
    """Return the runs to be moved now because their workers leave."""
    leaving = []
    for worker in scheduler.workers.values():
        if worker.leaves_at is None or worker.unreachable:
            continue
        remaining_s = worker.leaves_at - now
        leaving += [
            run
            for run in worker.runs.values()
            if run.state == "running" and _should_be_moved(run, remaining_s, now)
        ]
    return leaving


def _should_be_moved(run, remaining_s, now):
    """Whether a run should be stopped now, as its worker leaves in `remaining_s` seconds.

    Members of a gang and runs without an estimated duration are not moved.
    """
    step = run.step
    if step.long_running:
        return remaining_s < MOVE_S
    if step.gang or step.estimate_s <= 0:
        return False
    return _remaining_time(run, now) > remaining_s - END_MARGIN_S


def _remaining_time(run, now):
    """Return the run's remaining time, by its progress from 5 percent on, before by its estimate.

    Unit: seconds.
    """
    elapsed = now - run.began_at
    if run.percent >= 5:
        return elapsed * (100 - run.percent) / run.percent
    return max(0.0, run.step.estimate_s - elapsed)
