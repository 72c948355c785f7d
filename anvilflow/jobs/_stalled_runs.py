"""Detection of stalled and slow runs on workers that report good health."""

from statistics import median

from ._job import TaskState
from ._worker_speeds import are_used, duration_factor, note_explained, note_run

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

#: Largest share of a run's age by which the observed progress of another run may begin earlier: if
#: their worker became slow when the later run began, both are then seen to be slow.
MAX_EARLIER_SHARE = 0.25

_NEVER = float("inf")


def note_duration(worker, step, seconds, factor=1.0):
    """Record the duration of a completed run for its step and in its worker's slowness.

    A worker's slowness is the ratio of actual to estimated durations, averaged over its recent
    runs. `factor` is the part of the ratio that the worker's kind explains.
    """
    step.durations.append(seconds)
    if step.spec.estimate_s > 0 and not step.spec.data_rack:
        ratio = seconds / (factor * step.spec.estimate_s)
        worker.slowness += SLOWNESS_WEIGHT * (ratio - worker.slowness)


def note_slow_run(scheduler, run, step):
    """Learn from a slow run that is about to be replaced and whose duration will not be known.

    Without such runs, only the shorter half of those on slow workers would be counted.
    """
    if run.is_full_run:
        note_run(scheduler, run, step, _min_projected_duration(run))


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
                    why = _judge_slow_run(scheduler, step_run, task, run, now, tolerance)
                    if why:
                        stalled.append((run, why))
    return stalled


def _judge_slow_run(scheduler, step, task, run, now, tolerance):
    """Return why a run that is far slower than others of its step should be replaced, "" if not.

    Where the speeds of workers are used, what the speed of the run's worker explains is no reason.
    A run on a worker whose other runs are normal is that of a long task: it would take as long
    elsewhere, and is replaced only if its work is kept and it would end sooner on a fast worker.
    """
    if not are_used(scheduler, run.worker.info.service):
        return "slow"
    if not _is_slow_for_its_worker(scheduler, step, run, now, tolerance):
        note_explained(scheduler, run, "speed")
        return ""
    if not _has_normal_pace(scheduler, run, now):
        return "slow"
    if _is_worth_moving(scheduler, task, run):
        return "long task"
    note_explained(scheduler, run, "length")
    return ""


def _is_slow_for_its_worker(scheduler, step, run, now, tolerance):
    """Whether a run is far slower than its step's runs elsewhere, given the speeds of workers."""
    factor = duration_factor(scheduler, run.worker)
    kind_factor = scheduler.speeds.kind_factor
    durations = [(None, seconds / kind_factor(name)) for name, seconds in step.run_times]
    for task in step.tasks:
        if task.state is TaskState.RUNNING:
            durations += [
                (each.worker, seconds / duration_factor(scheduler, each.worker))
                for each in task.runs.values()
                if (seconds := projected_duration(each)) is not None
            ]
    typical_s = _typical_duration(scheduler.policy, durations, run, now, factor)
    if typical_s is None:
        return False
    return _min_projected_duration(run) >= tolerance * scheduler.policy.slow_times * (
        factor * typical_s
    )


def _has_normal_pace(scheduler, run, now):
    """Whether another run on a run's worker makes normal progress, given the worker's speed.

    Only progress since about the begin of `run` is evidence: the worker may have become slow then.
    """
    worker = run.worker
    since = run.began_at - MAX_EARLIER_SHARE * (now - run.began_at)
    if scheduler.speeds.had_normal_run(worker.info.worker_id, since):
        return True
    limit = scheduler.policy.slow_times * duration_factor(scheduler, worker)
    return any(
        other is not run
        and other.earlier_at >= since
        and _present_duration(other) < limit * other.step.estimate_s
        for other in worker.runs.values()
    )


def _present_duration(run):
    """Return the duration of a run's task at its present speed; infinite if that is unknown.

    Unit: seconds.
    """
    step = run.step
    if run.state != "running" or step.long_running or step.gang or step.fills:
        return _NEVER
    progress = run.percent - run.earlier_percent
    if step.data_rack or step.rack_sensitive or progress < MIN_PROGRESS_PERCENT:
        return _NEVER
    return 100 * (run.reported_at - run.earlier_at) / progress


def _is_worth_moving(scheduler, task, run):
    """Whether a long task would end well before on a fast worker, without a loss of its work."""
    done_share = run.percent / 100
    kept_share = done_share if run.step.checkpointing and run.checkpoint else 0.0
    may_copy = scheduler.policy.copies and run.step.speculative and not has_copy(task)
    if not kept_share and not may_copy:
        return False
    duration_s = _min_projected_duration(run)
    fastest = scheduler.speeds.fastest_factor(run.worker.info.service)
    there_s = duration_s * fastest / duration_factor(scheduler, run.worker)
    elsewhere_s = scheduler.stop_s + RESTORE_S + there_s * (1.0 - kept_share)
    return duration_s * (1.0 - done_share) > MIN_GAIN_FACTOR * elsewhere_s


def _is_stalled(run, tolerance):
    duration_s = projected_duration(run) or ESTIMATE_FACTOR * run.step.estimate_s
    allowed_s = STALL_S + STALL_DURATION_SHARE * duration_s
    if run.resumes:
        allowed_s += RESTORE_S
    return run.reported_clock - run.percent_clock > tolerance * allowed_s


def _age_at_last_report(run):
    """Return the age of a run at its last report. Unit: seconds."""
    return run.reported_at - run.began_at


def projected_duration(run):
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
    duration_s = projected_duration(run)
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
            projections += [(run.worker, projected_duration(run)) for run in task.runs.values()]
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


def _typical_duration(policy, durations, run, now, factor=1.0):
    """Return the duration of the step's tasks on other workers, or None if it is unknown.

    With two or more such runs known, it is their median. With one, it is that run's duration,
    provided that `run` has taken more than `slow_times` as long. Otherwise, on a slow worker, it is
    :data:`ESTIMATE_FACTOR` times the estimate, provided that `run` has taken longer. The time that
    the run has taken is divided by the `factor` of its worker. Unit: seconds.
    """
    others = [seconds for worker, seconds in durations if worker is not run.worker]
    elapsed = (now - run.began_at) / factor
    if len(others) >= 2:
        return median(others)
    if others and elapsed > policy.slow_times * others[0]:
        return others[0]
    estimate_s = ESTIMATE_FACTOR * run.step.estimate_s
    return estimate_s if is_slow(run.worker, policy) and 0 < estimate_s < elapsed else None


def has_copy(task):
    """Whether a task runs on more than one worker."""
    return task.state is TaskState.RUNNING and len(task.runs) > 1
