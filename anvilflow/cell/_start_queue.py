"""Queue of starts that wait for free capacity on the leader's link."""

import heapq
from collections import deque
from itertools import count

from msgspec import Struct

from ..decisions import SendWindow
from ..jobs import StartRun

#: Time window over which the rate of starts is averaged. Unit: seconds.
RATE_WINDOW_S = 2.0


class _Group(Struct, kw_only=True):
    """Starts that are sent together: a single start, or all members of a gang."""

    starts: dict[str, StartRun]
    added_at: float


class StartQueue:
    """Sends queued starts by urgency, within a window that adapts to the round trips of answers.

    A start that has been sent can be neither overtaken by a more urgent one nor withdrawn. On a
    full link it is late, and whether its run exists is unknown until the worker answers again.

    Parameters
    ----------
    clock : IReactorTime
    scheduler : Scheduler
        Provides the urgency of each start, and whether the start may still be sent.
    send : callable
        Called with each :class:`StartRun` to send and the time it waited. Unit: seconds.
    drop : callable
        Called with each :class:`StartRun` that may no longer be sent.
    may_send_commands : callable
        Returns whether commands may be sent now.

    Notes
    -----
    The members of a gang are sent together, even beyond the window: if sent one by one, the first
    members would run while waiting for the others, and end without them.
    """

    def __init__(self, *, clock, scheduler, send, drop, may_send_commands):
        self.clock = clock
        self.scheduler = scheduler
        self.window = SendWindow(now=clock.seconds())
        self._send = send
        self._drop = drop
        self._may_send_commands = may_send_commands
        self._heap = []
        self._sequence = count()
        self._groups = {}
        self._n_waiting = 0
        self._in_flight = set()
        self._is_sending = False
        self._sent_at = deque()

    def __len__(self):
        return self._n_waiting

    @property
    def rate(self):
        """Starts sent per second, averaged over the last two seconds; at least one."""
        since = self.clock.seconds() - RATE_WINDOW_S
        while self._sent_at and self._sent_at[0] < since:
            self._sent_at.popleft()
        return max(1.0, len(self._sent_at) / RATE_WINDOW_S)

    @property
    def n_free(self):
        """How many more starts may be queued: the limit of the window less the queued starts."""
        return max(0, self.window.limit - len(self))

    def add(self, action):
        """Queue a start for :meth:`send_due`."""
        step, _ = self.scheduler.find_task(action.task)
        is_gang = step is not None and step.spec.gang
        key = (step.key if is_gang else action.task, action.run_id)
        group = self._groups.get(key)
        if group is None:
            now = self.clock.seconds()
            group = self._groups[key] = _Group(starts={}, added_at=now)
            urgency = self.scheduler.urgency(step.job, now) if step is not None else ()
            heapq.heappush(self._heap, (urgency, next(self._sequence), key))
        group.starts[action.task] = action
        self._n_waiting += 1

    def withdraw(self, action):
        """Withdraw the start of a run that is being stopped; return whether it was still queued.

        `action` is the stop of the run.
        """
        step_key = action.task.rpartition(".")[0]
        for key in ((action.task, action.run_id), (step_key, action.run_id)):
            group = self._groups.get(key)
            if group is not None and group.starts.pop(action.task, None) is not None:
                self._n_waiting -= 1
                return True
        return False

    def release(self, action):
        """Release the place of a start in the window: it is answered, or late.

        The answer to a late start no longer shows the state of the link.
        """
        key = (action.task, action.run_id)
        if key in self._in_flight:
            self._in_flight.remove(key)
            self.window.n_in_flight -= 1
            self.send_due()

    def send_due(self):
        """Send queued starts, the most urgent first, while the window is open."""
        if (
            self._is_sending
            or not self._heap
            or not self.window.is_open
            or not self._may_send_commands()
        ):
            return
        self._is_sending = True
        try:
            while self._heap and self.window.is_open:
                _, _, key = heapq.heappop(self._heap)
                self._send_group(self._groups.pop(key))
        finally:
            self._is_sending = False

    def _send_group(self, group):
        now = self.clock.seconds()
        starts = list(group.starts.values())
        self._n_waiting -= len(starts)
        may_send = all(
            self.scheduler.may_be_sent(start.worker_id, start.task, start.run_id, now)
            for start in starts
        )
        for start in starts:
            if not may_send:
                self._drop(start)
                continue
            self._in_flight.add((start.task, start.run_id))
            self.window.n_in_flight += 1
            self._sent_at.append(now)
            self._send(start, now - group.added_at)
