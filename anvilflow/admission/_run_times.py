"""Ratios of actual to stated durations of tasks, by queue."""

from collections import OrderedDict

from hdrh.histogram import HdrHistogram

#: Ratios are recorded as whole percents; larger ones count as the maximum.
_PERCENT = 100
_MAX_PERCENT = 2_000
_SIGNIFICANT_DIGITS = 2

#: Number of durations of a queue from which its ratio is used.
MIN_RECORDED = 20

#: Number of durations after which a queue's earlier ones are dropped, so that the ratio follows a
#: change of what clients state.
WINDOW = 500

#: Number of queues that are recorded; beyond it, the one recorded least recently is dropped. A
#: queue takes a few kilobytes.
MAX_QUEUES = 200


class RunTimes:
    """Records how long tasks take relative to their stated durations.

    Examples
    --------
    >>> run_times = RunTimes()
    >>> for _ in range(MIN_RECORDED):
    ...     run_times.note("a", 2.0, 3.0)
    >>> run_times.median("a"), run_times.median("b")
    (1.5, 1.0)
    """

    def __init__(self):
        self._queues = OrderedDict()

    def note(self, queue, stated_s, actual_s):
        """Record a completed run. Unit: seconds."""
        if not stated_s > 0 or not actual_s >= 0:
            return
        ratios = self._queues.get(queue)
        if ratios is None:
            ratios = self._queues[queue] = _Ratios()
            while len(self._queues) > MAX_QUEUES:
                self._queues.popitem(last=False)
        else:
            self._queues.move_to_end(queue)
        ratios.add(actual_s / stated_s)

    def median(self, queue):
        """Return the median ratio of a queue; 1.0 while too few durations are known."""
        ratios = self._queues.get(queue)
        return ratios.median() if ratios is not None else 1.0

    def __len__(self):
        return len(self._queues)


class _Ratios:
    """Ratios of one queue: those of the last complete window, and those since then."""

    __slots__ = ("_complete", "_current", "_median")

    def __init__(self):
        self._complete = None
        self._current = _make_histogram()
        self._median = None

    def add(self, ratio):
        """Record a ratio."""
        if self._current.get_total_count() >= WINDOW:
            self._complete, self._current = self._current, _make_histogram()
        self._current.record_value(max(1, round(min(_MAX_PERCENT, _PERCENT * ratio))))
        self._median = None

    def median(self):
        """Return the median of the ratios; 1.0 while too few are known."""
        if self._current.get_total_count() >= MIN_RECORDED:
            histogram = self._current
        elif self._complete is not None:
            histogram = self._complete
        else:
            return 1.0
        if self._median is None:
            self._median = histogram.get_value_at_percentile(50) / _PERCENT
        return self._median


def _make_histogram():
    return HdrHistogram(1, _MAX_PERCENT, _SIGNIFICANT_DIGITS)
