"""Logs and metrics of the places that the leader keeps for urgent tasks."""

#: Minimum time between two updates of the metrics, and between two log lines. Unit: seconds.
METRICS_INTERVAL_S = 0.5
LOG_INTERVAL_S = 2.0


class PlaceReport:
    """Reports the places that a scheduler keeps, lends and takes back.

    Parameters
    ----------
    meters : Meters
    log : Logger
    """

    __slots__ = ("_log", "_logged", "_logged_at", "_meters", "_updated_at")

    def __init__(self, *, meters, log):
        self._meters = meters
        self._log = log
        self._logged = None
        self._logged_at = self._updated_at = float("-inf")

    def update(self, scheduler, now):
        """Report after a plan, if it is time; changed numbers of places are logged."""
        if now < self._updated_at + METRICS_INTERVAL_S:
            return
        self._updated_at = now
        counts = scheduler.places.counts(scheduler.workers)
        self._meters.set_gauge("kept_places", counts.n_kept)
        self._meters.set_gauge("lent_places", counts.n_lent)
        n_taken_back = scheduler.places.take_n_taken_back()
        if n_taken_back:
            self._meters.count("places_taken_back", n=n_taken_back)
        kept = (counts.n_kept, counts.n_workers)
        if not scheduler.places.is_on or kept == self._logged:
            return
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged, self._logged_at = kept, now
        self._log.info(
            "places kept", places=counts.n_kept, workers=counts.n_workers, lent=counts.n_lent
        )
