"""Accounting of the capacity of workers, indexed so that no decision scans all workers.

The amounts are exact. The index keeps, for each resource and each level of free amount, a bit set
of the workers that have at least that much free. Python integers serve as bit sets: the workers
that may fit given needs are the intersection of at most four bit sets, whatever the number of
workers.
"""

from ..resources import RESOURCE_NAMES

#: Step between two levels of free amount in the index, per resource. Each candidate that the index
#: returns is then checked exactly.
_STEPS = {"cpu_milli": 250, "memory_mb": 256, "accelerators": 1, "slots": 1}

#: Highest level per resource; larger free amounts count as this level.
_MAX_LEVEL = 512

#: Maximum number of candidates that a search checks exactly. Only a candidate whose free amount is
#: on the same level as the need can fail the check, so a search rarely checks more than a few.
_MAX_CHECKS = 64


class WorkerAllocation:
    """Capacity of one worker and the items that take parts of it.

    An item is a service request, a task, or a hold: a place reserved for one attempt of a task.

    Parameters
    ----------
    worker : str
    capacity : Amounts
    rack, failure_domain : str

    Attributes
    ----------
    position : int
        Position of the worker's bit in the bit sets of the index.
    bit : int
        Bit set that contains only this worker.
    taken : dict of str to (list of int, bool)
        Amounts that each item takes, and whether the item is a task or hold.
    free : list of int
        Amounts free for service requests, in the order of ``RESOURCE_NAMES``, like the next three.
    task_capacity : list of int
        Amounts that tasks may take in total.
    task_free : list of int
        Amounts free for tasks.
    task_used : list of int
        Amounts taken by tasks and holds.
    """

    __slots__ = (
        "bit",
        "capacity",
        "failure_domain",
        "free",
        "position",
        "rack",
        "taken",
        "task_capacity",
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
        self.task_capacity = list(self.free)
        self.task_free = list(self.free)
        self.task_used = [0] * len(RESOURCE_NAMES)


class _LevelIndex:
    """Bit sets of workers by level of free amount, one list of levels per resource."""

    __slots__ = ("_at_least",)

    def __init__(self):
        self._at_least = [[0] for _ in RESOURCE_NAMES]

    def update(self, bit, old, new):
        """Record that the free amounts of worker `bit` change from `old` to `new`."""
        for number in _NUMBERS:
            before, after = old[number], new[number]
            if before == after:
                continue
            step = _STEP_SIZES[number]
            before = before // step if before > 0 else 0
            after = after // step if after > 0 else 0
            if before != after:
                self._set_levels(number, bit, min(before, _MAX_LEVEL), min(after, _MAX_LEVEL))

    def candidates(self, need):
        """Return the bit set of workers that may fit `need`, to be checked exactly."""
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
        """Yield the bits of `candidates` one by one, least free processor time first."""
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
        """Return the lowest level of any candidate, by bisection.

        Each level's bit set is a subset of the one below, so whether all candidates are above a
        level changes only once. A linear scan of the levels took most of the time of a decision.
        """
        while low < high:
            middle = (low + high) // 2
            if candidates & levels[middle + 1] != candidates:
                high = middle
            else:
                low = middle + 1
        return low

    def _set_levels(self, number, bit, before, after):
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


def _add(amounts, others):
    """Return the sums; unrolled for speed, since each decision calls this several times."""
    a, b, c, d = amounts
    p, q, r, s = others
    return [a + p, b + q, c + r, d + s]


def _subtract(amounts, others):
    a, b, c, d = amounts
    p, q, r, s = others
    return [a - p, b - q, c - r, d - s]


def _covers(have, need):
    """Whether each amount of `have` is at least that of `need`."""
    a, b, c, d = have
    p, q, r, s = need
    return a >= p and b >= q and c >= r and d >= s


class AllocationIndex:
    """The allocations of all workers of one owner, indexed by free amounts.

    Parameters
    ----------
    reserve : float, default=0.25
        Share of each worker that is reserved for service requests: tasks leave it free.

    Notes
    -----
    ``free`` is the amount that service requests may take. ``task_free`` is the amount that tasks
    may take: the capacity less the reserve less what tasks use, and never more than ``free``.
    Accelerators are not reserved. Both amounts are indexed, so that a search for a task does not
    visit workers whose task share is used up.
    """

    __slots__ = (
        "_allocations",
        "_by_bit",
        "_fit_cache",
        "_index",
        "_open_bits",
        "_task_index",
        "_without_accelerators",
        "reserve",
    )

    def __init__(self, *, reserve=0.25):
        self.reserve = reserve
        self._allocations = {}
        self._by_bit = {}
        self._fit_cache = {}
        self._open_bits = 0
        self._without_accelerators = 0
        self._index = _LevelIndex()
        self._task_index = _LevelIndex()

    def __contains__(self, worker):
        return worker in self._allocations

    def __len__(self):
        return len(self._allocations)

    def __iter__(self):
        return iter(self._allocations.values())

    def get(self, worker):
        """Return the allocation of the worker, or None."""
        return self._allocations.get(worker)

    def add(self, allocation):
        """Add a worker and open it for placement."""
        position = 0
        while 1 << position in self._by_bit:
            position += 1
        allocation.position = position
        allocation.bit = 1 << position
        self._allocations[allocation.worker] = allocation
        self._by_bit[allocation.bit] = allocation
        self._open_bits |= allocation.bit
        if not allocation.capacity.accelerators:
            self._without_accelerators |= allocation.bit
        zeros = [0] * len(RESOURCE_NAMES)
        self._index.update(allocation.bit, zeros, allocation.free)
        allocation.task_capacity = self._usable_capacity(allocation, True)
        allocation.task_free = self._free_for_tasks(allocation)
        self._task_index.update(allocation.bit, zeros, allocation.task_free)
        self._fit_cache.clear()

    def remove(self, worker):
        """Remove a worker; return its allocation, or None if it is unknown."""
        allocation = self._allocations.pop(worker, None)
        if allocation is None:
            return None
        zeros = [0] * len(RESOURCE_NAMES)
        self._index.update(allocation.bit, allocation.free, zeros)
        self._task_index.update(allocation.bit, allocation.task_free, zeros)
        del self._by_bit[allocation.bit]
        self._open_bits &= ~allocation.bit
        self._without_accelerators &= ~allocation.bit
        self._fit_cache.clear()
        return allocation

    def close(self, worker):
        """Exclude a worker from placement; its running work stays accounted for."""
        allocation = self._allocations.get(worker)
        if allocation is not None:
            self._open_bits &= ~allocation.bit
            self._fit_cache.clear()

    def reopen(self, worker):
        """Include a closed worker in placement again."""
        allocation = self._allocations.get(worker)
        if allocation is not None:
            self._open_bits |= allocation.bit
            self._fit_cache.clear()

    def is_closed(self, worker):
        """Whether the worker is closed for placement or unknown."""
        allocation = self._allocations.get(worker)
        return allocation is None or not allocation.bit & self._open_bits

    def set_reserve(self, reserve):
        """Set the share reserved for service requests; running tasks are not affected."""
        self.reserve = reserve
        self._fit_cache.clear()
        for allocation in self._allocations.values():
            allocation.task_capacity = self._usable_capacity(allocation, True)
            self._reindex(allocation, allocation.free)

    def best_fit(self, needs, *, task):
        """Return a worker that fits `needs`, with the least free processor time, or None.

        Work that needs no accelerators is placed on workers without accelerators as long as one
        fits, so that accelerators stay free for work that needs them.
        """
        need = as_list(needs)
        index = self._task_index if task else self._index
        candidates = index.candidates(need) & self._open_bits
        if not candidates:
            return None
        if not need[_ACCELERATORS] and candidates & self._without_accelerators:
            found = self._search(index, candidates & self._without_accelerators, need, task)
            if found is not None:
                return found
            candidates &= ~self._without_accelerators
        return self._search(index, candidates, need, task)

    def take(self, worker, item_id, needs, *, task):
        """Account for `needs` of the item on the worker, whether or not they fit.

        Work that a new owner finds running is accounted for even if it exceeds the worker's task
        share. If it were left out, more work would be placed on top of it.
        """
        allocation = self._allocations[worker]
        if item_id in allocation.taken:
            return
        need = as_list(needs)
        allocation.taken[item_id] = (need, task)
        if task:
            allocation.task_used = _add(allocation.task_used, need)
        self._reindex(allocation, _subtract(allocation.free, need))

    def release(self, worker, item_id):
        """Free the amounts that the item takes; return whether the item was known."""
        allocation = self._allocations.get(worker)
        if allocation is None:
            return False
        taken = allocation.taken.pop(item_id, None)
        if taken is None:
            return False
        need, task = taken
        if task:
            allocation.task_used = _subtract(allocation.task_used, need)
        self._reindex(allocation, _add(allocation.free, need))
        return True

    def ever_fits(self, needs, *, task):
        """Whether `needs` would fit some open worker if that worker were empty.

        The result is cached until the workers or the reserve change.
        """
        fits = self._fit_cache.get((needs, task))
        if fits is None:
            need = as_list(needs)
            fits = any(
                _covers(self._usable_capacity(allocation, task), need)
                for allocation in self.open_allocations()
            )
            self._fit_cache[needs, task] = fits
        return fits

    def open_allocations(self):
        """Return the allocations of the workers that are open for placement."""
        return [
            allocation
            for allocation in self._allocations.values()
            if allocation.bit & self._open_bits
        ]

    def total(self, name):
        """Return the capacity of resource `name` over all workers."""
        return sum(getattr(allocation.capacity, name) for allocation in self._allocations.values())

    def total_free(self, name, *, task):
        """Return the free amount of resource `name` over all open workers."""
        number = RESOURCE_NAMES.index(name)
        return sum(
            max(0, (allocation.task_free if task else allocation.free)[number])
            for allocation in self.open_allocations()
        )

    def _usable_capacity(self, allocation, task):
        amounts = as_list(allocation.capacity)
        if not task:
            return amounts
        return [
            amount if number == _ACCELERATORS else int(amount * (1 - self.reserve))
            for number, amount in enumerate(amounts)
        ]

    def _free_for_tasks(self, allocation):
        a, b, c, d = _subtract(allocation.task_capacity, allocation.task_used)
        p, q, r, s = allocation.free
        return [
            a if a < p else p,
            b if b < q else q,
            c if c < r else r,
            d if d < s else s,
        ]

    def _reindex(self, allocation, free):
        self._index.update(allocation.bit, allocation.free, free)
        allocation.free = free
        task_free = self._free_for_tasks(allocation)
        self._task_index.update(allocation.bit, allocation.task_free, task_free)
        allocation.task_free = task_free

    def _search(self, index, candidates, need, task):
        start = need[_CPU] // _STEP_SIZES[_CPU]
        for checks, bit in enumerate(index.fullest(candidates, start)):
            if checks >= _MAX_CHECKS:
                return None
            allocation = self._by_bit[bit]
            have = allocation.task_free if task else allocation.free
            if _covers(have, need):
                return allocation.worker
        return None
