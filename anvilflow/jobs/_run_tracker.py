"""Tracking of the begin and end of runs from the reports and replies of workers."""

from collections import Counter

from ._actions import StopRun
from ._advice import has_ticket
from ._dropped_runs import RunProof
from ._failure_tracker import FIRST_BACKOFF_S, FailureTracker
from ._job import JobState, TaskState
from ._pacing import pace_background_tasks
from ._run import OrphanRun, PendingEnd
from ._stalled_runs import note_duration
from ._worker_speeds import duration_factor, note_run, note_speeds

#: Interval between attempts to start tasks of a job whose payload is missing from the store. Unit:
#: seconds.
NO_PAYLOAD_RETRY_S = 5.0

#: Time for which a run of an unknown job may continue before it is stopped: the job may have been
#: accepted during a change of leaders, and then appears in the next read of the feed of the jobs
#: table. Unit: seconds.
UNKNOWN_JOB_S = 1.5

#: Proofs of the outcomes of a start that was not carried out; all others are refusals.
_START_PROOFS = {"unreached": RunProof.NEVER_SENT, "no payload": RunProof.NEVER_SENT}

#: Least time over which the present speed of a run is estimated. Unit: seconds.
PROGRESS_WINDOW_S = 0.4


class RunTracker(FailureTracker):
    """Tracks the runs on each worker from its reports and its replies to commands.

    Base of :class:`Scheduler`, which adds the jobs: runs are started for the tasks of jobs, and the
    ends of runs advance the jobs.
    """

    def take_first_start_delays(self):
        """Return the times from acceptance to first start of jobs begun since the last call.

        Unit: seconds.
        """
        taken, self._first_start_delays = self._first_start_delays, []
        return taken

    def take_explained_runs(self):
        """Return the numbers of slow runs left alone since the last call, by what explains them."""
        taken, self.explained_runs = self.explained_runs, Counter()
        return taken

    # Reports

    def report(self, worker_id, report, *, requested_at, now):
        """Process a worker's reply to a lease renewal; return the resulting actions.

        `requested_at` is the time at which the renewal was sent. A run that was started or stopped
        later may be missing from the report for that reason alone, and is kept.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        actions = []
        for end in report.ended:
            if end.number > worker.last_ended:
                worker.last_ended = end.number
                actions += self._handle_end(worker, end, now)
        listed = set()
        for item in report.active:
            listed.add((item.task, item.run_id))
            actions += self._handle_active_run(worker, item, report.clock_s, now)
        self._note_pending_ends(worker, report)
        # Otherwise the end of a run that is not listed may be among those not reported yet.
        if report.has_all_ends:
            actions += self._drop_unlisted_runs(worker, listed, requested_at, now)
        self.note_survivals(worker, now)
        self._confirm_worker(worker, now)
        if worker.unreachable:
            self.needs_full_plan = True
        worker.unreachable = worker.is_loss_noted = False
        actions += pace_background_tasks(self, worker, now)
        return actions

    def _note_pending_ends(self, worker, report):
        """Note whether a worker may list more ends of runs that earlier leaders started."""
        worker.note_report(report)
        if worker.has_listed_all_ends:
            self.workers_with_more_ends.discard(worker.info.worker_id)
        else:
            self.workers_with_more_ends.add(worker.info.worker_id)

    def _drop_unlisted_runs(self, worker, listed, requested_at, now):
        """Drop the runs of a worker that are over by its complete report.

        `listed` holds the task and the number of each run in the report. Returns the notes on run
        numbers that the worker has refused.
        """
        notes = []
        for key in set(worker.orphan_runs) - listed:
            del worker.orphan_runs[key]
            self.freed.add(worker.info.worker_id)
        for run in list(worker.runs.values()):
            confirmed = run.state in ("running", "barred", "unknown")
            if confirmed and run.sent_at < requested_at and (run.task, run.run_id) not in listed:
                if run.is_number_refused:
                    notes += self._note_refused_number(run, now)
                self._drop_run(run, RunProof.NOT_LISTED, now)
        return notes

    def _handle_active_run(self, worker, item, clock_s, now):
        run = worker.runs.get(item.task)
        if run is not None and run.run_id == item.run_id:
            if run.state in ("starting", "unknown"):
                self._note_begun(run, now)
            _note_progress(run, item, clock_s, now)
            run.load = item.load
            run.checkpoint = item.checkpoint or run.checkpoint
            if run.state == "running" and run.stopped_at is not None:
                return self._stop(run, now, "stop unanswered")
            return []
        return self._adopt(worker, item, run, now)

    def _adopt(self, worker, item, tracked_run, now):
        """Adopt a run that another leader started, or treat it as an orphan run and stop it.

        An orphan run whose task may still become known is stopped after :data:`UNKNOWN_JOB_S`.
        """
        if tracked_run is not None:
            tracked_run.is_number_refused = False
        step, task = self.find_task(item.task)
        wanted = (
            tracked_run is None
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
            self._note_begun(run, now)
            return []
        orphan = worker.orphan_runs.setdefault(
            (item.task, item.run_id), OrphanRun(item=item, now=now)
        )
        if step is not None:
            orphan.note_step(step)
        waits = self._may_become_known(item.task) and now - orphan.first_listed_at < UNKNOWN_JOB_S
        if orphan.stopped or waits:
            return []
        orphan.stopped = True
        return [
            StopRun(
                worker_id=worker.info.worker_id, task=item.task, run_id=item.run_id, why="stray"
            )
        ]

    def _may_appear_in_feed(self, job_id):
        """Whether a job is unknown and may still appear in the next read of the jobs table's feed.

        Ended jobs are excluded, so that their runs are stopped at once: otherwise a leader that
        takes over after a cancellation would let them continue, and so would each later leader.
        """
        return not self.has_job(job_id)

    def _may_become_known(self, name):
        job_id = name.split(".", 1)[0]
        if self._may_appear_in_feed(job_id):
            return True
        job = self.jobs.get(job_id)
        return job is not None and not job.is_ended and job.is_of_future_occurrence(name)

    def _apply_early_reports(self, job, now):
        """Apply what workers reported about tasks before the tasks were known: ends, then runs.

        Called when a job becomes known and when one of its occurrences becomes due. Otherwise the
        tasks would be started a second time. Ends are applied first, so that no run of a completed
        task is adopted. Returns the resulting stops.
        """
        actions = []
        for worker in self.workers.values():
            for pending in worker.ack_queue:
                step, task = self.find_task(pending.end.task)
                if pending.change is None and task is not None and step.job is job:
                    actions += self._apply_end(worker, step, task, pending.end, None, now)
                    pending.change = job.change
        self._adopt_orphan_runs(job, now)
        return actions

    def _adopt_orphan_runs(self, job, now):
        """Adopt the runs, started by a former leader, of a job that has only now become known.

        Otherwise the job's tasks would be started a second time while the first runs continue.
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
                self._note_begun(run, now)
                if orphan.stopped:
                    run.state = "barred"

    def new_run(self, worker, step, task, run_id, now):
        """Add the run of a start that is about to be sent; return the run."""
        run = self._make_run(worker, step, task, run_id, now)
        run.resumes = bool(task.checkpoint)
        run.is_full_run = not run.resumes
        return run

    def _note_begun(self, run, now):
        run.state = "running"
        run.has_begun = True
        run.began_at = run.reported_at = run.earlier_at = now
        job = run.job
        if not job.begun:
            job.begun = True
            if not job.inherited and not job.spec.n_occurrences:
                self._first_start_delays.append(now - job.accepted_at)
            if not job.is_ended:
                job.state = JobState.RUNNING
        _, task = self.find_task(run.task)
        if task is None:
            return
        task.n_number_refusals = 0
        if task.started_at is None:
            task.started_at = now
        history = task.crash_history
        if history is not None and history.confirm_start(run.worker.info.worker_id):
            job.touch(now)

    # Ends

    def _handle_end(self, worker, end, now):
        if worker.orphan_runs.pop((end.task, end.run_id), None) is not None:
            self.freed.add(worker.info.worker_id)
        run = worker.runs.get(end.task)
        if run is not None and run.run_id == end.run_id:
            if end.how == "stopped" and run.stopped_at is not None:
                self.places.note_stopped(now - run.stopped_at)
            self._free(run)
        else:
            if run is not None:
                run.is_number_refused = False
            run = None
            self.dropped_runs.end_listed(worker.info.worker_id, end)
        step, task = self.find_task(end.task)
        if task is None:
            worker.ack_queue.append(PendingEnd(end=end, change=None, now=now))
            return []
        if run is not None:
            task.runs.pop(worker.info.worker_id, None)
            self.remove_placed(run, now)
        actions = self._apply_end(worker, step, task, end, run, now)
        # The end is acknowledged to the worker only after the job's changes are recorded. This also
        # applies to a job that has ended: a leader that takes over before the job's end is recorded
        # would find neither that end nor this one, and would run the task again.
        is_recorded = step.job.change <= step.job.recorded_change
        if not is_recorded or not self.may_acknowledge(end):
            worker.ack_queue.append(PendingEnd(end=end, change=step.job.change, now=now))
        return actions

    def _apply_end(self, worker, step, task, end, run, now):
        """Apply the end of a task's run; `run` is None if this leader did not track it."""
        task.run_id = max(task.run_id, end.run_id)
        step.job.note_run_id(end.run_id, now)
        actions = []
        if not step.job.is_ended:
            if end.checkpoint and step.spec.checkpointing:
                task.checkpoint = end.checkpoint
            actions = self._apply_outcome(worker, step, task, end, run, now)
            self._return_to_waiting(step, task, now)
        return actions

    def _apply_outcome(self, worker, step, task, end, run, now):
        match end.how:
            case "done":
                self._note_worker_success(worker)
                if run is not None and run.is_full_run and not step.spec.gang:
                    seconds = now - run.began_at
                    note_duration(worker, step, seconds, duration_factor(self, worker))
                    note_run(self, run, step, seconds)
                    self.run_times.note(step.job.queue.name, step.spec.estimate_s, seconds)
                return self._task_done(step, task, now)
            case "failed":
                return self._task_failed(worker, step, task, end.run_id, run, now)
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
            self.advice_in_flight.pop(step.key, None)
            note_speeds(self, step, now)
            job.mark_ready(now)
        if job.is_done:
            actions += self.complete_job(job, now)
        return actions

    # Replies to calls

    def start_answered(self, worker_id, task, run_id, outcome, now):
        """Process the outcome of a start.

        ``started``: the worker has begun the run. ``unknown``: no reply.

        All other outcomes mean that this start was not carried out. ``unreached``: not sent, or
        connection refused. ``no payload``: the store has no payload of the job.

        ``misdirected``: another worker answered at the address.

        The rest are refusals by the worker. ``old``: the worker has had this run number or a higher
        one, or still has a run of the task: which, its next report shows. ``late``: the lease had
        expired on arrival. ``room``: not enough free capacity. ``ticket``: the ticket was not
        accepted. ``unhealthy``: a reply of HTTP status 400, 429 or 503.
        """
        run = self._find_run(worker_id, task, run_id)
        if run is None:
            return []
        if outcome == "started":
            if run.state == "starting":
                self._note_begun(run, now)
                run.sent_at = now
            return []
        if outcome == "unknown":
            # The worker may still carry out the start seconds later. A stop that the worker accepts
            # prevents that. The run's capacity stays reserved until the worker confirms the stop.
            if run.state != "starting":
                return []
            actions = self._stop(run, now, "start unanswered")
            return actions + self._stop_rest_of_gang(task, run_id, now)
        if outcome == "ticket":
            step, _ = self.find_task(task)
            if step is not None:
                step.tickets.pop(worker_id, None)
        elif outcome == "no payload":
            run.job.starts_delayed_until = now + NO_PAYLOAD_RETRY_S
        elif outcome in ("room", "unhealthy"):
            self._note_worker_failure(run.worker, now)
            run.worker.retry_at = max(run.worker.retry_at, now + FIRST_BACKOFF_S)
        if outcome == "old":
            self._keep_until_report(run, now)
        else:
            self._drop_run(run, _START_PROOFS.get(outcome, RunProof.REFUSED), now)
        return self._stop_rest_of_gang(task, run_id, now)

    def _keep_until_report(self, run, now):
        """Keep the task of a run that its worker refuses by number until the next report.

        The worker has, or has had, another run of the task, whose end this leader may not know; or
        it was told to stop the run.
        """
        run.state = "barred"
        run.is_number_refused = run.stopped_at is None
        run.sent_at = now

    def _stop_rest_of_gang(self, task, run_id, now):
        """Stop the other members of a gang of which one member was not started.

        Otherwise the others would occupy their workers, waiting for that member, until they end as
        ``alone``. Only then would the gang be started again.
        """
        step, _ = self.find_task(task)
        if step is None or not step.spec.gang:
            return []
        runs = [run for each in step.tasks for run in each.runs.values() if run.run_id == run_id]
        return [
            action for run in runs for action in self._stop(run, now, "gang not started as a whole")
        ]

    def is_wanted(self, worker_id, task, run_id):
        """Whether a run to be started still holds its capacity and is not being stopped."""
        run = self._find_run(worker_id, task, run_id)
        return run is not None and run.state in ("starting", "running")

    def may_be_sent(self, worker_id, task, run_id, now):
        """Whether a queued start may still be sent to its worker."""
        run = self._find_run(worker_id, task, run_id)
        if run is None or run.state != "starting" or not run.worker.accepts(now):
            return False
        # The worker's capacity or the account's maximum may have been reduced since the start was
        # decided.
        if run.worker.is_over_capacity(run.step) or self.is_over_maximum(run.job):
            return False
        step, _ = self.find_task(task)
        return step is not None and (
            step.job.queue.advice is None or has_ticket(step, worker_id, now)
        )

    def stop_answered(self, worker_id, task, run_id, now):
        """Note that a worker accepted a stop: the run ends within the stop time or never begins."""
        super().stop_answered(worker_id, task, run_id, now)
        run = self._find_run(worker_id, task, run_id)
        if run is not None and run.state == "stopping":
            run.state = "barred"
            run.sent_at = now

    def advice_received(self, step_key, asked, tickets, valid_until, now, *, number=0):
        """Process the reply to an advice request; `tickets`, by worker, is None without a reply.

        `number` is that of the :class:`RequestAdvice`. A late reply to a request that was dropped
        leaves a later one of the step in flight.
        """
        request = self.advice_in_flight.get(step_key)
        if request is not None and number in (0, request.number):
            del self.advice_in_flight[step_key]
        self.ticket_planner.answered(step_key, number)
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
        # The first progress that a resumed run reports counts as made by the previous run.
        run.first_percent = item.percent if run.resumes else run.first_percent
        run.earlier_percent = run.first_percent
    elif item.percent != run.percent:
        run.percent_clock = clock_s
    if now - run.earlier_at >= PROGRESS_WINDOW_S:
        run.earlier_percent, run.earlier_at = run.percent, run.reported_at
    run.percent = item.percent
    run.reported_clock = clock_s
    run.reported_at = now
