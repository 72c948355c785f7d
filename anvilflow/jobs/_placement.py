"""Which waiting task goes to which worker, in which order, and for which steps to ask advice."""

from ._actions import AskAdvice, NoteWait, StartRun
from ._job import TaskState
from ._reservations import Reservations
from ._sickness import is_slow

#: Time that a ticket must still be valid when a start is sent. A start reaches a worker within a
#: few milliseconds; a busy instance adds some tens. Unit: seconds.
TICKET_MARGIN_S = 0.15

#: Largest number of workers that one ask may name.
MAX_ASKED = 100

#: Time after which an ask without an answer is made again, beyond its own length. Unit: seconds.
ASK_TIMEOUT_S = 2.0

#: Asks under way at once for each instance that carries them: the service takes one call of an
#: instance at a time, and the second waits ready behind the first.
ASKS_PER_ADVISER = 2

#: An ask that takes longer than this keeps others waiting noticeably. Those for quick work take
#: 0.05 s, those for heavy work 0.8 s. Unit: seconds.
LONG_ASK_S = 0.25


#: Time for which tasks wait before the log says why, and then again. Unit: seconds.
NOTE_WAIT_S = 1.5


def plan_starts(scheduler, now):
    """Return the starts and asks that are due, in the order of urgency."""
    actions = []
    _drop_old_asks(scheduler, now)
    reservations = Reservations(scheduler.policy)
    for job in sorted(_busy_jobs(scheduler), key=_urgency):
        for step in job.steps.values():
            if step.is_done:
                continue
            if step.ready_at is None:
                actions += _ask_ahead(scheduler, step, now)
                continue
            waiting = step.waiting() + _copies(step)
            if not waiting:
                continue
            if not scheduler.may_start(job, now):
                # The answer is there when the workers have been heard.
                actions += _ask(scheduler, step, now)
                continue
            if step.spec.gang:
                actions += _start_gang(scheduler, step, waiting, reservations, now)
            else:
                actions += _start_tasks(scheduler, step, waiting, reservations, now)
        job.rest_if_idle()
    return actions


def _copies(step):
    """Return the tasks of which a second run is wanted and does not exist yet."""
    step.copies = [
        task for task in step.copies if task.state is TaskState.RUNNING and len(task.runs) == 1
    ]
    return step.copies


def _busy_jobs(scheduler):
    return [job for job in scheduler.jobs.values() if not (job.is_idle or job.is_ended)]


def _urgency(job):
    return (job.queue.priority, job.due_by)


# Candidates


def _candidates(scheduler, step, now):
    """Return the workers on which the step may run and that take work now."""
    spec = step.spec
    service = step.job.queue.service
    advice = step.job.queue.advice
    found = []
    for worker in scheduler.workers.values():
        info = worker.info
        if info.service != service or not worker.accepts(now):
            continue
        if spec.label and spec.label not in info.labels:
            continue
        if advice is not None and not _has_ticket(step, info.worker_id, now):
            continue
        found.append(worker)
    return found


def _has_ticket(step, worker_id, now):
    ticket = step.tickets.get(worker_id)
    return ticket is not None and ticket[1] - now > TICKET_MARGIN_S


def _start_tasks(scheduler, step, waiting, reservations, now):
    actions = []
    workers = _candidates(scheduler, step, now)
    reserve = _reserve(scheduler, step)
    placed = 0
    for task in waiting:
        worker = _choose(scheduler, step, task, workers, reserve, reservations)
        if worker is None:
            break
        reservations.placed(worker, step.spec)
        actions.append(_start(scheduler, worker, step, task, now))
        placed += 1
    if placed < len(waiting):
        actions += _ask(scheduler, step, now)
        actions += _note_wait(step, len(waiting) - placed, workers, now)
        if not step.spec.fills:
            actions += reservations.reserve(
                scheduler, step, workers, reserve, len(waiting) - placed, now
            )
    return actions


def _note_wait(step, n_waiting, workers, now):
    """Say why tasks of a step wait, every now and then."""
    if now - max(step.ready_at, step.noted_at) < NOTE_WAIT_S:
        return []
    step.noted_at = now
    note = NoteWait(
        step=step.key,
        n_waiting=n_waiting,
        n_allowed=len(step.tickets),
        n_refused=len(step.refused),
        n_open=len(workers),
        n_with_room=sum(worker.fits(step.spec) for worker in workers),
    )
    return [note]


def _reserve(scheduler, step):
    """Return the share of a worker that the step's tasks leave free for more urgent ones."""
    queue = step.job.queue
    if scheduler.config is None or step.spec.fills:
        return 0.0
    return scheduler.policy.reserve_share if scheduler.config.has_more_urgent(queue) else 0.0


def _leaves(worker, spec, reserve):
    """Whether the reserve stays free on a worker, or nothing else is there that could use it."""
    left = worker.cpu_free - spec.cpu_milli
    return left >= reserve * worker.info.cpu_milli or not worker.runs


def _choose(scheduler, step, task, workers, reserve, reservations):
    """Return the fitting worker that the task leaves least room on, away from what it disturbs."""
    spec = step.spec
    fitting = [
        worker
        for worker in workers
        if worker.fits(spec)
        and reservations.allows(worker, step)
        and _leaves(worker, spec, reserve)
        and not (spec.max_per_worker and step.n_on(worker.info.worker_id) >= spec.max_per_worker)
        and task.name not in worker.runs
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda worker: _cost(scheduler, step, task, worker))


def _cost(scheduler, step, task, worker):
    spec = step.spec
    far = bool(spec.data_rack) and worker.info.rack != spec.data_rack
    failed_here = worker.info.worker_id in task.avoid
    slow = scheduler.policy.avoids_slow and is_slow(worker, scheduler.policy)
    return (failed_here, far, worker.n_bad, slow, _disturbs(spec, worker), worker.cpu_free)


def _disturbs(spec, worker):
    """Count the runs on a worker that a task of `spec` would disturb, or that would disturb it."""
    if spec.fills:
        return sum(run.step.target_s > 0 for run in worker.runs.values())
    if spec.target_s:
        return sum(run.step.fills for run in worker.runs.values())
    return 0


def _start_gang(scheduler, step, waiting, reservations, now):
    """Start all tasks of a gang, or none: a part of it would only wait, and end as alone."""
    if len(waiting) < len(step.tasks):
        return []
    workers = [
        worker
        for worker in _candidates(scheduler, step, now)
        if not reservations.is_reserved_from(worker, step.job.queue)
    ]
    racks = _racks(workers) if step.spec.rack_sensitive else []
    for group in [*racks, workers]:
        chosen = _fit_gang(step, waiting, group)
        if chosen:
            run_id = max(task.run_id for task in waiting)
            checkpoint = next((task.checkpoint for task in waiting if task.checkpoint), "")
            for task in waiting:
                task.run_id = run_id
                task.checkpoint = checkpoint
            return [
                _start(scheduler, worker, step, task, now)
                for task, worker in zip(waiting, chosen, strict=True)
            ]
    return _ask(scheduler, step, now)


def _racks(workers):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    return list(racks.values())


def _fit_gang(step, waiting, workers):
    """Return a worker for each task of the gang, or None when there is no room for all."""
    spec = step.spec
    slots = []
    for worker in workers:
        n_slots = _n_fitting(worker, spec)
        if spec.max_per_worker:
            n_slots = min(n_slots, spec.max_per_worker)
        slots += [worker] * n_slots
        if len(slots) >= len(waiting):
            return slots[: len(waiting)]
    return None


def _n_fitting(worker, spec):
    limits = [worker.memory_free // spec.memory_mb if spec.memory_mb else spec.n_tasks]
    if spec.cpu_milli and not spec.fills:
        limits.append(worker.cpu_free // spec.cpu_milli)
    if spec.accelerators:
        limits.append(worker.gpu_free // spec.accelerators)
    return max(0, min(limits))


def _start(scheduler, worker, step, task, now):
    run = scheduler.new_run(worker, step, task, now)
    ticket = step.tickets.get(worker.info.worker_id, ("", 0.0))[0]
    return StartRun(
        worker_id=worker.info.worker_id,
        task=task.name,
        run_id=run.run_id,
        payload=step.job.spec.payload,
        checkpoint=task.checkpoint,
        ticket=ticket if step.job.queue.advice is not None else "",
    )


# Advice


def _drop_old_asks(scheduler, now):
    for key, (sent_at, length) in list(scheduler.asking.items()):
        if now - sent_at > length + ASK_TIMEOUT_S:
            del scheduler.asking[key]


def _ask(scheduler, step, now):
    """Ask which workers may run a step, unless an answer in force leaves nothing to ask."""
    rules = step.job.queue.advice
    if rules is None or step.key in scheduler.asking:
        return []
    length = rules.base_s
    if not _may_ask(scheduler, length):
        return []
    names = [
        worker.info.worker_id
        for worker in scheduler.workers.values()
        if _worth_asking(step, worker, now, length)
    ][:MAX_ASKED]
    if not names:
        return []
    length += rules.per_worker_s * len(names)
    scheduler.asking[step.key] = (now, length)
    return [AskAdvice(step=step.key, workers=names, length_s=length)]


def _may_ask(scheduler, length):
    """Whether an instance is free for an ask of this length."""
    is_long = length > LONG_ASK_S
    n_same = sum((other > LONG_ASK_S) == is_long for _, other in scheduler.asking.values())
    if is_long:
        return n_same < max(1, int(scheduler.policy.long_ask_share * scheduler.n_advisers))
    return n_same < ASKS_PER_ADVISER * scheduler.n_advisers


def _worth_asking(step, worker, now, length):
    info = worker.info
    if info.service != step.job.queue.service or info.worker_id in step.refused:
        return False
    if not worker.listed or info.draining or not worker.could_fit(step.spec):
        return False
    if step.spec.label and step.spec.label not in info.labels:
        return False
    ticket = step.tickets.get(info.worker_id)
    return ticket is None or ticket[1] - now < length + TICKET_MARGIN_S


def _ask_ahead(scheduler, step, now):
    """Ask while the steps before still run, as late as the answer then is there in time."""
    rules = step.job.queue.advice
    if rules is None or step.tickets or not scheduler.policy.asks_ahead:
        return []
    before = [step.job.steps[step.occurrence, number] for number in step.spec.after]
    left = max((_time_left(earlier, now) for earlier in before), default=0.0)
    n_workers = min(MAX_ASKED, len(scheduler.workers))
    if left > rules.base_s + rules.per_worker_s * n_workers + scheduler.policy.ask_ahead_s:
        return []
    return _ask(scheduler, step, now)


def _time_left(step, now):
    """Return the estimated time until all tasks of a step are done. Unit: seconds."""
    if step.is_done:
        return 0.0
    left = 0.0
    for task in step.tasks:
        match task.state:
            case TaskState.DONE:
                continue
            case TaskState.RUNNING if task.started_at is not None:
                left = max(left, step.spec.estimate_s - (now - task.started_at))
            case _:
                left = max(left, step.spec.estimate_s)
    return left
