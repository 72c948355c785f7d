"""Waiting times in HDR histograms by customer and kind, and counters, for the metrics page."""

from hdrh.histogram import HdrHistogram

_MICROSECONDS = 1_000_000
_MAX_DURATION_US = 3600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 99.0)


class Metrics:
    """Waiting times and counters of one process.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.waited("lookups", "service", 0.25)
    >>> metrics.summary()[("lookups", "service")]["n"]
    1
    """

    def __init__(self):
        # Imported here: processes without a metrics page start 40 ms sooner without this import.
        from prometheus_client import CollectorRegistry, Counter

        self._waits = {}
        self.registry = CollectorRegistry()
        self.outcomes = Counter(
            "anvilflow_requests", "Requests by outcome.", ["outcome"], registry=self.registry
        )
        self.placements = Counter(
            "anvilflow_placements", "Requests and tasks placed.", ["kind"], registry=self.registry
        )
        self.retries = Counter("anvilflow_retries", "Requests sent again.", registry=self.registry)
        self.registry.register(self)

    def waited(self, customer, kind, seconds):
        """Record the time, in seconds, that a request or task waited for its placement."""
        histogram = self._waits.get((customer, kind))
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
            self._waits[customer, kind] = histogram
        histogram.record_value(min(_MAX_DURATION_US, max(1, int(seconds * _MICROSECONDS))))

    def histograms(self):
        """Return the histograms of waiting times, in microseconds, by customer and kind."""
        return self._waits

    def summary(self):
        """Return count, p50, p99 and maximum, in seconds, by customer and kind."""
        return {key: summarize(histogram) for key, histogram in self._waits.items()}

    def collect(self):
        """Yield the waiting times as a metric family for the metrics page."""
        from prometheus_client.core import SummaryMetricFamily

        family = SummaryMetricFamily(
            "anvilflow_waiting_seconds", "Waiting time for a place.", labels=["customer", "kind"]
        )
        for (customer, kind), histogram in self._waits.items():
            n_values = histogram.get_total_count()
            total = histogram.get_mean_value() * n_values / _MICROSECONDS
            family.add_metric([customer, kind], count_value=n_values, sum_value=total)
        yield family

    def page(self):
        """Return the metrics page in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)


def summarize(histogram):
    """Return count, p50, p99 and maximum, in seconds, of a histogram in microseconds."""
    p50, p99 = (
        histogram.get_value_at_percentile(percentile) / _MICROSECONDS for percentile in _PERCENTILES
    )
    return {
        "n": histogram.get_total_count(),
        "p50": p50,
        "p99": p99,
        "max": histogram.get_max_value() / _MICROSECONDS,
    }
