"""Choice of the workers that a request of a waiting step names."""

from msgspec import Struct

#: Share of a request's fixed duration that further names may add beyond those that the step needs.
#: They are cheap then, and save a second request, whose fixed duration is added as a whole.
EXTRA_SHARE = 0.25

#: Upper bound of the number of cheap names, for services whose duration does not depend on it.
MAX_CHEAP_NAMES = 100

#: Weight of a worker that has been asked about before and allowed: it will be allowed again.
KNOWN_SHARE = 1.0


class RequestTiming(Struct, kw_only=True, frozen=True):
    """Expected timing of a queue's requests; unit: seconds.

    Parameters
    ----------
    base_s, per_worker_s : float
        Duration of a request: `base_s` plus `per_worker_s` for each worker named.
    valid_s : float
        Time for which a ticket is valid.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    @property
    def n_cheap_names(self):
        """Number of names that add :data:`EXTRA_SHARE` to the fixed duration."""
        if self.per_worker_s <= 0:
            return MAX_CHEAP_NAMES
        return min(MAX_CHEAP_NAMES, int(EXTRA_SHARE * self.base_s / self.per_worker_s))

    def duration_s(self, n_workers):
        """Return the expected duration of a request that names `n_workers`."""
        return self.base_s + self.per_worker_s * n_workers


class Candidate(Struct, kw_only=True, frozen=True):
    """A worker that a request may name.

    Parameters
    ----------
    worker_id : str
    is_known : bool
        Whether the worker was allowed for the step before, so that only its ticket is missing.
    room_in_s : float
        Estimated time until a task of the step fits there, 0 if one fits now. Unit: seconds.
    is_preferred : bool
        Whether the worker is healthy and near the step's data.
    """

    worker_id: str
    is_known: bool
    room_in_s: float
    is_preferred: bool = True


def choose_names(candidates, *, timing, n_needed, allowed_share, limit):
    """Return the candidates to name, in order; at most `limit`.

    Workers that have room before a ticket for them would expire come first, of these the preferred
    ones, then those known to be allowed, then those with room soonest. Names are added until the
    step is expected to get the places it needs, and beyond that while they add less than
    :data:`EXTRA_SHARE` to the duration of the request. Workers without room in time are named only
    if there are no others.

    Parameters
    ----------
    candidates : list of Candidate
        Those of equal rank are named in the given order.
    timing : RequestTiming
    n_needed : float
        Task places that the request should find.
    allowed_share : float
        Expected share of the unknown workers that are allowed.
    limit : int
    """
    horizon_s = timing.duration_s(limit) + timing.valid_s
    in_time = [each for each in candidates if each.room_in_s <= horizon_s]
    ranked = sorted(
        in_time or candidates,
        key=lambda each: (not each.is_preferred, not each.is_known, each.room_in_s),
    )
    chosen = []
    expected = 0.0
    for candidate in ranked[:limit]:
        if expected >= n_needed and len(chosen) >= timing.n_cheap_names:
            break
        chosen.append(candidate)
        expected += KNOWN_SHARE if candidate.is_known else allowed_share
    return chosen
