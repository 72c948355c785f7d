"""Which runs are taken off a worker before it leaves."""

#: Time before a worker's end at which long-running tasks are moved: a stop takes up to 0.9 s, and
#: a start elsewhere may first need advice of 0.8 s. Left to the worker's end, they would be missed
#: for 4 s: the worker has to fall silent and its leases to end. Unit: seconds.
MOVE_S = 2.0

#: Margin by which a run must end before its worker does to be left alone. Unit: seconds.
END_MARGIN_S = 0.3


def find_leaving_runs(scheduler, now):
    """Return the runs that cannot end before their worker does."""
    leaving = []
    for worker in scheduler.workers.values():
        if worker.leaves_at is None or worker.unreachable:
            continue
        left = worker.leaves_at - now
        leaving += [
            run
            for run in worker.runs.values()
            if run.state == "running" and _is_cut_off(run, left, now)
        ]
    return leaving


def _is_cut_off(run, left, now):
    """Whether a run should be stopped now for a start elsewhere."""
    step = run.step
    if step.long_running:
        return left < MOVE_S
    if step.gang or step.estimate_s <= 0:
        return False
    return _time_to_end(run, now) > left - END_MARGIN_S


def _time_to_end(run, now):
    """Return how long a run still takes, by its progress or else by its estimate."""
    elapsed = now - run.began_at
    if run.percent >= 5:
        return elapsed * (100 - run.percent) / run.percent
    return max(0.0, run.step.estimate_s - elapsed)
