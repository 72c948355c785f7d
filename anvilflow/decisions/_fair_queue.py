"""Weighted fair queueing over customers.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each item gets a start tag, the
larger of the queue's virtual time and the finish tag of the customer's last item; the smallest
start tag goes first. A customer that was idle starts at the present virtual time, so it waits for
at most the one item that is next of each other customer, however long their queues are.
"""

from collections import deque

from msgspec import Struct
from sortedcontainers import SortedList


class QueuedItem(Struct, kw_only=True):
    """An item that waits.

    Parameters
    ----------
    item_id : str
    customer : str
    cost : float
        What the item takes, in any one unit; a customer's share is measured in it.
    weight : int
        The customer's weight.
    deadline : float
        Time after which the item is dropped. Unit: seconds.
    value : object
        What the caller of the queue gets back.
    """

    item_id: str
    customer: str
    cost: float
    weight: int
    deadline: float
    value: object


class _Line:
    """The items of one customer."""

    __slots__ = ("finish_tag", "items", "n_live", "start_tag")

    def __init__(self):
        self.items = deque()
        self.n_live = 0
        self.start_tag = 0.0
        self.finish_tag = 0.0


class FairQueue:
    """Items of many customers, in weighted fair order.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for n in range(3):
    ...     queue.push(QueuedItem(item_id=f"big-{n}", customer="big", cost=1, weight=100,
    ...                           deadline=9, value=None))
    >>> queue.push(QueuedItem(item_id="small", customer="small", cost=1, weight=100,
    ...                       deadline=9, value=None))
    >>> [queue.pop_first(lambda item: True).item_id for _ in range(3)]
    ['big-0', 'small', 'big-1']
    """

    __slots__ = ("_deadlines", "_known", "_lines", "_order", "_virtual_time")

    def __init__(self):
        self._lines = {}
        self._order = SortedList()
        self._known = {}
        self._deadlines = SortedList()
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._known)

    def __contains__(self, item_id):
        return item_id in self._known

    def length_of(self, customer):
        """Return the number of the customer's items."""
        line = self._lines.get(customer)
        return line.n_live if line else 0

    def push(self, item):
        """Add an item; one that is already queued is left as it is."""
        if item.item_id in self._known:
            return
        line = self._lines.setdefault(item.customer, _Line())
        if not line.items:
            line.start_tag = max(self._virtual_time, line.finish_tag)
            self._order.add((line.start_tag, item.customer))
        line.items.append(item)
        line.n_live += 1
        self._known[item.item_id] = item
        self._deadlines.add((item.deadline, item.item_id))

    def pop_first(self, accepts):
        """Remove and return the first customer's head item that `accepts` takes, or None.

        A customer whose head is not taken is passed over, and keeps its place.
        """
        for start_tag, customer in self._order:
            line = self._lines[customer]
            item = line.items[0]
            if accepts(item):
                self._virtual_time = max(self._virtual_time, start_tag)
                self._take_head(customer, line, item)
                return item
        return None

    def remove(self, item_id):
        """Remove an item wherever it stands; return it, or None when it is not queued."""
        item = self._known.get(item_id)
        if item is None:
            return None
        line = self._lines[item.customer]
        if line.items[0] is item:
            self._take_head(item.customer, line, item, charge=False)
        else:
            # The item stays in the deque until it comes to its head: taking it out of the middle
            # would make a wave of cancellations quadratic in the length of the queue.
            self._forget(line, item)
        return item

    def expire(self, now):
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            expired.append(self.remove(self._deadlines[0][1]))
        return expired

    def items(self):
        """Return all items, in no particular order."""
        return list(self._known.values())

    def clear(self):
        """Remove and return all items."""
        items = self.items()
        self.__init__()
        return items

    def _take_head(self, customer, line, item, *, charge=True):
        self._order.remove((line.start_tag, customer))
        self._forget(line, item)
        if charge:
            line.finish_tag = line.start_tag + item.cost / item.weight
        while line.items and self._known.get(line.items[0].item_id) is not line.items[0]:
            line.items.popleft()
        if line.items:
            line.start_tag = max(self._virtual_time, line.finish_tag)
            self._order.add((line.start_tag, customer))
        elif line.finish_tag <= self._virtual_time:
            del self._lines[customer]

    def _forget(self, line, item):
        line.n_live -= 1
        del self._known[item.item_id]
        self._deadlines.remove((item.deadline, item.item_id))
