"""What the urgent queues of a service ask for, and how fast capacity becomes free for them."""

from math import ceil, sqrt

from ._rates import DecayedRate
from ._shape import Shape

#: Memories of the rates. The long one averages over several waves of demand, the short one follows
#: a burst within a second. Unit: seconds.
LONG_MEMORY_S = 30.0
SHORT_MEMORY_S = 2.0

#: Number of steps in the long memory below which there is no demand to reserve for.
MIN_STEPS_IN_MEMORY = 0.5

#: Standard deviations above the mean that the reserve covers: 99% of a normal distribution.
BURST_DEVIATIONS = 2.33

#: Length of the bursts that preemption has to serve: later arrivals are part of the short memory.
#: Unit: seconds.
BURST_S = 2.0

#: Shares of a time after which its arrivals are compared with the turnover.
WINDOWS = (0.25, 0.5, 0.75, 1.0)

_SUMS = ("steps", "tasks", "tasks_squared", "slack", "cpu", "memory", "accelerators")


class UrgentDemand:
    """Demand of the urgent queues of one service, and the turnover of its workers.

    The steps are counted when they become ready, the turnover is the number of whole places that
    runs leave free when they end.
    """

    __slots__ = ("_fast_steps", "_freed", "_sums", "n_steps")

    def __init__(self):
        self.n_steps = 0
        self._fast_steps = DecayedRate(memory_s=SHORT_MEMORY_S)
        self._freed = tuple(
            DecayedRate(memory_s=memory_s) for memory_s in (SHORT_MEMORY_S, LONG_MEMORY_S)
        )
        self._sums = {name: DecayedRate(memory_s=LONG_MEMORY_S) for name in _SUMS}

    def note_step(self, n_tasks, shape, slack_s):
        """Count a step that became ready.

        Parameters
        ----------
        n_tasks : int
            Number of its tasks; a step without tasks is not counted.
        shape : Shape
            Demand of one task.
        slack_s : float
            Time for which the step may wait without the job being late. Unit: seconds.
        """
        if n_tasks <= 0 or shape.is_empty:
            return
        self.n_steps += 1
        self._fast_steps.add(1)
        for name, amount in (
            ("steps", 1),
            ("tasks", n_tasks),
            ("tasks_squared", n_tasks**2),
            ("slack", max(0.0, slack_s)),
            ("cpu", n_tasks * shape.cpu_milli),
            ("memory", n_tasks * shape.memory_mb),
            ("accelerators", n_tasks * shape.accelerators),
        ):
            self._sums[name].add(amount)

    def note_freed(self, n_places):
        """Count whole places that have become free."""
        for rate in self._freed:
            rate.add(n_places)

    def advance(self, elapsed_s):
        """Let the given time pass. Unit: seconds."""
        for rate in (self._fast_steps, *self._freed, *self._sums.values()):
            rate.advance(elapsed_s)

    @property
    def place(self):
        """Mean demand of an urgent task."""
        n_tasks = self._sums["tasks"].per_s
        if not n_tasks:
            return Shape()
        return Shape(
            *(ceil(self._sums[name].per_s / n_tasks) for name in ("cpu", "memory", "accelerators"))
        )

    @property
    def wait_s(self):
        """Mean time for which an urgent task may wait for capacity. Unit: seconds."""
        n_steps = self._sums["steps"].per_s
        return self._sums["slack"].per_s / n_steps if n_steps else 0.0

    def n_places(self, *, stop_s, n_preemptible, allowed_share):
        """Return the number of places that must be free for urgent tasks to start in time.

        A task may wait for `wait_s`. Tasks that the turnover does not serve by then are served by
        preemption. Places are needed for the arrivals of the time by which a stop is too slow, and
        for what preemption cannot free in a burst.

        Parameters
        ----------
        stop_s : float
            Time that preemption takes. Unit: seconds.
        n_preemptible : int
            Number of places that preemption could free.
        allowed_share : float
            Share of the workers on which a step may run.
        """
        if self._sums["steps"].per_s * LONG_MEMORY_S < MIN_STEPS_IN_MEMORY:
            return 0
        unserved = self._shortage(BURST_S, allowed_share) - n_preemptible
        if stop_s > self.wait_s:
            unserved = max(unserved, self._shortage(stop_s - self.wait_s, allowed_share))
        return ceil(max(0.0, unserved))

    def _shortage(self, time_s, allowed_share):
        """Return how many tasks that arrive within some time the turnover does not serve in time.

        Unit: seconds.
        """
        steps = self._sums["steps"].per_s
        mean, deviation = _mean_and_deviation(
            self._sums["tasks"].per_s, self._sums["tasks_squared"].per_s, steps
        )
        steps = max(steps, self._fast_steps.per_s)
        turnover = min(rate.per_s for rate in self._freed)
        # One step may use only the workers on which it is allowed, many steps use them all.
        shortage = (mean + BURST_DEVIATIONS * deviation) / allowed_share - turnover * self.wait_s
        for window in WINDOWS:
            window_s = window * time_s
            # Mean and standard deviation of the number of tasks of a Poisson number of steps.
            arrivals = steps * window_s * mean
            spread = sqrt(steps * window_s * (mean**2 + deviation**2))
            supply = turnover * (window_s + self.wait_s)
            shortage = max(shortage, arrivals + BURST_DEVIATIONS * spread - supply)
        return shortage


def _mean_and_deviation(total, total_squared, n):
    mean = total / n
    return mean, sqrt(max(0.0, total_squared / n - mean**2))
