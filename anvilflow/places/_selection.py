"""Choice of the workers on which places for urgent tasks stay free."""

from collections import Counter
from zlib import crc32

from ._shape import Shape

#: Maximum number of places on one worker. An advice request counts no more on one worker, and with
#: fewer workers a step may be allowed on too few of them.
MAX_PLACES_PER_WORKER = 2

#: Share of the workers of one capacity that may keep places: each less urgent task that fits on one
#: of them fits on another one, too.
MAX_WORKER_SHARE = 0.5


def select_workers(infos, *, n_places, place, max_share):
    """Return by worker the number of places that stay free there.

    The choice is stable: with another number of places it grows or shrinks, and a worker that
    registers or leaves changes few others. It is spread over the failure domains.

    Parameters
    ----------
    infos : sequence of WorkerInfo
        Workers of one service that take tasks.
    n_places : int
    place : Shape
    max_share : float
        Largest share of the capacity of these workers that the places may occupy together.
    """
    if n_places <= 0 or place.is_empty:
        return {}
    left = _limit(infos, max_share)
    n_of_capacity = Counter(_capacity(info) for info in infos)
    n_kept = Counter()
    chosen = {}
    for info in _in_spread_order(infos):
        capacity = _capacity(info)
        if n_kept[capacity] + 1 > MAX_WORKER_SHARE * n_of_capacity[capacity]:
            continue
        n = min(
            n_places,
            MAX_PLACES_PER_WORKER,
            Shape.of_worker(info).n_times(place),
            left.n_times(place),
        )
        if n <= 0:
            continue
        n_kept[capacity] += 1
        chosen[info.worker_id] = n
        left = left.minus(place.times(n))
        n_places -= n
        if n_places <= 0:
            break
    return chosen


def _limit(infos, share):
    total = Shape()
    for info in infos:
        total = total.plus(Shape.of_worker(info))
    return Shape(
        int(share * total.cpu_milli), int(share * total.memory_mb), int(share * total.accelerators)
    )


def _capacity(info):
    return info.kind, Shape.of_worker(info)


def _in_spread_order(infos):
    """Return the workers in a fixed order that alternates between the failure domains."""
    domains = {}
    for info in infos:
        domains.setdefault(info.failure_domain, []).append(info)
    keyed = []
    for domain, members in domains.items():
        members.sort(key=lambda info: (crc32(info.worker_id.encode()), info.worker_id))
        keyed += [(number, domain, info) for number, info in enumerate(members)]
    keyed.sort(key=lambda item: item[:2])
    return [info for _, _, info in keyed]
