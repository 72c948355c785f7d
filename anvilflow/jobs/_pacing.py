"""Slowing down tasks that fill, where they disturb tasks that serve users."""

from ._actions import SetPace

#: Share of its target at which a serving task's tail counts as calm. The tail that a worker reports
#: is a rough figure of half a second, so the room between calm and late keeps pace from swinging.
CALM_SHARE = 0.6

#: Calm time before what fills gets its next share of speed back. Unit: seconds.
CALM_S = 1.5

#: Shares of speed that what fills goes through on the way back. Unit: percent.
PACES = (0, 25, 50, 100)


def pace_background_tasks(scheduler, worker, now):
    """Return the changes of pace on a worker after its report.

    A late tail stops all that fills at once: the users of the serving task wait now, and whether it
    is their own load or the neighbours shows when the neighbours stand still.
    """
    serving = [run for run in worker.runs.values() if run.step.target_s > 0]
    fillers = [run for run in worker.runs.values() if run.step.fills and run.state == "running"]
    if not fillers:
        return []
    worker_id = worker.info.worker_id
    tail = max((run.load / 1000 / run.step.target_s for run in serving), default=0.0)
    if tail >= 1.0:
        scheduler.pace_changed_at[worker_id] = now
        return [_set(run, PACES[0]) for run in fillers if run.pace > PACES[0]]
    if tail > CALM_SHARE:
        scheduler.pace_changed_at[worker_id] = now
        return []
    if now - scheduler.pace_changed_at.get(worker_id, 0.0) < CALM_S:
        return []
    slowed = [run for run in fillers if run.pace < PACES[-1]]
    if slowed:
        scheduler.pace_changed_at[worker_id] = now
    return [_set(run, next(pace for pace in PACES if pace > run.pace)) for run in slowed]


def _set(run, percent):
    run.pace = percent
    return SetPace(
        worker_id=run.worker.info.worker_id, task=run.task, run_id=run.run_id, percent=percent
    )
