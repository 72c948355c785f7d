"""Estimates of the work that a job still has to do."""

#: Progress from which a run's speed is taken as that of its whole task. Unit: percent.
MIN_PERCENT = 5

#: Lower bound of the remaining time of a run. Unit: seconds.
MIN_REMAINING_S = 0.1


def remaining_chain_s(steps, now, *, estimate_factor=1.0):
    """Return the remaining duration of the longest chain of dependent steps. Unit: seconds.

    Parameters
    ----------
    steps : list of StepRun
        Steps of one occurrence of a job, each after those it depends on.
    now : float
        Steady time. Unit: seconds.
    estimate_factor : float, default=1.0
        Factor on stated estimates. What runs have shown, their progress and the durations of the
        step's other tasks, is used as it is.
    """
    ends = {}
    for step in steps:
        begins = max((ends.get(earlier, 0.0) for earlier in step.spec.after), default=0.0)
        ends[step.number] = begins + _remaining_step_s(step, now, estimate_factor)
    return max(ends.values(), default=0.0)


def remaining_work(steps):
    """Return the processor time of the tasks that are not done. Unit: milliseconds of one core.

    A task without a stated processor counts with one thousandth of a core.
    """
    return sum((len(step.tasks) - step.n_done) * _task_work(step.spec) for step in steps)


def whole_work(steps):
    """Return the processor time of all tasks, in the unit of :func:`remaining_work`."""
    return sum(len(step.tasks) * _task_work(step.spec) for step in steps)


def _task_work(spec):
    return spec.estimate_s * max(1, spec.cpu_milli)


def _remaining_step_s(step, now, estimate_factor):
    if step.is_done:
        return 0.0
    durations = step.durations
    if durations:
        estimate_s = sum(durations) / len(durations)
    else:
        estimate_s = estimate_factor * step.spec.estimate_s
    remaining_s = estimate_s if step.waiting() else 0.0
    for task in step.tasks:
        if task.runs:
            best_s = min(_remaining_run_s(run, estimate_s, now) for run in task.runs.values())
            remaining_s = max(remaining_s, best_s)
    return remaining_s


def _remaining_run_s(run, estimate_s, now):
    elapsed_s = now - run.began_at
    progress = run.percent - run.first_percent
    if progress >= MIN_PERCENT:
        shown_s = run.reported_at - run.began_at
        ends_at = run.reported_at + shown_s * (100 - run.percent) / progress
        return max(MIN_REMAINING_S, ends_at - now)
    left = (100 - run.first_percent) / 100
    return max(MIN_REMAINING_S, estimate_s * left - elapsed_s)
