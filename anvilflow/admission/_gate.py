"""Admission of jobs at one gateway, by the leader's last report and what it has accepted since."""

from random import Random

from msgspec import structs

from ..shares import usable_weight
from ._account_rates import AccountRates
from ._decision import MAX_RETRY_AFTER_S, Outlook, decide_admission
from ._forecast import BacklogReport

#: Age up to which a report of the leader is valid; the leader reports every 0.4 s. Unit: seconds.
MAX_REPORT_AGE_S = 1.3

#: Largest rate at which the clocks of two instances diverge. Unit: seconds per second.
MAX_CLOCK_DRIFT = 0.001

#: Factor by which a gateway counts more than its share of the guaranteed rate of an account:
#: clients do not spread their jobs evenly over the instances.
RATE_FACTOR = 2.0


class AdmissionGate:
    """Decides on the jobs that arrive at one instance.

    Parameters
    ----------
    clock : IReactorTime
    random_state : random.Random, default=None
        Spreads the returns of jobs that several instances refuse at the same time.
    """

    def __init__(self, *, clock, random_state=None):
        self.clock = clock
        self._random = random_state or Random()
        self._report = BacklogReport()
        self._waits = {}
        self._received_at = self._reported_at = float("-inf")
        self._accepted = {}
        self._rates = AccountRates(min_burst=1.0)
        self._returns_at = {}
        self._leader = None
        self._clock_offset_s = 0.0

    def record_report(self, report, *, leader=None, sent_s=None):
        """Record a report of the leader.

        Parameters
        ----------
        report : BacklogReport
        leader : object, default=None
            Identifies the leader's term.
        sent_s : float, default=None
            When the report was sent, on the leader's steady clock; None: just now. Unit: seconds.

        Notes
        -----
        The least difference between the two clocks belongs to a report that was delivered at once.
        An instance that was suspended reads old reports afterwards: these arrive late by the time
        that it was suspended. Start delays count from their arrival: where the leader's link is
        saturated, its reports are late for the same reason as its starts.
        """
        now = self.clock.seconds()
        transit_s = 0.0
        if sent_s is not None:
            offset_s = now - sent_s
            drift_s = MAX_CLOCK_DRIFT * (now - self._received_at)
            if leader != self._leader:
                self._leader, self._clock_offset_s = leader, offset_s
            self._clock_offset_s = min(offset_s, self._clock_offset_s + drift_s)
            transit_s = offset_s - self._clock_offset_s
        self._report = report
        self._waits = {}
        for wait in report.waits:
            self._waits.setdefault(wait.service, []).append(wait)
        self._received_at = now
        self._reported_at = now - transit_s
        self._accepted.clear()

    @property
    def report_age_s(self):
        """Age of the last report. Unit: seconds."""
        return self.clock.seconds() - self._reported_at

    @property
    def longest_wait_s(self):
        """Longest wait for capacity in the last report, 0 if it is too old. Unit: seconds."""
        if self.report_age_s > MAX_REPORT_AGE_S:
            return 0.0
        return max((wait.wait_s for wait in self._report.waits), default=0.0)

    def decide(self, request, *, factor, has_shares=False):
        """Return the :func:`decide_admission` of a :class:`JobRequest` as of now.

        Parameters
        ----------
        request : JobRequest
        factor : float
        has_shares : bool, default=False
            Whether the leader orders jobs by shares: those without an account are guaranteed then.
        """
        outlook = self.outlook(request)
        if has_shares and not request.account:
            outlook = structs.replace(outlook, is_guaranteed=True)
        return decide_admission(request, outlook, factor=factor)

    def outlook(self, request):
        """Return the :class:`Outlook` of a job."""
        now = self.clock.seconds()
        if now - self._received_at > MAX_REPORT_AGE_S:
            return Outlook()
        report, priority = self._report, request.priority
        delays = report.start_delays
        start_delay_s = max(
            (delay for other, delay in delays.items() if other <= priority), default=0.0
        )
        age_s = now - self._reported_at
        waits = self._waits.get(request.service, ()) if age_s <= MAX_REPORT_AGE_S else ()
        wait = max(
            (each for each in waits if each.priority <= priority),
            key=lambda each: each.wait_s,
            default=None,
        )
        if wait is None and not start_delay_s:
            return Outlook()
        return Outlook(
            start_delay_s=start_delay_s,
            wait_s=self._wait_now(wait, request, age_s),
            guaranteed_wait_s=self._guaranteed_wait_now(wait, request, age_s),
            is_guaranteed=self._is_guaranteed(request, now),
            has_excess=bool(report.excess_accounts),
        )

    def _wait_now(self, wait, request, age_s):
        """Return the reported wait, less its age, plus the work accepted since.

        A job with a shorter objective than the mean is due before a part of the work ahead.

        That work is estimated by the jobs accepted here, and by the rate at which the leader has
        seen jobs of all instances arrive; the larger one counts. Unit: seconds.
        """
        if wait is None:
            return 0.0
        own_s = 0.0
        if wait.rate_milli > 0:
            own_s = self._accepted_work(request) / wait.rate_milli
        wait_s = max(0.0, wait.wait_s - age_s + max(own_s, wait.inflow * age_s))
        return wait_s * _share_ahead(wait, request)

    def _guaranteed_wait_now(self, wait, request, age_s):
        if wait is None:
            return 0.0
        return max(0.0, wait.guaranteed_wait_s - age_s) * _share_ahead(wait, request)

    def _accepted_work(self, request):
        return sum(
            work
            for (service, priority), work in self._accepted.items()
            if service == request.service and priority <= request.priority
        )

    def _is_guaranteed(self, request, now):
        if not request.account:
            return False
        if request.account not in self._report.excess_accounts:
            return True
        return self._rates.allows(request.account, self._share_of_rate(request), now)

    def _share_of_rate(self, request):
        return RATE_FACTOR * usable_weight(request.weight) / max(1, self._report.n_instances)

    def note_accepted(self, request):
        """Note that a job was stored."""
        key = (request.service, request.priority)
        self._accepted[key] = self._accepted.get(key, 0.0) + request.work
        if request.account:
            now = self.clock.seconds()
            self._rates.take(request.account, self._share_of_rate(request), now)

    def note_refused(self, request, refusal):
        """Note that a job was refused; return when it may come again. Unit: seconds.

        The jobs refused here return in their order, at the rate at which capacity becomes free for
        them, if all instances refuse as many. A job is not asked to return when it has become
        useless because of this order.

        Parameters
        ----------
        request : JobRequest
        refusal : Refuse
        """
        rate_milli = self._rate_for(request)
        if refusal.reason != "capacity" or rate_milli <= 0:
            return refusal.retry_after_s
        now = self.clock.seconds()
        key = (request.service, request.priority)
        earliest_at = now + refusal.retry_after_s
        spacing_s = request.work * max(1, self._report.n_instances) / rate_milli
        last_at = self._returns_at.get(key, float("-inf"))
        # Other instances refuse jobs at the same time, whose returns begin at the same moment.
        begins_at = earliest_at + self._random.uniform(0.0, min(spacing_s, MAX_RETRY_AFTER_S))
        at = last_at + spacing_s if last_at + spacing_s > begins_at else begins_at
        latest_s = max(refusal.retry_after_s, min(MAX_RETRY_AFTER_S, refusal.max_wait_s))
        at = max(earliest_at, min(at, now + latest_s))
        self._returns_at[key] = at
        return at - now

    def _rate_for(self, request):
        rates = [
            wait.rate_milli
            for wait in self._waits.get(request.service, ())
            if wait.priority <= request.priority
        ]
        return min(rates, default=0.0)


def _share_ahead(wait, request):
    if request.objective_s >= wait.objective_s:
        return 1.0
    return request.objective_s / wait.objective_s
