"""Exact accounting of workers, indexed so that no decision scans all of them.

The index keeps, for each resource and each level of free amount, a bit set of the workers that
have at least that much free. Python's integers serve as bit sets: the workers that may hold a
need are the intersection of four of them, whatever the number of workers.
"""

from ..resources import RESOURCE_NAMES

#: Free amounts are indexed in steps of this size; the exact check follows for each candidate.
_STEPS = {"cpu_milli": 250, "memory_mb": 256, "accelerators": 1, "slots": 1}

#: Levels per resource; all above the last count as the last.
_MAX_LEVEL = 512

#: Candidates that are checked exactly before the search gives up. Only those whose free amount
#: shares the need's level can fail, so few are ever seen.
_MAX_CHECKS = 64


class WorkerAllocation:
    """What one worker has, what is taken and by whom.

    Parameters
    ----------
    worker : str
    capacity : Amounts
    rack, failure_domain : str
    """

    __slots__ = (
        "bit",
        "capacity",
        "failure_domain",
        "free",
        "position",
        "rack",
        "taken",
        "task_bounds",
        "task_free",
        "task_used",
        "worker",
    )

    def __init__(self, *, worker, capacity, rack="", failure_domain=""):
        self.worker = worker
        self.capacity = capacity
        self.rack = rack
        self.failure_domain = failure_domain
        self.position = 0
        self.bit = 0
        self.taken = {}
        self.free = [getattr(capacity, name) for name in RESOURCE_NAMES]
        self.task_bounds = list(self.free)
        self.task_free = list(self.free)
        self.task_used = [0] * len(RESOURCE_NAMES)


class _LevelIndex:
    """Bit sets of workers by free amount of each resource."""

    __slots__ = ("_at_least",)

    def __init__(self):
        self._at_least = [[0] for _ in RESOURCE_NAMES]

    def move(self, bit, old, new):
        """Note that the worker `bit` has `new` free where it had `old`."""
        for number in _NUMBERS:
            before, after = old[number], new[number]
            if before == after:
                continue
            step = _STEP_SIZES[number]
            before = before // step if before > 0 else 0
            after = after // step if after > 0 else 0
            if before != after:
                self._shift(number, bit, min(before, _MAX_LEVEL), min(after, _MAX_LEVEL))

    def candidates(self, need):
        """Return the bit set of workers that may hold `need`."""
        found = -1
        for number in _NUMBERS:
            level = need[number] // _STEP_SIZES[number]
            if not level:
                continue
            levels = self._at_least[number]
            if level >= len(levels):
                return 0
            found &= levels[level]
        return found

    def fullest(self, candidates, start):
        """Yield single bits of `candidates`, those with the least free processor time first."""
        levels = self._at_least[0]
        last = len(levels) - 1
        level = min(start, last)
        while candidates:
            level = self._first_level(levels, candidates, level, last)
            above = candidates & levels[level + 1] if level < last else 0
            here = candidates ^ above
            candidates = above
            while here:
                lowest = here & -here
                yield lowest
                here ^= lowest
            level += 1

    @staticmethod
    def _first_level(levels, candidates, low, high):
        """Return the lowest level at which a candidate stands, by bisection.

        The sets shrink from level to level, so whether all candidates are still above a level
        changes once. Walking the levels one by one was most of a decision's time.
        """
        while low < high:
            middle = (low + high) // 2
            if candidates & levels[middle + 1] != candidates:
                high = middle
            else:
                low = middle + 1
        return low

    def _shift(self, number, bit, before, after):
        levels = self._at_least[number]
        while len(levels) <= max(before, after):
            levels.append(0)
        if after > before:
            for level in range(before + 1, after + 1):
                levels[level] |= bit
        else:
            for level in range(after + 1, before + 1):
                levels[level] &= ~bit


_NUMBERS = range(len(RESOURCE_NAMES))
_STEP_SIZES = [_STEPS[name] for name in RESOURCE_NAMES]
_CPU = RESOURCE_NAMES.index("cpu_milli")
_ACCELERATORS = RESOURCE_NAMES.index("accelerators")
_SLOTS = RESOURCE_NAMES.index("slots")


def as_list(amounts):
    """Return the amounts in the order of ``RESOURCE_NAMES``."""
    return [amounts.cpu_milli, amounts.memory_mb, amounts.accelerators, amounts.slots]


def _plus(amounts, others):
    """Return the sums; written out, since this runs several times in each decision."""
    a, b, c, d = amounts
    p, q, r, s = others
    return [a + p, b + q, c + r, d + s]


def _minus(amounts, others):
    a, b, c, d = amounts
    p, q, r, s = others
    return [a - p, b - q, c - r, d - s]


def _holds(have, need):
    """Whether each amount of `have` is at least that of `need`."""
    a, b, c, d = have
    p, q, r, s = need
    return a >= p and b >= q and c >= r and d >= s


class AllocationIndex:
    """The workers of one owner.

    Parameters
    ----------
    reserve : float, default=0.25
        Share of each worker that tasks leave free for service requests.

    Notes
    -----
    ``free`` is what a service request may take, ``task_free`` what a task may take: the capacity
    less the reserve less what tasks have, and never more than ``free``. Both are indexed, so that
    a worker whose task share is used up costs a task's decision nothing.
    """

    __slots__ = (
        "_allocations",
        "_by_bit",
        "_fitting",
        "_index",
        "_live",
        "_plain",
        "_task_index",
        "reserve",
    )

    def __init__(self, *, reserve=0.25):
        self.reserve = reserve
        self._allocations = {}
        self._by_bit = {}
        self._fitting = {}
        self._live = 0
        self._plain = 0
        self._index = _LevelIndex()
        self._task_index = _LevelIndex()

    def __contains__(self, worker):
        return worker in self._allocations

    def __len__(self):
        return len(self._allocations)

    def __iter__(self):
        return iter(self._allocations.values())

    def get(self, worker):
        """Return the worker's room or None."""
        return self._allocations.get(worker)

    def add(self, allocation):
        """Start to place work on a worker."""
        position = 0
        while 1 << position in self._by_bit:
            position += 1
        allocation.position = position
        allocation.bit = 1 << position
        self._allocations[allocation.worker] = allocation
        self._by_bit[allocation.bit] = allocation
        self._live |= allocation.bit
        if not allocation.capacity.accelerators:
            self._plain |= allocation.bit
        nothing = [0] * len(RESOURCE_NAMES)
        self._index.move(allocation.bit, nothing, allocation.free)
        allocation.task_bounds = self._bounds(allocation, True)
        allocation.task_free = self._task_room(allocation)
        self._task_index.move(allocation.bit, nothing, allocation.task_free)
        self._fitting.clear()

    def remove(self, worker):
        """Forget a worker; return its room or None."""
        allocation = self._allocations.pop(worker, None)
        if allocation is None:
            return None
        nothing = [0] * len(RESOURCE_NAMES)
        self._index.move(allocation.bit, allocation.free, nothing)
        self._task_index.move(allocation.bit, allocation.task_free, nothing)
        del self._by_bit[allocation.bit]
        self._live &= ~allocation.bit
        self._plain &= ~allocation.bit
        self._fitting.clear()
        return allocation

    def close(self, worker):
        """Find no place on a worker any more; what it runs stays accounted."""
        allocation = self._allocations.get(worker)
        if allocation is not None:
            self._live &= ~allocation.bit
            self._fitting.clear()

    def reopen(self, worker):
        """Find places on a worker again."""
        allocation = self._allocations.get(worker)
        if allocation is not None:
            self._live |= allocation.bit
            self._fitting.clear()

    def is_closed(self, worker):
        """Whether no place is found on the worker."""
        allocation = self._allocations.get(worker)
        return allocation is None or not allocation.bit & self._live

    def set_reserve(self, reserve):
        """Change the share that tasks leave free; what already runs stays."""
        self.reserve = reserve
        self._fitting.clear()
        for allocation in self._allocations.values():
            allocation.task_bounds = self._bounds(allocation, True)
            self._reindex(allocation, allocation.free)

    def best_fit(self, needs, *, task):
        """Return the fullest worker that holds `needs`, or None.

        A need without accelerators goes to workers without any while one fits, so that
        accelerators stay free for work that needs them.
        """
        need = as_list(needs)
        index = self._task_index if task else self._index
        candidates = index.candidates(need) & self._live
        if not candidates:
            return None
        if not need[_ACCELERATORS] and candidates & self._plain:
            found = self._search(index, candidates & self._plain, need, task)
            if found is not None:
                return found
            candidates &= ~self._plain
        return self._search(index, candidates, need, task)

    def take(self, worker, item_id, needs, *, task):
        """Account `needs` for the item on the worker, whether or not it fits.

        Work that a new owner finds running is accounted even when it leaves the worker over its
        task share: it is there, and leaving it out would let more be placed on top.
        """
        allocation = self._allocations[worker]
        if item_id in allocation.taken:
            return
        need = as_list(needs)
        allocation.taken[item_id] = (need, task)
        if task:
            allocation.task_used = _plus(allocation.task_used, need)
        self._reindex(allocation, _minus(allocation.free, need))

    def release(self, worker, item_id):
        """Give back what the item took; return whether it had anything."""
        allocation = self._allocations.get(worker)
        if allocation is None:
            return False
        taken = allocation.taken.pop(item_id, None)
        if taken is None:
            return False
        need, task = taken
        if task:
            allocation.task_used = _minus(allocation.task_used, need)
        self._reindex(allocation, _plus(allocation.free, need))
        return True

    def ever_fits(self, needs, *, task):
        """Whether an open worker would hold `needs` if it were empty.

        Remembered until the workers change.
        """
        known = self._fitting.get((needs, task))
        if known is None:
            need = as_list(needs)
            known = any(
                _holds(self._bounds(allocation, task), need)
                for allocation in self.open_allocations()
            )
            self._fitting[needs, task] = known
        return known

    def open_allocations(self):
        """Return the rooms on which places are found."""
        return [
            allocation for allocation in self._allocations.values() if allocation.bit & self._live
        ]

    def total(self, name):
        """Return the capacity of resource `name` over all workers."""
        return sum(getattr(allocation.capacity, name) for allocation in self._allocations.values())

    def total_free(self, name, *, task):
        """Return the free amount of resource `name` over the workers that are open."""
        number = RESOURCE_NAMES.index(name)
        return sum(
            max(0, (allocation.task_free if task else allocation.free)[number])
            for allocation in self.open_allocations()
        )

    def _bounds(self, allocation, task):
        whole = as_list(allocation.capacity)
        if not task:
            return whole
        return [
            amount if number == _ACCELERATORS else int(amount * (1 - self.reserve))
            for number, amount in enumerate(whole)
        ]

    def _task_room(self, allocation):
        a, b, c, d = _minus(allocation.task_bounds, allocation.task_used)
        p, q, r, s = allocation.free
        return [
            a if a < p else p,
            b if b < q else q,
            c if c < r else r,
            d if d < s else s,
        ]

    def _reindex(self, allocation, free):
        self._index.move(allocation.bit, allocation.free, free)
        allocation.free = free
        task_free = self._task_room(allocation)
        self._task_index.move(allocation.bit, allocation.task_free, task_free)
        allocation.task_free = task_free

    def _search(self, index, candidates, need, task):
        start = need[_CPU] // _STEP_SIZES[_CPU]
        for checks, bit in enumerate(index.fullest(candidates, start)):
            if checks >= _MAX_CHECKS:
                return None
            allocation = self._by_bit[bit]
            have = allocation.task_free if task else allocation.free
            if _holds(have, need):
                return allocation.worker
        return None
