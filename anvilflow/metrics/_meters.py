"""Counters and durations of one instance of a cell, and its metrics page."""

import resource
from collections import Counter

from hdrh.histogram import HdrHistogram

_MICROSECONDS = 1_000_000
_MAX_DURATION_US = 600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2

#: Quantiles of each duration on the metrics page.
QUANTILES = (0.5, 0.95, 0.99)

#: Help text and label names of each counter, by name.
COUNTS = {
    "calls": ("Calls of clients.", ("verb", "status")),
    "starts": ("Orders to start a task, by the worker's answer.", ("answer",)),
    "ends": ("Ends of tasks that workers told, by how they ended.", ("how",)),
    "stops": ("Orders to stop a run, by reason.", ("why",)),
    "unanswered_stops": ("Orders to stop a run that had no answer; they are sent again.", ()),
    "dropped_runs": ("Runs taken for over without their end, by proof.", ("proof",)),
    "late_ends": ("Ends listed after their runs were taken for over, by proof.", ("proof",)),
    "worker_crashes": ("Workers that were lost, by how the loss was detected.", ("known_by",)),
    "crash_suspects": ("Suspect tasks on lost workers, counted once per loss.", ()),
    "crash_verdicts": ("Jobs that failed because one of their tasks crashes workers.", ()),
    "records_without_answer": (
        "Transactions of records without a confirmation, by what the leader's row showed.",
        ("outcome",),
    ),
    "refused_run_numbers": (
        "Starts refused by their numbers by workers that had no run of the task.",
        (),
    ),
    "unanswered_starts": ("Starts without an answer that a worker may execute late.", ()),
    "unanswered_advice": ("Requests for advice that failed or had no answer.", ()),
    "places_taken_back": ("Runs stopped on workers with kept places, for urgent tasks.", ()),
    "worker_restarts": ("Workers that started again under their ids, by source.", ("known_by",)),
    "late_workers": ("Calls to workers without an answer while answers of all were late.", ()),
    "short_of_processor": ("Times that the instance began to be late with its own timers.", ()),
    "carried": ("Orders of the home to workers, made by this instance.", ("verb", "outcome")),
    "routes": ("Orders of this home to workers, by who made them.", ("verb", "route")),
    "explained_runs": ("Slow runs left alone, by what explains them: speed or length.", ("why",)),
    "invalid_durations": ("Stated or measured durations that were not positive numbers.", ()),
    "malformed_messages": ("Messages of instances that were dropped.", ()),
    "isolated_faults": ("Unexpected errors that were set aside, by what they affect.", ("unit",)),
    "bytes": ("Bytes sent and received, with heads.", ("service", "direction")),
    "takeovers": ("Claims of the home's place by this instance, by reason.", ("why",)),
    "unproven_refusals": ("Calls refused as their API keys could not be checked.", ()),
    "refusals": ("Jobs refused as they would be done too late, by what is short.", ("reason",)),
    "late_reports": ("Reports of accepted jobs that are over and removed, at the home.", ()),
    "store_calls": ("Calls to the store, by kind and table.", ("kind", "table")),
}

#: Help text of each duration, by name. Unit: seconds.
TIMES = {
    "accept": "From a client's job to its row being durable.",
    "first_start": "From the acceptance of a job to its first task at work, at the home.",
    "start_wait": "From the decision to start a task to the order's turn on the link.",
    "record": "From the first change of a job that is not durable to its record.",
    "advice": "From an ask for advice to its answer.",
    "advice_wait": "From a step's need for advice to its request.",
    "load": "From the claim of the home's place to the first decision.",
}


#: Help text of each gauge, by name.
GAUGES = {
    "deferred_advice_steps": "Steps that wait to request advice, at the home.",
    "guaranteed_jobs_waiting": "Jobs with waiting tasks within their accounts' rates, at the home.",
    "excess_jobs_waiting": "Jobs with waiting tasks beyond their accounts' rates, at the home.",
    "late_jobs_waiting": "Jobs with waiting tasks that can no longer be in time, at the home.",
    "advice_callers": "Instances that answer requests for advice, at the home.",
    "long_advice_callers": "Instances that may make long requests for advice, at the home.",
    "kept_places": "Places that are kept free for urgent tasks, at the home.",
    "lent_places": "Kept places that less urgent tasks occupy, at the home.",
    "account_use": "Largest share of its maximum that any account's runs occupy, at the home.",
    "slowest_kind_factor": "Duration of tasks on the slowest kind of worker; 1: the mean.",
    "capacity_wait_seconds": "Longest wait of a new job for free capacity, as last reported.",
    "unconfirmed_jobs": "Jobs accepted by this instance that no leader has confirmed.",
    "config_proof_age_seconds": "Time since which the configuration may be outdated; -1: unknown.",
}


class Meters:
    """Counters and durations of a process; the metrics page is rendered only on request.

    Examples
    --------
    >>> meters = Meters()
    >>> meters.count("ends", "done")
    >>> meters.record_duration("accept", 0.25)
    >>> b'anvilflow_accept_seconds_count 1.0' in meters.page()
    True
    """

    def __init__(self):
        self.counts = Counter()
        self.gauges = dict.fromkeys(GAUGES, 0)
        self._times = {}

    def count(self, name, *labels, n=1):
        """Add `n` to the counter `name` of :data:`COUNTS`."""
        if len(labels) != len(COUNTS[name][1]):
            raise ValueError(f"counter {name} requires values for the labels {COUNTS[name][1]}")
        self.counts[name, labels] += n

    def set_gauge(self, name, value):
        """Set the gauge `name` of :data:`GAUGES`."""
        if name not in GAUGES:
            raise KeyError(name)
        self.gauges[name] = value

    def record_duration(self, name, seconds):
        """Record a duration `name` of :data:`TIMES`. Unit: seconds."""
        histogram = self._times.get(name)
        if histogram is None:
            if name not in TIMES:
                raise KeyError(name)
            histogram = self._times[name] = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
        histogram.record_value(min(_MAX_DURATION_US, max(1, int(seconds * _MICROSECONDS))))

    def collect(self):
        """Yield the metric families of the page."""
        # Imported here, since most instances never serve a page and the import delays the start.
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
        from prometheus_client.metrics_core import Metric

        for name, (meaning, labels) in COUNTS.items():
            family = CounterMetricFamily(f"anvilflow_{name}", meaning, labels=labels)
            for (counted, values), n in sorted(self.counts.items()):
                if counted == name:
                    family.add_metric(values, n)
            yield family
        for name, meaning in GAUGES.items():
            yield GaugeMetricFamily(f"anvilflow_{name}", meaning, value=self.gauges[name])
        for name, meaning in TIMES.items():
            full = f"anvilflow_{name}_seconds"
            family = Metric(full, meaning, "summary")
            histogram = self._times.get(name)
            n_values = histogram.get_total_count() if histogram else 0
            for quantile in QUANTILES if n_values else ():
                value = histogram.get_value_at_percentile(100 * quantile) / _MICROSECONDS
                family.add_sample(full, {"quantile": str(quantile)}, value)
            total = histogram.get_mean_value() * n_values / _MICROSECONDS if n_values else 0.0
            family.add_sample(f"{full}_count", {}, n_values)
            family.add_sample(f"{full}_sum", {}, total)
            yield family
        usage = resource.getrusage(resource.RUSAGE_SELF)
        yield CounterMetricFamily(
            "anvilflow_processor_seconds",
            "Processor time of the process.",
            value=usage.ru_utime + usage.ru_stime,
        )
        yield GaugeMetricFamily(
            "anvilflow_peak_memory_bytes",
            "Peak memory of the process.",
            value=usage.ru_maxrss * 1024,
        )

    def page(self):
        """Return the metrics page in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
