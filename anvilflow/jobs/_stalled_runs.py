"""Runs that stand still or are far too slow, while the worker's health is good."""

from statistics import median

from ._job import TaskState

#: Time without progress after which a run counts as standing still. Workers report twice a second,
#: so it is seen by the first report without progress. Measured by the worker's own clock: a report
#: that was late on the way says nothing of the run. Unit: seconds.
STALL_S = 0.45

#: The same in parts of the run's full time: progress comes in whole percents, and a worker that
#: has turned slow in the middle takes several times as long for each.
STALL_SHARE = 0.04

#: A resumed run shows no progress while its checkpoint is read. Unit: seconds.
RESTORE_S = 0.6

#: Share of the work from which a run's progress tells its speed: steps of a whole percent are off
#: by a third at the most.
MIN_PERCENT = 3

#: Time from which it does. Unit: seconds.
MIN_ELAPSED_S = 0.4

#: Times that a stop and a run elsewhere must be shorter than what is left of a slow run.
GAIN_TIMES = 1.3

#: Weight of the newest run in a worker's slowness.
SLOWNESS_WEIGHT = 0.3

#: Slowness of a worker on which a run was given up for slowness. It ends well nowhere else, so that
#: the worker would go on getting tasks; a few that end well there make up for it.
SLOW_RUN_SLOWNESS = 4.0

#: Estimates are off by a half, either way. An estimated length counts this many times over.
ESTIMATE_TIMES = 2.0


def note_duration(worker, step, seconds):
    """Let a run that ended well count towards the worker's slowness and the step's real length."""
    step.durations.append(seconds)
    if step.spec.estimate_s > 0 and not step.spec.data_rack:
        ratio = seconds / step.spec.estimate_s
        worker.slowness += SLOWNESS_WEIGHT * (ratio - worker.slowness)


def is_slow(worker, policy):
    """Whether a worker takes far longer than estimated."""
    return worker.slowness > policy.slow_times


def find_stalled_runs(scheduler, now):
    """Return the runs that should be given up for others, each with the reason.

    Long-running tasks show no progress, members of a gang wait for each other, and what fills may
    be slowed down on purpose: none of these is judged.

    A task that was given up before is given twice as long each time: the task may be what is wrong.
    Without that, a job whose estimate was a tenth of its length was stopped for ever.
    """
    stalled = []
    usual_times = {}
    for worker in scheduler.workers.values():
        if worker.unreachable:
            continue
        for run in worker.runs.values():
            step = run.step
            if run.state != "running" or step.long_running or step.gang or step.fills:
                continue
            step_run, task = scheduler.find_task(run.task)
            if task is None or run.reported_clock is None:
                continue
            patience = 2**task.n_stalled_runs
            if _stands_still(run, patience):
                stalled.append((run, "stands still"))
            elif _looks_slow(run, patience):
                times = usual_times.get(step_run.key)
                if times is None:
                    times = usual_times[step_run.key] = _full_times(step_run)
                if _is_better_elsewhere(scheduler, times, run, now, patience):
                    stalled.append((run, "slow"))
    return stalled


def _stands_still(run, patience):
    full_s = _full_time(run) or ESTIMATE_TIMES * run.step.estimate_s
    allowed_s = STALL_S + STALL_SHARE * full_s
    if run.resumes:
        allowed_s += RESTORE_S
    return run.reported_clock - run.percent_clock > patience * allowed_s


def _elapsed(run):
    """Return for how long a run had worked when it was last reported. Unit: seconds."""
    return run.reported_at - run.began_at


def _full_time(run):
    """Return how long the whole run takes at its speed so far, or None when that is not known."""
    worked = run.percent - run.first_percent
    if _elapsed(run) < MIN_ELAPSED_S or worked < MIN_PERCENT:
        return None
    return 100 * _elapsed(run) / worked


def _least_full_time(run):
    """Return how long the whole run takes at the least, or None when it has hardly begun."""
    full_s = _full_time(run)
    if full_s is None and _elapsed(run) >= MIN_ELAPSED_S and not run.resumes:
        full_s = 100 * _elapsed(run) / MIN_PERCENT
    return full_s


def _looks_slow(run, patience):
    """Whether a run may be slow at all; this alone is asked of each run at each look.

    Judged is its speed against that of others. What is far from its data is slow everywhere.
    """
    if run.step.data_rack or run.step.rack_sensitive:
        return False
    full_s = _least_full_time(run)
    return full_s is not None and full_s > patience * run.step.estimate_s


def _full_times(step):
    """Return how long runs of a step take, as ``(worker, seconds)``; worker None: it ended."""
    times = [(None, seconds) for seconds in step.durations]
    for task in step.tasks:
        if task.state is TaskState.RUNNING:
            times += [(run.worker, _full_time(run)) for run in task.runs.values()]
    return [(worker, seconds) for worker, seconds in times if seconds is not None]


def _is_better_elsewhere(scheduler, times, run, now, patience):
    """Whether a run is far slower than others like it, and a new one would end well before it.

    Judged by other runs of the step, not by the estimate: a job may be far larger than it says.
    Judged by the estimate alone, 643 runs of such jobs were stopped in a day, and 2,200
    core-seconds of their work thrown away.
    """
    full_s = _least_full_time(run)
    usual_s = _usual_time(scheduler.policy, times, run, now)
    if usual_s is None or full_s < patience * scheduler.policy.slow_times * usual_s:
        return False
    done = run.percent / 100
    kept = done if run.step.checkpointing and run.checkpoint else 0.0
    elsewhere_s = scheduler.stop_s + usual_s * (1.0 - kept)
    return full_s * (1.0 - done) > GAIN_TIMES * elsewhere_s


def _usual_time(policy, times, run, now):
    """Return how long other workers take for a task of the step, or None when that is not known."""
    others = [seconds for worker, seconds in times if worker is not run.worker]
    elapsed = now - run.began_at
    if len(others) >= 2:
        return median(others)
    if others and elapsed > policy.slow_times * others[0]:
        return others[0]
    estimate_s = ESTIMATE_TIMES * run.step.estimate_s
    return estimate_s if is_slow(run.worker, policy) and 0 < estimate_s < elapsed else None


def has_copy(task):
    """Whether a task runs in more than one place."""
    return task.state is TaskState.RUNNING and len(task.runs) > 1
