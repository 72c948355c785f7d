"""Runs of tasks on workers, and their ends until these are durable."""

from ._crash_history import EARLY_CRASH_S


class OrphanRun:
    """A run that a worker lists and no task accounts for: of an unknown job, or out of date.

    `stopped` means that its stop was sent. `owner` and `step` are the account and the step of its
    task, None while its job is not known; both are kept when the job has ended.

    Parameters
    ----------
    item : RunReport
    now : float
        When the run was first listed. Unit: seconds.
    """

    __slots__ = ("first_listed_at", "item", "owner", "step", "stopped")

    def __init__(self, *, item, now):
        self.item = item
        self.first_listed_at = now
        self.stopped = False
        self.owner = None
        self.step = None

    @property
    def job_id(self):
        """Id of the job of the run."""
        return self.item.task.split(".", 1)[0]

    def note_step(self, step):
        """Note the :class:`StepRun` of the run's task."""
        self.owner = step.job.owner
        self.step = step.spec


class PendingEnd:
    """An end that a worker has reported and that must not be acknowledged yet.

    Parameters
    ----------
    end : RunEnd
    change : int or None
        Change of the run's job that has to be durable first; None while the task is not known.
    now : float
        When the end was received. Unit: seconds.
    """

    __slots__ = ("change", "end", "received_at")

    def __init__(self, *, end, change, now):
        self.end = end
        self.change = change
        self.received_at = now

    @property
    def job_id(self):
        """Id of the job of the run that has ended."""
        return self.end.task.split(".", 1)[0]


class Run:
    """One start of a task on a worker, from the decision to start it until its end is listed.

    `state` is one of:

    - ``recording``: the start is sent only after it is durable, see :class:`TrialTracker`;
    - ``starting``: the start may be sent or was sent, and the worker has not confirmed it;
    - ``running``: the worker has confirmed the start or listed the run, or the run was adopted;
    - ``stopping``: the stop was decided, and the worker has not accepted it;
    - ``barred``: the worker has accepted the stop, so that the run ends soon or never begins, or
      has refused the run by its number, so that it never begins;
    - ``unknown``: the outcome of the start or stop is not known, until the next report. The worker
      refuses late ones by their token then.

    `sent_at` is the time of the latest command or of its confirmation: only a report that was
    requested later shows its effect. `stopped_at` is the time of this leader's decision to stop the
    run, None before. `resumes` means that the run begins from a checkpoint. `pace`
    is the limit set on a background task's speed, in percent of full speed; `load` is as in
    :class:`RunReport`.

    `percent_clock` and `reported_clock` are the worker's times of the last progress and of the last
    report, None before the first report. `reported_at` is the leader's time of the last report,
    `first_percent` the progress with which the run began. `is_full_run` means that this leader
    started the run, and not from a checkpoint: only then is its duration that of the task.
    `is_sent` means that the start was sent, `has_begun` that the worker has confirmed the run,
    `is_adopted` that another leader started it, `is_trial` that it is a trial run, see
    :class:`TrialTracker`. `is_explained` means that the run is slow and is left alone, since the
    learnt speed of its worker or the length of its task explains it, `is_noted` that its duration
    is in the run times of its step, `is_number_refused` that its worker has refused its number and
    has not reported a run of the task that explains this. `earlier_percent` and `earlier_at` are
    the progress at an earlier report, from which the present speed is estimated.
    """

    __slots__ = (
        "began_at",
        "checkpoint",
        "earlier_at",
        "earlier_percent",
        "first_percent",
        "has_begun",
        "is_adopted",
        "is_explained",
        "is_full_run",
        "is_noted",
        "is_number_refused",
        "is_sent",
        "is_trial",
        "job",
        "load",
        "pace",
        "percent",
        "percent_clock",
        "reported_at",
        "reported_clock",
        "resumes",
        "run_id",
        "sent_at",
        "state",
        "step",
        "stopped_at",
        "task",
        "worker",
    )

    def __init__(self, *, task, run_id, worker, job, step, now):
        self.task = task
        self.run_id = run_id
        self.worker = worker
        self.job = job
        self.step = step
        self.state = "starting"
        self.sent_at = now
        self.stopped_at = None
        self.began_at = now
        self.percent = 0.0
        self.first_percent = 0.0
        self.percent_clock = None
        self.reported_at = now
        self.earlier_percent = 0.0
        self.earlier_at = now
        self.reported_clock = None
        self.resumes = False
        self.is_full_run = False
        self.is_noted = False
        self.is_number_refused = False
        self.is_sent = False
        self.has_begun = False
        self.is_adopted = False
        self.is_explained = False
        self.is_trial = False
        self.checkpoint = ""
        self.load = 0.0
        self.pace = 100

    @property
    def may_have_begun(self):
        """Whether the run may have begun on its worker."""
        return self.is_sent or self.has_begun or self.is_adopted

    @property
    def is_fresh(self):
        """Whether the run had begun, under this leader, shortly before it was last listed."""
        return self.has_begun and not self.is_adopted and self.survived_s < EARLY_CRASH_S

    @property
    def survived_s(self):
        """Age at which the run was last listed. Unit: seconds."""
        return max(0.0, self.reported_at - self.began_at) if self.has_begun else 0.0

    def max_age_s(self, now):
        """Upper bound of the run's age when its worker was lost. Unit: seconds."""
        lost_at = self.worker.unreachable_since if self.worker.unreachable else now
        return max(0.0, lost_at - self.began_at)
