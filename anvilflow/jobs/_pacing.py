"""Pacing of background tasks that slow down the long-running tasks on the same worker."""

from ._actions import SetPace

#: Ratio of a long-running task's tail latency to its target up to which background tasks may speed
#: up. The reported tail is a rough figure over half a second. The gap between this ratio and 1, at
#: which background tasks are paused, keeps their pace from oscillating.
CALM_TAIL_RATIO = 0.6

#: Time for which the tail must stay calm before background tasks speed up by one step. Unit:
#: seconds.
CALM_S = 1.5

#: Paces through which background tasks return to full speed. Unit: percent of full speed.
PACES = (0, 25, 50, 100)


def pace_background_tasks(scheduler, worker, now):
    """Return the changes of pace of a worker's background tasks after its report.

    When a long-running task misses its target, all background tasks are paused at once: its users
    are affected now, and the pause shows whether the background tasks or its own load is the cause.
    """
    serving = [run for run in worker.runs.values() if run.step.target_s > 0]
    background = [run for run in worker.runs.values() if run.step.fills and run.state == "running"]
    if not background:
        return []
    worker_id = worker.info.worker_id
    tail_ratio = max((run.load / 1000 / run.step.target_s for run in serving), default=0.0)
    if tail_ratio >= 1.0:
        scheduler.pace_changed_at[worker_id] = now
        return [_set_pace(run, PACES[0]) for run in background if run.pace > PACES[0]]
    if tail_ratio > CALM_TAIL_RATIO:
        scheduler.pace_changed_at[worker_id] = now
        return []
    if now - scheduler.pace_changed_at.get(worker_id, 0.0) < CALM_S:
        return []
    slowed = [run for run in background if run.pace < PACES[-1]]
    if slowed:
        scheduler.pace_changed_at[worker_id] = now
    return [_set_pace(run, next(pace for pace in PACES if pace > run.pace)) for run in slowed]


def _set_pace(run, percent):
    run.pace = percent
    return SetPace(
        worker_id=run.worker.info.worker_id, task=run.task, run_id=run.run_id, percent=percent
    )
