"""Placement of waiting tasks on workers, the most urgent jobs first."""

from ._accounts import RESOURCE_NAMES, demand_of
from ._actions import NoteWait, StartRun
from ._advice import has_ticket
from ._advice_queue import (
    advice_state,
    drop_timed_out_requests,
    need_advice,
    need_advice_early,
)
from ._faster_workers import leave_slow_workers
from ._job import TaskState
from ._ranking import Ranking
from ._reservations import Reservations
from ._ticket_requests import need_advice_while_limited, request_advice
from ._worker_speeds import known_factor

#: Time for which tasks wait before the reason is logged, and least time between two such logs.
#: Unit: seconds.
NOTE_WAIT_S = 1.5

#: Minimum time between two full plans, which match every waiting step with every worker. The plans
#: in between cover only what has changed: with a full plan after each event, 23 waiting steps and
#: 270 workers took most of the leader's processor time. Unit: seconds.
FULL_PLAN_INTERVAL_S = 0.1


def plan_starts(scheduler, now, n_wanted=None):
    """Return the starts and advice requests that are due, those of the most urgent jobs first.

    A waiting step that could not be placed earlier can be placed only on a worker that has gained
    free capacity (`scheduler.freed`) or after a change of its job. Changes by the passing of time
    alone, such as the expiry of a ticket or the end of a worker's back-off, are left to the next
    full plan.

    Once `n_wanted` starts are planned, the remaining jobs are left to a later plan. A start that is
    decided before it can be sent occupies capacity that other tasks could use, and can no longer go
    to a worker that becomes free meanwhile.
    """
    drop_timed_out_requests(scheduler, now)
    if n_wanted is not None and n_wanted <= 0:
        scheduler.note_starts_deferred(now)
        return request_advice(scheduler, now)
    is_full_plan = (
        scheduler.needs_full_plan or now >= scheduler.last_full_plan_at + FULL_PLAN_INTERVAL_S
    )
    if is_full_plan:
        scheduler.needs_full_plan = False
        scheduler.last_full_plan_at = now
        scheduler.reservations = Reservations(scheduler.policy)
        scheduler.update_places(now)
    freed, scheduler.freed = scheduler.freed, set()
    freed_workers = [scheduler.workers[name] for name in freed if name in scheduler.workers]
    actions = []
    n_starts = 0
    for job in sorted(
        _waiting_jobs(scheduler, is_full_plan or freed), key=lambda job: scheduler.urgency(job, now)
    ):
        if n_wanted is not None and n_starts >= n_wanted:
            scheduler.needs_full_plan = scheduler.needs_full_plan or is_full_plan
            scheduler.freed |= freed
            scheduler.note_starts_deferred(now)
            break
        if is_full_plan or job.is_changed:
            planned = _plan_job(scheduler, job, now)
        else:
            planned = _plan_on_freed_workers(scheduler, job, freed_workers, now)
        n_starts += sum(isinstance(action, StartRun) for action in planned)
        actions += planned
    else:
        scheduler.starts_deferred_since = None
    return actions + request_advice(scheduler, now)


def _waiting_jobs(scheduler, include_all):
    """Return the jobs with waiting tasks: all of them, or only the changed ones."""
    return [
        job
        for job in scheduler.jobs.values()
        if not job.is_idle and not job.is_ended and (include_all or job.is_changed)
    ]


def _plan_job(scheduler, job, now):
    actions = []
    job.is_changed = False
    for step in job.steps.values():
        if step.is_done:
            continue
        if step.ready_at is None:
            need_advice_early(scheduler, step, now)
            continue
        scheduler.note_step_ready(step)
        waiting = scheduler.startable(step, step.waiting(), now) + _tasks_to_copy(step)
        if not waiting:
            continue
        allowed = scheduler.within_maximum(step, waiting)
        if not allowed:
            scheduler.reservations.release(step)
            need_advice_while_limited(scheduler, step, now)
            actions += _note_wait(scheduler, step, len(waiting), [], now)
            continue
        waiting = allowed
        if not scheduler.may_start(job, now):
            # The job's starts are still delayed, for example until all workers have responded to a
            # new leader. Advice that is requested now is there when the starts are due.
            need_advice(scheduler, step, now)
            continue
        scheduler.reservations.release(step)
        if step.spec.gang:
            actions += _start_gang(scheduler, step, waiting, now)
        else:
            actions += _start_tasks(scheduler, step, waiting, now)
    job.suspend_if_idle()
    return actions


def _plan_on_freed_workers(scheduler, job, freed, now):
    """Place waiting tasks of an unchanged job on the workers in `freed`, which gained capacity."""
    actions = []
    for step in job.steps.values():
        if step.is_done or step.ready_at is None:
            continue
        workers = [worker for worker in freed if worker.fits(step.spec)]
        workers = [worker for worker in workers if _is_eligible(scheduler, step, worker, now)]
        waiting = scheduler.startable(step, step.waiting(), now) if workers else ()
        waiting = scheduler.within_maximum(step, waiting) if waiting else ()
        if waiting:
            workers = leave_slow_workers(scheduler, step, waiting, workers, now)
        if not waiting or not scheduler.may_start(job, now):
            continue
        if step.spec.gang:
            actions += _start_gang(scheduler, step, waiting, now)
        else:
            actions += _place(scheduler, step, waiting, workers, now)
    if actions:
        job.suspend_if_idle()
    return actions


def _tasks_to_copy(step):
    """Return the tasks that need a second run beside their only one, which is stalled or slow.

    Tasks that have ended or have their second run are removed from `step.copies`.
    """
    step.copies = [
        task for task in step.copies if task.state is TaskState.RUNNING and len(task.runs) == 1
    ]
    return step.copies


# Candidates


def _candidates(scheduler, step, now):
    """Return the workers that accept work now and may run the step."""
    names = scheduler.workers if step.job.queue.advice is None else step.tickets
    workers = [scheduler.workers[name] for name in names if name in scheduler.workers]
    return [worker for worker in workers if _is_eligible(scheduler, step, worker, now)]


def _is_eligible(scheduler, step, worker, now):
    """Whether a worker accepts work now and may run the step."""
    info = worker.info
    if info.service != step.job.queue.service or not worker.accepts(now, step):
        return False
    if step.spec.label and step.spec.label not in info.labels:
        return False
    if scheduler.has_other_trial(worker, step.job):
        return False
    return step.job.queue.advice is None or has_ticket(step, info.worker_id, now)


def _start_tasks(scheduler, step, waiting, now):
    workers = _candidates(scheduler, step, now)
    workers = leave_slow_workers(scheduler, step, waiting, workers, now)
    actions = _place(scheduler, step, waiting, workers, now)
    n_left = len(waiting) - len(actions)
    if n_left:
        need_advice(scheduler, step, now)
        actions += _note_wait(scheduler, step, n_left, workers, now)
        if not step.spec.fills:
            actions += scheduler.reservations.reserve(
                scheduler, step, workers, scheduler.reserve_share(step), n_left, now
            )
    return actions


def _place(scheduler, step, waiting, workers, now):
    """Return the starts of the tasks that fit on the given workers, in the order of the tasks."""
    actions = []
    reserve = scheduler.reserve_share(step)
    fitting = [worker for worker in workers if worker.fits(step.spec)]
    ranking = Ranking(scheduler=scheduler, step=step, workers=fitting, reserve=reserve)
    for task in waiting:
        worker = ranking.choose(task)
        if worker is None:
            break
        scheduler.reservations.note_placed(worker, step.spec)
        actions.append(_start(scheduler, worker, step, task, now))
        ranking.update(worker)
    return actions


def _note_wait(scheduler, step, n_waiting, workers, now):
    """Return a list with a note on why tasks wait, at most one per :data:`NOTE_WAIT_S`, or none."""
    if now - max(step.ready_at, step.wait_noted_at) < NOTE_WAIT_S:
        return []
    step.wait_noted_at = now
    advice, deferred_s = advice_state(scheduler, step, now)
    note = NoteWait(
        step=step.key,
        n_waiting=n_waiting,
        n_allowed=len(step.tickets),
        n_refused=len(step.refused),
        n_open=len(workers),
        n_with_room=sum(worker.fits(step.spec) for worker in workers),
        n_kept=sum(
            worker.fits(step.spec) and not scheduler.places.allows(worker, step)
            for worker in workers
        ),
        n_tickets=sum(has_ticket(step, worker_id, now) for worker_id in step.tickets),
        advice=advice,
        deferred_s=round(deferred_s, 3),
        account=step.job.owner,
        limited_by=_limits_reached(scheduler, step),
        rank=scheduler.rank_of(step.job, now),
    )
    return [note]


def _limits_reached(scheduler, step):
    """Return the resources of which the account's maximum leaves too little, as text."""
    if scheduler.n_allowed(step) or step.job.account is None:
        return ""
    account = step.job.account
    used = scheduler.usage.used(account.name)
    n_needed = len(step.tasks) if step.spec.gang else 1
    return ", ".join(
        f"{name} {taken} of {maximum}"
        for name, taken, maximum, demand in zip(
            RESOURCE_NAMES, used, account.maxima, demand_of(step.spec), strict=True
        )
        if maximum and taken + n_needed * demand > maximum
    )


def _start_gang(scheduler, step, waiting, now):
    """Return the starts of all tasks of a gang, or of none if they do not all fit.

    A gang of which only a part is started cannot work: the members that were started wait for the
    others and then end as ``alone``.
    """
    if len(waiting) < len(step.tasks):
        return []
    workers = [
        worker
        for worker in _candidates(scheduler, step, now)
        if not scheduler.reservations.is_reserved_from(worker, step.job)
        and not any(scheduler.has_other_suspect(worker, task) for task in waiting)
    ]
    racks = _racks(workers) if step.spec.rack_sensitive else []
    for chosen in _gang_choices(scheduler, step, waiting, [*racks, workers]):
        if chosen:
            # All members get the same run number, so that a failure of the gang counts once.
            run_id = max(step.job.run_numbers.next_of(task) for task in waiting)
            checkpoint = next((task.checkpoint for task in waiting if task.checkpoint), "")
            for task in waiting:
                task.checkpoint = checkpoint
            recorded = any(scheduler.must_be_recorded(step, task) for task in waiting)
            return [
                _start(scheduler, worker, step, task, now, recorded=recorded, run_id=run_id)
                for task, worker in zip(waiting, chosen, strict=True)
            ]
    need_advice(scheduler, step, now)
    return _note_wait(scheduler, step, len(waiting), workers, now)


def _gang_choices(scheduler, step, waiting, groups):
    """Yield the workers that fit a gang, by group, and then those that fit it only on places.

    A gang that needs nearly all workers would wait for as long as there are places.
    """
    for group in groups:
        yield _fit_gang(scheduler, step, waiting, group, keeps_places=True)
    without_places = [_fit_gang(scheduler, step, waiting, each, False) for each in groups]
    if any(without_places) and not scheduler.places.leaves_room_for(
        step, scheduler.workers.values()
    ):
        yield from without_places


def _racks(workers):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    return list(racks.values())


def _fit_gang(scheduler, step, waiting, workers, keeps_places):
    """Return a worker for each task of the gang, or None if the tasks do not all fit."""
    spec = step.spec
    places = []
    for worker in workers:
        n_places = _n_fitting(worker, spec)
        if keeps_places:
            n_places = scheduler.places.max_tasks(worker, step, n_places)
        if spec.max_per_worker:
            n_places = min(n_places, spec.max_per_worker)
        places += [worker] * n_places
        if len(places) >= len(waiting):
            return places[: len(waiting)]
    return None


def _n_fitting(worker, spec):
    """Return the number of tasks of a step that fit on a worker at the same time."""
    limits = [worker.memory_free // spec.memory_mb if spec.memory_mb else spec.n_tasks]
    if spec.cpu_milli and not spec.fills:
        limits.append(worker.cpu_free // spec.cpu_milli)
    if spec.accelerators:
        limits.append(worker.gpu_free // spec.accelerators)
    return max(0, min(limits))


def _start(scheduler, worker, step, task, now, *, recorded=False, run_id=None):
    recorded = recorded or scheduler.must_be_recorded(step, task)
    run_id = run_id or step.job.run_numbers.next_of(task)
    run = scheduler.new_run(worker, step, task, run_id, now)
    scheduler.shares.note_started(step.job, now)
    scheduler.begin_trial(task, run)
    if recorded:
        scheduler.add_recorded_start(step, task, run, now)
    ticket = step.tickets.get(worker.info.worker_id, ("", 0.0))[0]
    return StartRun(
        worker_id=worker.info.worker_id,
        task=task.name,
        run_id=run.run_id,
        payload=step.job.spec.payload,
        checkpoint=task.checkpoint,
        ticket=ticket if step.job.queue.advice is not None else "",
        factor=known_factor(scheduler, worker),
    )
