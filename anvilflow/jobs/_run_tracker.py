"""How runs begin and end, by what workers report; what a job makes of it is the scheduler's."""

from ._actions import StopRun
from ._advice import has_ticket
from ._crash_tracker import CrashTracker
from ._job import JobState, TaskState
from ._pacing import pace_background_tasks
from ._stalled_runs import note_duration
from ._worker import OrphanRun, PendingEnd

#: Runs that one leader may start of a task before another leader's numbers begin. A new leader does
#: not know how many its predecessor started, and a worker refuses a number that is not higher.
RUNS_PER_TERM = 1000

#: Pause between tries to start tasks of a job whose payload the store does not have. Unit: seconds.
NO_PAYLOAD_S = 5.0

#: First wait before a worker that refused or failed without reason gets work again, doubled each
#: time. Unit: seconds.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

#: Doublings after which it is the longest in any case: unbounded, the power passed what a float
#: holds after 1,025 bad ends in a row, and the leader ended with an OverflowError.
MAX_DOUBLINGS = 4

#: Ends without success in a row after which a worker rests. Two may be one job's own fault.
BAD_ENDS = 2

#: Ends that a worker tells of in one report at the most, as its contract states.
ENDS_PER_REPORT = 500

#: Time that a run of an unknown job goes on before it is stopped: the job may have been accepted
#: while leaders changed, and is heard of by the next reading of the feed. Unit: seconds.
UNKNOWN_JOB_S = 1.5


class RunTracker(CrashTracker):
    """What runs where: reports, ends, and answers to orders.

    Base of :class:`Scheduler`, which adds the jobs: a run is started for a job's task, and its end
    moves the job on.
    """

    def take_first_starts(self):
        """Return how long jobs waited that have begun since the last call. Unit: seconds."""
        taken, self._first_starts = self._first_starts, []
        return taken

    # Reports

    def report(self, worker_id, report, *, requested_at, now):
        """Take a worker's answer to a hold that was sent at `requested_at`; return the stops.

        Runs that were started or stopped after `requested_at` may be missing in it for that reason.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        actions = []
        for end in report.ended:
            if end.number > worker.last_ended:
                worker.last_ended = end.number
                actions += self._ended(worker, end, now)
        listed = set()
        for item in report.active:
            listed.add((item.task, item.run_id))
            actions += self._active(worker, item, report.clock_s, now)
        for key in set(worker.orphan_runs) - listed:
            del worker.orphan_runs[key]
            self.freed.add(worker_id)
        # A worker tells of a limited number of ends at once. Where more wait, as after a long
        # outage of the store, a run that is not listed may have ended among the rest.
        is_whole = len(report.ended) < ENDS_PER_REPORT
        for run in list(worker.runs.values()) if is_whole else ():
            answered = run.state in ("running", "barred")
            if answered and run.sent_at < requested_at and (run.task, run.run_id) not in listed:
                self._drop_run(run, now)
        self.note_survivals(worker, now)
        self._confirm_worker(worker, now)
        if worker.unreachable:
            self.needs_full_plan = True
        worker.unreachable = worker.connection_refused = False
        actions += pace_background_tasks(self, worker, now)
        return actions

    def _active(self, worker, item, clock_s, now):
        run = worker.runs.get(item.task)
        if run is not None and run.run_id == item.run_id:
            if run.state in ("starting", "unknown"):
                self._began(run, now)
            _note_progress(run, item, clock_s, now)
            run.load = item.load
            run.checkpoint = item.checkpoint or run.checkpoint
            return []
        return self._adopt(worker, item, run, now)

    def _adopt(self, worker, item, known, now):
        """Take on a run that another leader started, or stop it when it has no place here."""
        step, task = self.find_task(item.task)
        wanted = (
            known is None
            and task is not None
            and not step.job.is_ended
            and task.state is TaskState.WAITING
            and item.run_id >= task.run_id
        )
        if wanted:
            run = self._make_run(worker, step, task, item.run_id, now)
            run.is_adopted = True
            run.percent = run.first_percent = item.percent
            run.load = item.load
            run.checkpoint = item.checkpoint
            self._began(run, now)
            return []
        orphan = worker.orphan_runs.setdefault(
            (item.task, item.run_id), OrphanRun(item=item, now=now)
        )
        waits = self._may_become_known(item.task) and now - orphan.seen_at < UNKNOWN_JOB_S
        if orphan.stopped or waits:
            return []
        orphan.stopped = True
        return [
            StopRun(
                worker_id=worker.info.worker_id, task=item.task, run_id=item.run_id, why="stray"
            )
        ]

    def _may_be_heard_of(self, job_id):
        """Whether a job is unknown, and may yet come with the next reading of the feed.

        Runs of ended jobs must not wait for that: a leader that takes over after a cancelling would
        let them run on, and so would each one after it.
        """
        return not self.has_job(job_id)

    def _may_become_known(self, name):
        job_id = name.split(".", 1)[0]
        if self._may_be_heard_of(job_id):
            return True
        job = self.jobs.get(job_id)
        return job is not None and not job.is_ended and job.is_of_future_occurrence(name)

    def _take_up(self, job, now):
        """Count what workers told of tasks before they were known: ends, then runs.

        Called when a job is heard of and when an occurrence of it becomes due. Without it the tasks
        would be started a second time. Ends come first: of a task that is done no run is taken on.
        Returns the stops that follow.
        """
        actions = []
        for worker in self.workers.values():
            for pending in worker.ack_queue:
                step, task = self.find_task(pending.end.task)
                if pending.change is None and task is not None and step.job is job:
                    actions += self._settle_end(worker, step, task, pending.end, None, now)
                    pending.change = job.change
        self._adopt_orphan_runs(job, now)
        return actions

    def _adopt_orphan_runs(self, job, now):
        """Take on what a former leader started of a job that is only heard of now.

        Without it the job's tasks would be started a second time while the first runs go on.
        """
        for worker in self.workers.values():
            for key, orphan in list(worker.orphan_runs.items()):
                step, task = job.task_named(orphan.item.task)
                if not orphan.item.task.startswith(f"{job.job_id}.") or task is None:
                    continue
                if task.state is not TaskState.WAITING:
                    continue
                del worker.orphan_runs[key]
                run = self._make_run(worker, step, task, orphan.item.run_id, now)
                run.is_adopted = True
                self._began(run, now)
                if orphan.stopped:
                    run.state = "barred"

    def new_run(self, worker, step, task, now):
        """Count a start that is about to be sent; return its run."""
        floor = (self.term - 1) * RUNS_PER_TERM if step.job.inherited else 0
        run = self._make_run(worker, step, task, max(task.run_id, floor) + 1, now)
        run.resumes = bool(task.checkpoint)
        run.is_whole = not run.resumes
        return run

    def _began(self, run, now):
        run.state = "running"
        run.has_begun = True
        run.began_at = run.reported_at = now
        job = run.job
        if not job.begun:
            job.begun = True
            if not job.inherited and not job.spec.n_occurrences:
                self._first_starts.append(now - job.accepted_at)
            if not job.is_ended:
                job.state = JobState.RUNNING
        _, task = self.find_task(run.task)
        if task is None:
            return
        if task.started_at is None:
            task.started_at = now
        history = task.crash_history
        if history is not None and history.confirm_start(run.worker.info.worker_id):
            job.touch(now)

    # Ends

    def _ended(self, worker, end, now):
        if worker.orphan_runs.pop((end.task, end.run_id), None) is not None:
            self.freed.add(worker.info.worker_id)
        run = worker.runs.get(end.task)
        if run is not None and run.run_id == end.run_id:
            self._free(run)
        else:
            run = None
        step, task = self.find_task(end.task)
        if task is None:
            worker.ack_queue.append(PendingEnd(end=end, change=None, now=now))
            return []
        if run is not None:
            task.runs.pop(worker.info.worker_id, None)
            self.forget_placed(run, now)
        actions = self._settle_end(worker, step, task, end, run, now)
        # Also of a job that has ended, until that is durable: a leader that takes over before knows
        # neither of the job's end nor of this one, and would run the task again.
        if step.job.change > step.job.recorded_change:
            worker.ack_queue.append(PendingEnd(end=end, change=step.job.change, now=now))
        return actions

    def _settle_end(self, worker, step, task, end, run, now):
        """Count the end of a task's run; `run` is None when this leader has not known the run."""
        task.run_id = max(task.run_id, end.run_id)
        actions = []
        if not step.job.is_ended:
            if end.checkpoint and step.spec.checkpointing:
                task.checkpoint = end.checkpoint
            actions = self._judge_end(worker, step, task, end, run, now)
            self._wait_again(step, task, now)
        return actions

    def _judge_end(self, worker, step, task, end, run, now):
        match end.how:
            case "done":
                self._worker_did_well(worker)
                if run is not None and run.is_whole and not step.spec.gang:
                    note_duration(worker, step, now - run.began_at)
                return self._task_done(step, task, now)
            case "failed":
                return self._task_failed(worker, step, task, end.run_id, now)
            case _:
                return []

    def _task_done(self, step, task, now):
        job = step.job
        if task.state is TaskState.DONE:
            return []
        job.begun = True
        done = step.tasks if step.spec.gang else [task]
        actions = []
        for each in done:
            each.state = TaskState.DONE
            if not step.spec.gang:
                for run in list(each.runs.values()):
                    actions += self._stop(run, now, "done elsewhere")
        step.n_done = sum(each.state is TaskState.DONE for each in step.tasks)
        job.touch(now)
        if step.is_done:
            self.asking.pop(step.key, None)
            job.mark_ready(now)
        if job.is_done:
            actions += self._finish(job, JobState.COMPLETED, now)
        return actions

    def _task_failed(self, worker, step, task, run_id, now):
        job = step.job
        self._worker_did_badly(worker, now)
        task.avoid.add(worker.info.worker_id)
        if step.spec.long_running:
            return []
        counted = step.tasks[0] if step.spec.gang else task
        if run_id in counted.failed_runs:
            return []
        counted.failed_runs.add(run_id)
        job.touch(now)
        if len(counted.failed_runs) >= job.queue.max_attempts and task.state is not TaskState.DONE:
            return self._finish(job, JobState.FAILED, now)
        return []

    def _worker_did_well(self, worker):
        worker.n_bad = 0
        worker.retry_at = 0.0

    def _worker_did_badly(self, worker, now):
        """Keep work off a worker that fails what others would do, a little longer each time."""
        worker.n_bad += 1
        if worker.n_bad >= BAD_ENDS:
            n_doublings = min(MAX_DOUBLINGS, worker.n_bad - BAD_ENDS)
            rest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**n_doublings)
            worker.retry_at = now + rest

    # Answers to calls

    def start_answered(self, worker_id, task, run_id, outcome, now):
        """Take a worker's answer to a start: started, unknown, or the reason of a refusal."""
        run = self._find_run(worker_id, task, run_id)
        if run is None:
            return []
        if outcome == "started":
            if run.state == "starting":
                self._began(run, now)
                run.sent_at = now
            return []
        if outcome == "unknown":
            # It may be carried out seconds later. Stopping it bars it, and its place stays taken
            # until the worker confirms that.
            if run.state != "starting":
                return []
            actions = self._stop(run, now, "start unanswered")
            return actions + self._stop_rest_of_gang(task, run_id, now)
        if outcome == "ticket":
            step, _ = self.find_task(task)
            if step is not None:
                step.tickets.pop(worker_id, None)
        elif outcome == "no payload":
            run.job.starts_delayed_until = now + NO_PAYLOAD_S
        elif outcome in ("room", "unhealthy"):
            self._worker_did_badly(run.worker, now)
            run.worker.retry_at = max(run.worker.retry_at, now + FIRST_BACKOFF_S)
        self._drop_run(run, now)
        return self._stop_rest_of_gang(task, run_id, now)

    def _stop_rest_of_gang(self, task, run_id, now):
        """Stop the other members of a gang of which one was not started.

        They would wait for it at work until they end alone, and the gang begins anew only then.
        """
        step, _ = self.find_task(task)
        if step is None or not step.spec.gang:
            return []
        runs = [run for each in step.tasks for run in each.runs.values() if run.run_id == run_id]
        return [
            action for run in runs for action in self._stop(run, now, "gang not started as a whole")
        ]

    def is_wanted(self, worker_id, task, run_id):
        """Whether a run that was to be started still has its place, and is not being stopped."""
        run = self._find_run(worker_id, task, run_id)
        return run is not None and run.state in ("starting", "running")

    def may_be_sent(self, worker_id, task, run_id, now):
        """Whether a start that waited for its turn may still go to its worker."""
        run = self._find_run(worker_id, task, run_id)
        if run is None or run.state != "starting" or not run.worker.accepts(now):
            return False
        # The worker's capacity may have been reduced since the start was decided.
        if run.worker.is_over_capacity(run.step):
            return False
        step, _ = self.find_task(task)
        return step is not None and (
            step.job.queue.advice is None or has_ticket(step, worker_id, now)
        )

    def stop_answered(self, worker_id, task, run_id, now):
        """The worker took the stop: the run ends within its time, or never begins."""
        run = self._find_run(worker_id, task, run_id)
        if run is not None and run.state == "stopping":
            run.state = "barred"
            run.sent_at = now

    def advice_received(self, step_key, asked, tickets, valid_until, now):
        """Take the answer to an ask; `tickets` by worker is None when there was no answer."""
        self.asking.pop(step_key, None)
        job = self.jobs.get(step_key.split(".", 1)[0])
        if job is None:
            return
        _, occurrence, number = step_key.split(".")
        step = job.steps.get((int(occurrence), int(number)))
        if step is None:
            return
        job.wake()
        if tickets is None:
            return
        unknown = set(asked) - set(step.tickets)
        self.allowed_shares.note(job.queue.name, len(unknown), len(unknown & set(tickets)))
        step.refused |= set(asked) - set(tickets)
        for worker_id, ticket in tickets.items():
            step.tickets[worker_id] = (ticket, valid_until)


def _note_progress(run, item, clock_s, now):
    if run.reported_clock is None:
        run.percent_clock = clock_s
        # What a resumed run shows at first was done by the run before.
        run.first_percent = item.percent if run.resumes else run.first_percent
    elif item.percent != run.percent:
        run.percent_clock = clock_s
    run.percent = item.percent
    run.reported_clock = clock_s
    run.reported_at = now
