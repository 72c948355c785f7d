"""Thresholds and switches of the scheduler's decisions, as operators may set them."""

from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
CapacityShare = Annotated[float, Meta(ge=0.0, le=2.0)]
Factor = Annotated[float, Meta(ge=1.0, le=1000.0)]
Seconds = Annotated[float, Meta(ge=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=0, le=10_000)]


class SchedulingPolicy(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What the scheduler prefers; nothing here can break what it promises.

    Parameters
    ----------
    reserve_share : float, default=0.1
        Share of a worker's processor that is left to the most urgent queue of its service. Its
        tasks otherwise find every worker full of long ones and wait 0.2 to 0.9 s for the next end;
        a share is about one of its tasks on a worker. 0: none.
    max_reserved : int, default=6
        Workers that one step keeps free at once at the most. More would empty a small cell for one
        job. 0: none are kept.
    preempt_s : float or None, default=1.2
        Wait for room after which less urgent runs are stopped for it, when they can resume from a
        checkpoint. A stop takes up to 0.9 s, loses up to 0.5 s of the run's work and 0.6 s for its
        return: shorter waits are left alone. None: nothing is stopped. Unit: seconds.
    backfills : bool, default=True
        Whether less urgent tasks may use a worker that is kept free, where they leave the room that
        it is kept for, or end before that room is there.
    judges_runs : bool, default=True
        Whether runs that stand still or crawl are given up for others.
    avoids_slow : bool, default=True
        Whether workers on which tasks took several times their estimates come last.
    slow_times : float, default=3.0
        Times that sound workers take for a task after which a run is slow. Workers are 1.25 times
        as fast or as slow as the mean, and tasks of a step differ by a half: at 2.2 times, 35 runs
        were stopped in a day without slow workers, at three times 9. Sick ones take four to eight
        times as long.
    copies : bool, default=True
        Whether a second run is started beside one that is given up, where the step allows it.
    asks_ahead : bool, default=True
        Whether advice is asked for before the tasks of a step can start.
    ask_ahead_s : float, default=0.35
        How much before, beyond the ask's own length: estimates of the running step are off by a
        fifth and more. Unit: seconds.
    asks_by_need : bool, default=True
        Whether advice is asked about as many workers as the tasks without a place need, those with
        room first; else about the first hundred.
    ask_times, ask_more : float, default=1.5 and 3
        Places that are asked for: so many times the tasks without one, and so many more. A second
        ask takes as long as one about 70 further workers, so that a few too many are cheap.
    long_ask_share : float, default=0.6
        Share of the instances that may be busy with long asks at once. After a take-over and in
        bursts of heavy jobs all were, and quick tasks waited 0.8 to 1.6 s for an answer of 0.05 s.
        2: no limit, as an instance carries two asks at the most.

    Notes
    -----
    A setting that is not known or out of its bounds is refused as a whole.

    Examples
    --------
    >>> SchedulingPolicy(max_reserved=2).max_reserved
    2
    """

    reserve_share: Share = 0.1
    max_reserved: Count = 6
    preempt_s: Seconds | None = 1.2
    backfills: bool = True
    judges_runs: bool = True
    avoids_slow: bool = True
    slow_times: Factor = 3.0
    copies: bool = True
    asks_ahead: bool = True
    ask_ahead_s: Seconds = 0.35
    asks_by_need: bool = True
    ask_times: Factor = 1.5
    ask_more: Count = 3
    long_ask_share: CapacityShare = 0.6
