"""Learning of speeds from the progress of running steps, until the kinds of workers are known.

A new leader would otherwise learn nothing until the first steps are done, and place tasks on slow
workers in the meantime.
"""

from ._job import TaskState
from ._stalled_runs import projected_duration
from ._worker_speeds import depends_on_speed

#: Progress of a run from which its duration is projected. As progress is reported in whole
#: percents, the duration is then off by at most a tenth. Unit: percent.
MIN_PROGRESS_PERCENT = 10

#: Least share of a step's tasks whose durations must be known.
MIN_KNOWN_SHARE = 0.5


def note_early_speeds(scheduler, now):
    """Learn from the steps of which all runs have ended or made enough progress."""
    if scheduler.policy.speeds == "off":
        return
    unsettled = scheduler.speeds.unsettled_services()
    if not unsettled:
        return
    for job in scheduler.jobs.values():
        if job.queue.service in unsettled and not job.is_ended:
            for step in job.steps.values():
                _note_step(scheduler, step, now)


def _note_step(scheduler, step, now):
    if step.is_speed_noted or step.is_done or step.ready_at is None:
        return
    if not depends_on_speed(step.spec):
        return
    running = [
        run
        for task in step.tasks
        if task.state is TaskState.RUNNING
        for run in task.runs.values()
        if run.is_full_run and not run.is_noted
    ]
    known = list(step.run_times)
    for run in running:
        seconds = projected_duration(run)
        if seconds is None or run.percent < MIN_PROGRESS_PERCENT:
            return
        known.append((run.worker.info.worker_id, seconds))
    if len(known) >= MIN_KNOWN_SHARE * len(step.tasks):
        step.is_speed_noted = True
        scheduler.speeds.note_step(known, now)
