"""Runs that stand still or are far too slow, while the worker's health is good."""

from ._job import TaskState

#: Time without progress after which a run counts as standing still: workers report twice a second,
#: and a run that resumes from a checkpoint shows nothing for 0.6 s. Unit: seconds.
STALL_S = 1.3

#: The same in parts of the task's estimate: progress comes in whole percents.
STALL_SHARE = 0.1

#: Times its estimate after which a run is looked at for slowness. Estimates are off by a fifth and
#: tasks of a step differ by a third, so that a sound run stays under twice its estimate.
SLOW_TIMES = 2.2

#: Time that a stop may take; a run that needs less than this and a whole new run is left alone.
#: Unit: seconds.
STOP_S = 0.9

#: Weight of the newest run in a worker's slowness.
SLOWNESS_WEIGHT = 0.3

#: Slowness from which other workers are preferred: twice as long as estimated.
SLOW_WORKER = 2.0


def note_duration(worker, step, seconds):
    """Let a run that ended well count towards the worker's slowness and the step's real length."""
    step.longest_s = max(step.longest_s, seconds)
    if step.spec.estimate_s > 0 and not step.spec.data_rack:
        ratio = seconds / step.spec.estimate_s
        worker.slowness += SLOWNESS_WEIGHT * (ratio - worker.slowness)


def is_slow(worker):
    """Whether a worker takes far longer than estimated."""
    return worker.slowness > SLOW_WORKER


def find_sick_runs(scheduler, now):
    """Return the runs that should be given up for others, each with the reason.

    Long-running tasks show no progress, members of a gang wait for each other, and what fills may
    be slowed down on purpose: none of these is judged.
    """
    sick = []
    for worker in scheduler.workers.values():
        if worker.silent:
            continue
        for run in worker.runs.values():
            step = run.step
            if run.state != "running" or step.long_running or step.gang or step.fills:
                continue
            why = _why_sick(run, now)
            if why is None or _was_given_up(scheduler, run):
                continue
            if why == "stands still" or _others_are_faster(scheduler, run, now):
                sick.append((run, why))
    return sick


def _was_given_up(scheduler, run):
    """Whether a run of this task was given up before: the task may be what is wrong.

    Without this bound a job whose estimate was a tenth of its length was stopped for ever.
    """
    _, task = scheduler.find_task(run.task)
    return task is None or task.given_up


def _others_are_faster(scheduler, run, now):
    """Whether it is the worker that is slow, and not the work.

    A job may be far larger than its estimate, or never end at all. Judged by the estimate alone,
    643 runs of such jobs were stopped in a day, and 2,200 core-seconds of their work thrown away.
    """
    if is_slow(run.worker):
        return True
    step, _ = scheduler.find_task(run.task)
    if step is None:
        return False
    if step.longest_s:
        return now - run.began_at > SLOW_WORKER * step.longest_s
    speeds = sorted(
        other.percent / max(0.1, now - other.began_at)
        for task in step.tasks
        for other in task.runs.values()
        if other.worker is not run.worker and other.state == "running"
    )
    own = run.percent / max(0.1, now - run.began_at)
    return bool(speeds) and speeds[len(speeds) // 2] > SLOW_WORKER * own


def _why_sick(run, now):
    estimate = run.step.estimate_s
    # Up to the last report: no news is no sign of a run that stands still.
    if run.reported_at - run.percent_at > STALL_S + STALL_SHARE * estimate:
        return "stands still"
    elapsed = now - run.began_at
    if estimate <= 0 or elapsed < SLOW_TIMES * estimate or run.percent <= 0:
        return None
    left = elapsed * (100 - run.percent) / run.percent
    return "slow" if left > STOP_S + SLOW_TIMES * estimate else None


def has_copy(task):
    """Whether a task runs in more than one place."""
    return task.state is TaskState.RUNNING and len(task.runs) > 1
