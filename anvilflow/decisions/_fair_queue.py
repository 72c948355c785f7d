"""Weighted fair queueing over customers.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each item gets a start tag, the
larger of the queue's virtual time and the finish tag of the customer's previous item. The item
with the smallest start tag goes first. A customer that was idle starts at the current virtual
time, so its first item waits for at most one item of each other customer, however long their
queues are.
"""

from collections import deque

from msgspec import Struct
from sortedcontainers import SortedList


class QueuedItem(Struct, kw_only=True):
    """An item in the queue.

    Parameters
    ----------
    item_id : str
    customer : str
    cost : float
        Amount that the item uses of the shared capacity, in the same unit for all items.
    weight : int
        The customer's weight: its share is proportional to it.
    deadline : float
        Time after which ``FairQueue.expire`` removes the item. Unit: seconds.
    value : object
        Object of the caller; the queue does not use it.
    """

    item_id: str
    customer: str
    cost: float
    weight: int
    deadline: float
    value: object


class _CustomerQueue:
    """The items of one customer.

    ``items`` may still contain removed items behind its head; ``n_items`` does not count them.
    """

    __slots__ = ("finish_tag", "items", "n_items", "start_tag")

    def __init__(self):
        self.items = deque()
        self.n_items = 0
        self.start_tag = 0.0
        self.finish_tag = 0.0


class FairQueue:
    """Queue of the items of many customers, in weighted fair order.

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

    __slots__ = ("_by_start_tag", "_customer_queues", "_deadlines", "_items_by_id", "_virtual_time")

    def __init__(self):
        self._customer_queues = {}
        self._by_start_tag = SortedList()
        self._items_by_id = {}
        self._deadlines = SortedList()
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._items_by_id)

    def __contains__(self, item_id):
        return item_id in self._items_by_id

    def length_of(self, customer):
        """Return the number of queued items of the customer."""
        queue = self._customer_queues.get(customer)
        return queue.n_items if queue else 0

    def push(self, item):
        """Add an item, unless an item with the same identifier is already queued."""
        if item.item_id in self._items_by_id:
            return
        queue = self._customer_queues.setdefault(item.customer, _CustomerQueue())
        if not queue.items:
            queue.start_tag = max(self._virtual_time, queue.finish_tag)
            self._by_start_tag.add((queue.start_tag, item.customer))
        queue.items.append(item)
        queue.n_items += 1
        self._items_by_id[item.item_id] = item
        self._deadlines.add((item.deadline, item.item_id))

    def pop_first(self, accepts):
        """Remove and return the first item in fair order that `accepts` returns true for, or None.

        Only the head item of each customer is considered. A customer whose head item is not
        accepted is skipped and keeps its place in the order.
        """
        for start_tag, customer in self._by_start_tag:
            queue = self._customer_queues[customer]
            item = queue.items[0]
            if accepts(item):
                self._virtual_time = max(self._virtual_time, start_tag)
                self._take_head(customer, queue, item)
                return item
        return None

    def remove(self, item_id):
        """Remove an item at any position; return it, or None if it is not queued."""
        item = self._items_by_id.get(item_id)
        if item is None:
            return None
        queue = self._customer_queues[item.customer]
        if queue.items[0] is item:
            self._take_head(item.customer, queue, item, charge=False)
        else:
            # The item stays in the deque until it reaches the head. Removing it from the middle
            # would make many cancellations at once quadratic in the length of the queue.
            self._drop(queue, item)
        return item

    def expire(self, now):
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            expired.append(self.remove(self._deadlines[0][1]))
        return expired

    def items(self):
        """Return all items, in no particular order."""
        return list(self._items_by_id.values())

    def clear(self):
        """Remove and return all items."""
        items = self.items()
        self.__init__()
        return items

    def _take_head(self, customer, queue, item, *, charge=True):
        self._by_start_tag.remove((queue.start_tag, customer))
        self._drop(queue, item)
        if charge:
            queue.finish_tag = queue.start_tag + item.cost / item.weight
        while queue.items and self._items_by_id.get(queue.items[0].item_id) is not queue.items[0]:
            queue.items.popleft()
        if queue.items:
            queue.start_tag = max(self._virtual_time, queue.finish_tag)
            self._by_start_tag.add((queue.start_tag, customer))
        elif queue.finish_tag <= self._virtual_time:
            del self._customer_queues[customer]

    def _drop(self, queue, item):
        queue.n_items -= 1
        del self._items_by_id[item.item_id]
        self._deadlines.remove((item.deadline, item.item_id))
