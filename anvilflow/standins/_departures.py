"""A worker that shuts down gracefully in a cell in virtual time."""

from msgspec import Struct


class Departure(Struct, kw_only=True, frozen=True):
    """Times of a worker's departure, counted from its announcement. Unit: seconds.

    Parameters
    ----------
    remaining_s : float
        Time that the worker announces as left.
    closes_after_s : float
        Its listening socket closes; connections that are open are served on, and runs go on.
    unlisted_after_s : float
        Its registry entry is removed.
    ends_after_s : float
        Its process ends, with all that still runs there; its connections are reset.
    replaced_after_s : float or None
        A worker with another id starts at the same address, possibly before the process has ended.
    """

    remaining_s: float
    closes_after_s: float
    unlisted_after_s: float
    ends_after_s: float
    replaced_after_s: float | None


def draw_departure(random_state):
    """Return a random departure: the entry is removed before, at or after the socket's close."""
    draw = random_state.uniform
    remaining_s = draw(0.1, 2.0)
    closes_after_s = remaining_s + random_state.choice([0.0, draw(0.0, 0.5)])
    ends_after_s = closes_after_s + random_state.choice([0.0, draw(0.0, 1.5), draw(1.0, 5.0)])
    unlisted_after_s = random_state.choice(
        [draw(0.0, closes_after_s), closes_after_s, draw(closes_after_s, ends_after_s + 0.5)]
    )
    replaced_after_s = closes_after_s + draw(0.0, 2.0) if random_state.random() < 0.5 else None
    return Departure(
        remaining_s=remaining_s,
        closes_after_s=closes_after_s,
        unlisted_after_s=unlisted_after_s,
        ends_after_s=ends_after_s,
        replaced_after_s=replaced_after_s,
    )


class LeavingWorker:
    """Plays the departure of one incarnation of a worker, unless it ends earlier.

    Parameters
    ----------
    cell : PlatformCell
    worker_id : str
    departure : Departure
    """

    __slots__ = ("_cell", "_worker", "is_listed")

    def __init__(self, *, cell, worker_id, departure):
        self._cell = cell
        self._worker = cell.workers[worker_id]
        self.is_listed = True
        cell.drain_worker(worker_id, departure.remaining_s)
        for after_s, act in (
            (departure.closes_after_s, self._close),
            (departure.unlisted_after_s, self._remove_entry),
            (departure.replaced_after_s, self._replace),
            (departure.ends_after_s, self._end),
        ):
            if after_s is not None:
                cell.clock.callLater(after_s, self._act, act)

    def _act(self, act):
        worker = self._worker
        is_ended = not worker.alive and act == self._end
        if not is_ended and self._cell.workers[worker.worker_id] is worker:
            act(worker.worker_id)

    def _close(self, worker_id):
        if self._worker.alive:
            self._cell.stop_listening(worker_id)

    def _remove_entry(self, worker_id):
        self.is_listed = False
        self._cell.store.remove("servers", worker_id)

    def _replace(self, worker_id):
        worker = self._worker
        successor_id = f"{worker_id}.next"
        self._cell.add_worker(successor_id, worker.address, cpu=worker.cpu, rack=worker.rack)

    def _end(self, worker_id):
        self._cell.end_leaving_worker(worker_id)
