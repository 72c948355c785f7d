"""Starts that wait for their turn on the leader's link."""

import heapq
from collections import deque
from itertools import count

from msgspec import Struct

from ..decisions import SendWindow
from ..jobs import StartRun

#: Time over which the rate of starts is counted. Unit: seconds.
RATE_S = 2.0


class _Group(Struct, kw_only=True):
    """Starts that are sent together: one, or all members of a gang."""

    starts: dict[str, StartRun]
    added_at: float


class StartQueue:
    """Sends as many starts at once as the answers show that the link carries.

    A start that is sent can be neither overtaken by a more urgent one nor taken back. On a full
    link it is late, and whether it runs is not known until its worker is heard again.

    Parameters
    ----------
    clock : IReactorTime
    scheduler : Scheduler
        Tells of each start how urgent it is, and whether it may still be sent.
    send : callable
        Called with each :class:`StartRun` when it is its turn, and for how long it has waited.
        Unit: seconds.
    drop : callable
        Called with each one that may not be sent any more.
    may_send_commands : callable
        Whether anything may be sent now.

    Notes
    -----
    Members of a gang go out together: the first ones would wait for the others at work, and end
    without them.
    """

    def __init__(self, *, clock, scheduler, send, drop, may_send_commands):
        self.clock = clock
        self.scheduler = scheduler
        self.window = SendWindow(now=clock.seconds())
        self._send = send
        self._drop = drop
        self._may_send_commands = may_send_commands
        self._heap = []
        self._numbers = count()
        self._groups = {}
        self._n_waiting = 0
        self._under_way = set()
        self._is_sending = False
        self._sent_at = deque()

    def __len__(self):
        return self._n_waiting

    @property
    def rate(self):
        """Starts that are sent in a second, by those of the last two; at least one."""
        since = self.clock.seconds() - RATE_S
        while self._sent_at and self._sent_at[0] < since:
            self._sent_at.popleft()
        return max(1.0, len(self._sent_at) / RATE_S)

    @property
    def n_open(self):
        """Starts that are wanted beyond those that wait: as many as may be under way."""
        return max(0, self.window.limit - len(self))

    def add(self, action):
        """Queue a start; it goes out with the next :meth:`send_due`."""
        step, _ = self.scheduler.find_task(action.task)
        is_gang = step is not None and step.spec.gang
        key = (step.key if is_gang else action.task, action.run_id)
        group = self._groups.get(key)
        if group is None:
            now = self.clock.seconds()
            group = self._groups[key] = _Group(starts={}, added_at=now)
            urgency = step.job.urgency(now) if step is not None else ()
            heapq.heappush(self._heap, (urgency, next(self._numbers), key))
        group.starts[action.task] = action
        self._n_waiting += 1

    def withdraw(self, action):
        """Take a start back by the stop of its run; return whether it was still here."""
        step_key = action.task.rpartition(".")[0]
        for key in ((action.task, action.run_id), (step_key, action.run_id)):
            group = self._groups.get(key)
            if group is not None and group.starts.pop(action.task, None) is not None:
                self._n_waiting -= 1
                return True
        return False

    def over(self, action):
        """Note that a start is answered, or so late that it tells nothing of the link."""
        key = (action.task, action.run_id)
        if key in self._under_way:
            self._under_way.remove(key)
            self.window.n_under_way -= 1
            self.send_due()

    def send_due(self):
        """Send what the window allows, the most urgent first."""
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
        may_go = all(
            self.scheduler.may_be_sent(start.worker_id, start.task, start.run_id, now)
            for start in starts
        )
        for start in starts:
            if not may_go:
                self._drop(start)
                continue
            self._under_way.add((start.task, start.run_id))
            self.window.n_under_way += 1
            self._sent_at.append(now)
            self._send(start, now - group.added_at)
