"""Log lines and metrics of what the leader has learnt of the speeds of workers."""

from ..exceptions import InvalidDurationError
from ..jobs import services_with_speeds
from ..utils import to_builtins

#: Interval between two updates. Unit: seconds.
REPORT_PERIOD_S = 1.0


class SpeedReport:
    """Reports the learnt speeds of one leader's term.

    A line is logged when speeds begin or cease to decide where tasks of a service run, and one at
    the first invalid duration.

    Parameters
    ----------
    log : Logger
    meters : Meters
    """

    def __init__(self, *, log, meters):
        self._log = log
        self._meters = meters
        self._updated_at = float("-inf")
        self._services = frozenset()
        self._n_ignored = 0

    def update(self, scheduler, now):
        """Report what has changed, at most once per :data:`REPORT_PERIOD_S`. Unit: seconds."""
        if now < self._updated_at + REPORT_PERIOD_S:
            return
        self._updated_at = now
        for why, n_runs in scheduler.take_explained_runs().items():
            self._meters.count("explained_runs", why, n=n_runs)
        self._count_ignored(scheduler.speeds.n_ignored)
        kinds = scheduler.speeds.kind_speeds()
        known = [kind.factor for kind in kinds if kind.is_known]
        self._meters.set_gauge("slowest_kind_factor", max(known, default=0.0))
        services = services_with_speeds(scheduler)
        if services != self._services:
            self._services = services
            self._log.info(
                "speeds used",
                services=sorted(services),
                kinds=[to_builtins(kind) for kind in kinds if kind.is_known],
            )

    def _count_ignored(self, n_ignored):
        n_new, self._n_ignored = n_ignored - self._n_ignored, n_ignored
        if not n_new:
            return
        self._meters.count("invalid_durations", n=n_new)
        if n_new == n_ignored:
            cause = InvalidDurationError("a stated or measured duration is not a positive number")
            self._log.warning("durations ignored", error=str(cause))
