"""Detection of stalled and slow runs on workers that report good health."""

from statistics import median

from ._job import TaskState

#: Time without progress after which a run counts as stalled, in addition to
#: :data:`STALL_DURATION_SHARE`. Workers report twice a second, so that the first report without
#: progress shows the stall. The time is measured by the worker's own clock, since a report that was
#: delayed on its way is no evidence about the run. Unit: seconds.
STALL_S = 0.45

#: Share of the run's duration that is added to :data:`STALL_S`. Progress is reported in whole
#: percents, and a worker that becomes slow during a run takes several times as long for each.
STALL_DURATION_SHARE = 0.04

#: Time added for a resumed run, which reports no progress while its checkpoint is read. Unit:
#: seconds.
RESTORE_S = 0.6

#: Progress of a run from which its speed is estimated: as progress is reported in whole percents,
#: the estimate is then off by at most a third. Unit: percent.
MIN_PROGRESS_PERCENT = 3

#: Time that a run must have worked before its speed is estimated. Unit: seconds.
MIN_ELAPSED_S = 0.4

#: Factor by which the remaining time of a slow run must exceed that of a stop and a new run.
MIN_GAIN_FACTOR = 1.3

#: Weight of the most recent run in a worker's slowness.
SLOWNESS_WEIGHT = 0.3

#: Lower bound of a worker's slowness after a run was found slow there. Such a run is stopped before
#: it completes, so that its duration is never counted and the worker would go on receiving tasks. A
#: few runs that complete there at normal speed lower the slowness again.
SLOW_RUN_SLOWNESS = 4.0

#: Factor by which estimated durations are multiplied, as they are off by a half in either
#: direction.
ESTIMATE_FACTOR = 2.0


def note_duration(worker, step, seconds):
    """Record the duration of a completed run for its step and in its worker's slowness.

    A worker's slowness is the ratio of actual to estimated durations, averaged over its recent
    runs.
    """
    step.durations.append(seconds)
    if step.spec.estimate_s > 0 and not step.spec.data_rack:
        ratio = seconds / step.spec.estimate_s
        worker.slowness += SLOWNESS_WEIGHT * (ratio - worker.slowness)


def is_slow(worker, policy):
    """Whether tasks on a worker take far longer than estimated."""
    return worker.slowness > policy.slow_times


def find_stalled_runs(scheduler, now):
    """Return the runs that should be replaced by new ones, each with the reason.

    Long-running tasks, members of a gang and background tasks are not checked: the first report no
    progress, the second wait for each other, and the third may be slowed down on purpose.

    The tolerance doubles with each stalled or slow run of a task, because the cause may be the task
    itself. Without that, the runs of a job whose estimate was a tenth of its duration were stopped
    again and again, and the job never completed.
    """
    stalled = []
    durations_by_step = {}
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
            tolerance = 2**task.n_stalled_runs
            if _is_stalled(run, tolerance):
                stalled.append((run, "stands still"))
            elif _may_be_slow(run, tolerance):
                durations = durations_by_step.get(step_run.key)
                if durations is None:
                    durations = durations_by_step[step_run.key] = _projected_durations(step_run)
                if _would_end_sooner_elsewhere(scheduler, durations, run, now, tolerance):
                    stalled.append((run, "slow"))
    return stalled


def _is_stalled(run, tolerance):
    duration_s = _projected_duration(run) or ESTIMATE_FACTOR * run.step.estimate_s
    allowed_s = STALL_S + STALL_DURATION_SHARE * duration_s
    if run.resumes:
        allowed_s += RESTORE_S
    return run.reported_clock - run.percent_clock > tolerance * allowed_s


def _age_at_last_report(run):
    """Return the age of a run at its last report. Unit: seconds."""
    return run.reported_at - run.began_at


def _projected_duration(run):
    """Return a run's total duration at its speed so far, or None if the speed is unknown.

    Unit: seconds.
    """
    progress = run.percent - run.first_percent
    if _age_at_last_report(run) < MIN_ELAPSED_S or progress < MIN_PROGRESS_PERCENT:
        return None
    return 100 * _age_at_last_report(run) / progress


def _min_projected_duration(run):
    """Return the least total duration of a run, or None if the run has only just begun.

    Below :data:`MIN_PROGRESS_PERCENT`, the run is assumed to have reached that progress. Unit:
    seconds.
    """
    duration_s = _projected_duration(run)
    if duration_s is None and _age_at_last_report(run) >= MIN_ELAPSED_S and not run.resumes:
        duration_s = 100 * _age_at_last_report(run) / MIN_PROGRESS_PERCENT
    return duration_s


def _may_be_slow(run, tolerance):
    """Whether a run exceeds its estimate: a cheap test, made for every run at every check.

    Only runs that pass it are compared with other runs. Steps whose speed depends on the rack are
    excluded, since their tasks are slow on every worker that is far from their data.
    """
    if run.step.data_rack or run.step.rack_sensitive:
        return False
    duration_s = _min_projected_duration(run)
    return duration_s is not None and duration_s > tolerance * run.step.estimate_s


def _projected_durations(step):
    """Return the durations of a step's runs, as ``(worker, seconds)``.

    Completed runs have the worker None, runs in progress their projected duration.
    """
    projections = [(None, seconds) for seconds in step.durations]
    for task in step.tasks:
        if task.state is TaskState.RUNNING:
            projections += [(run.worker, _projected_duration(run)) for run in task.runs.values()]
    return [(worker, seconds) for worker, seconds in projections if seconds is not None]


def _would_end_sooner_elsewhere(scheduler, durations, run, now, tolerance):
    """Whether a run is far slower than other runs of its step and a new one would end well before.

    The run is compared with other runs rather than with the estimate, since a job may be far larger
    than its estimate. With the estimate as the only measure, 643 runs of such jobs were stopped in
    one scenario, and 2,200 core-seconds of their work were lost.
    """
    duration_s = _min_projected_duration(run)
    typical_s = _typical_duration(scheduler.policy, durations, run, now)
    if typical_s is None or duration_s < tolerance * scheduler.policy.slow_times * typical_s:
        return False
    done_share = run.percent / 100
    kept_share = done_share if run.step.checkpointing and run.checkpoint else 0.0
    elsewhere_s = scheduler.stop_s + typical_s * (1.0 - kept_share)
    return duration_s * (1.0 - done_share) > MIN_GAIN_FACTOR * elsewhere_s


def _typical_duration(policy, durations, run, now):
    """Return the duration of the step's tasks on other workers, or None if it is unknown.

    With two or more such runs known, it is their median. With one, it is that run's duration,
    provided that `run` has taken more than `slow_times` as long. Otherwise, on a slow worker, it is
    :data:`ESTIMATE_FACTOR` times the estimate, provided that `run` has taken longer. Unit: seconds.
    """
    others = [seconds for worker, seconds in durations if worker is not run.worker]
    elapsed = now - run.began_at
    if len(others) >= 2:
        return median(others)
    if others and elapsed > policy.slow_times * others[0]:
        return others[0]
    estimate_s = ESTIMATE_FACTOR * run.step.estimate_s
    return estimate_s if is_slow(run.worker, policy) and 0 < estimate_s < elapsed else None


def has_copy(task):
    """Whether a task runs on more than one worker."""
    return task.state is TaskState.RUNNING and len(task.runs) > 1
