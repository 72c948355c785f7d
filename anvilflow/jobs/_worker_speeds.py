"""Use of the learnt speeds of workers: for which queues, and on which workers first.

What is learnt is kept in `scheduler.speeds`, see `anvilflow.speeds`.
"""

from ..speeds import speed_class


def depends_on_speed(spec):
    """Whether durations of a step's tasks show the speeds of workers.

    Those of background tasks do not, since their speed is limited at times, nor do those of tasks
    that depend on the rack or on other members of a gang.
    """
    is_rack_bound = bool(spec.data_rack) or spec.rack_sensitive
    return not (spec.gang or spec.fills or spec.long_running or is_rack_bound)


def note_run(scheduler, run, step, seconds):
    """Note the duration of a run, measured or projected, until its step is done. Unit: seconds.

    A run that was found slow and goes on beside its copy counts once.
    """
    spec = step.spec
    if scheduler.policy.speeds == "off" or not depends_on_speed(spec):
        return
    worker_id = run.worker.info.worker_id
    if not run.is_noted:
        run.is_noted = True
        step.run_times.append((worker_id, seconds))
    normal_s = scheduler.speeds.kind_factor(worker_id) * spec.estimate_s
    if 0 < seconds < scheduler.policy.slow_times * normal_s:
        scheduler.speeds.note_normal_run(worker_id, run.began_at)


def note_speeds(scheduler, step, now):
    """Learn from the runs of a step that is done."""
    run_times, step.run_times = step.run_times, []
    if run_times and not step.is_speed_noted:
        scheduler.speeds.note_step(run_times, now)


def are_needed(scheduler, queue):
    """Whether tasks of a queue have to go to fast workers to meet its objective."""
    match scheduler.policy.speeds:
        case "on":
            return True
        case "off":
            return False
        case _:
            return scheduler.speeds.matters_to(queue.service, queue.stretch)


def are_used(scheduler, service):
    """Whether the speeds of a service's workers are used: some queue of the service needs them."""
    match scheduler.policy.speeds:
        case "on":
            return True
        case "off":
            return False
        case _:
            stretches = scheduler.config.stretches(service) if scheduler.config else ()
            return any(scheduler.speeds.matters_to(service, stretch) for stretch in stretches)


def services_with_speeds(scheduler):
    """Return the services of which the workers' speeds are used now."""
    services = {worker.info.service for worker in scheduler.workers.values()}
    return frozenset(name for name in services if are_used(scheduler, name))


def duration_factor(scheduler, worker):
    """Return the duration of tasks on a worker that its kind explains, relative to the mean."""
    if not are_used(scheduler, worker.info.service):
        return 1.0
    return scheduler.speeds.kind_factor(worker.info.worker_id)


def known_factor(scheduler, worker):
    """Return a worker's learnt factor, rounded; None where speeds are not used."""
    if not are_used(scheduler, worker.info.service):
        return None
    return round(scheduler.speeds.factor(worker.info.worker_id), 2)


def note_explained(scheduler, run, why):
    """Count a slow run that is left alone, once; `why` is ``speed`` or ``length``."""
    if not run.is_explained:
        run.is_explained = True
        scheduler.explained_runs[why] += 1


def make_speed_rank(scheduler, step):
    """Return a function that ranks a worker for a step by its speed; equal ranks: 0.

    Tasks of queues that need fast workers go to those first. Long-running and background tasks,
    whose users do not wait for an end, go to slow ones first and leave the fast ones free.
    """
    queue = step.job.queue
    if not are_used(scheduler, queue.service):
        return _no_rank
    factor = scheduler.speeds.factor
    if step.spec.long_running or step.spec.fills:
        return lambda worker: -speed_class(factor(worker.info.worker_id))
    if are_needed(scheduler, queue):
        return lambda worker: speed_class(factor(worker.info.worker_id))
    return _no_rank


def _no_rank(worker):
    return 0
