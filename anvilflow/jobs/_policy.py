"""Scheduling policy: the thresholds and switches that operators can set."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, structs

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
CapacityShare = Annotated[float, Meta(ge=0.0, le=2.0)]
Factor = Annotated[float, Meta(ge=1.0, le=1000.0)]
Seconds = Annotated[float, Meta(ge=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=0, le=10_000)]

#: Whether a part of the scheduler is used. ``auto`` leaves it to what the deployment declares.
Switch = Literal["auto", "on", "off"]

#: Switches that ``auto`` turns on where clients may ask for more than the workers can run.
PRESSURE_SWITCHES = ("shares", "places", "tickets")


class SchedulingPolicy(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Preferences of the scheduler; no value allowed here can violate its invariants.

    Parameters
    ----------
    reserve_share : float, default=0.1
        Share of each worker's processor that is reserved for the most urgent queue of its service.
        Without a reserve, tasks of that queue find every worker occupied by long tasks and wait 0.2
        to 0.9 s until one of these ends. The default leaves space for about one such task on each
        worker. 0: no reserve.
    max_reserved : int, default=6
        Maximum number of workers reserved for one step at a time. A higher limit would empty a
        small cell for a single job. 0: no worker is reserved.
    preempt_s : float or None, default=1.2
        Less urgent runs that can resume from a checkpoint are stopped for a task that would
        otherwise wait longer than this for free capacity. A stop takes up to 0.9 s and costs up to
        0.5 s of the run's work plus 0.6 s to resume, so that preemption does not pay for shorter
        waits. With `places`, the slack of the waiting job and the measured duration of stops are
        used in its place. None: no preemption. Unit: seconds.
    backfills : bool, default=True
        Whether less urgent tasks may use a reserved worker, provided that they leave the reserved
        capacity free or end before it becomes available.
    judges_runs : bool, default=True
        Whether stalled and slow runs are replaced by new ones.
    avoids_slow : bool, default=True
        Whether workers on which tasks took several times their estimated duration are chosen last.
    slow_times : float, default=3.0
        Factor by which a run must exceed the duration of its task on healthy workers to count as
        slow. The speeds of healthy workers differ from the mean by a factor of up to 1.25, and the
        tasks of a step differ in length by a half. In a scenario without slow workers, a factor of
        2.2 stopped 35 runs, a factor of 3 stopped 9. Faulty workers take four to eight times as
        long.
    copies : bool, default=True
        Whether a second run is started beside a stalled or slow one, where the step allows it.
    asks_ahead : bool, default=True
        Whether advice is requested before the tasks of a step can start.
    ask_ahead_s : float, default=0.35
        How long before the expected end of the preceding steps advice is requested, in addition to
        the duration of the request. Estimates of the running steps are off by a fifth and more.
        Unit: seconds.
    asks_by_need : bool, default=True
        Whether an advice request names only as many workers as the unplaced tasks need, those with
        free capacity first. Otherwise, it names the first hundred workers.
    ask_times, ask_more : float, default=1.5 and 3
        Number of task places that an advice request should find: `ask_times` times the number of
        unplaced tasks, plus `ask_more`. A second request takes as long as naming 70 more
        workers in the first, so that a few too many are cheap.
    long_ask_share : float, default=0.6
        Share of the instances that may make long advice requests at the same time. Without this
        limit, all instances were busy with long requests after a take-over and during bursts of
        heavy jobs, and quick tasks waited 0.8 to 1.6 s for a request of 0.05 s. 2: no limit, as an
        instance makes at most two requests at a time.
    shares : {"auto", "on", "off"}, default="auto"
        Whether jobs of one priority are ordered by the guaranteed rates of their accounts and by
        whether they can still be in time, see `anvilflow.shares`.
    admission : {"on", "off"}, default="off"
        Whether jobs are refused that the workers cannot complete in time, see
        `anvilflow.admission`. The forecast assumes that jobs start by their target times; under
        another order, as with `shares`, it refuses some that would still be of use.
    admission_factor : float, default=3.0
        Multiple of its objective up to which the completion of a job is of use to its caller. A job
        that is expected to complete later is refused. Callers give a job up at this factor; a lower
        one refuses jobs that would still be of use.
    places : {"auto", "on", "off"}, default="auto"
        Whether capacity for urgent tasks is reserved as whole places on a few workers, see
        `anvilflow.places`; together at most `reserve_share` of the capacity. Also packs tasks by
        the fragments that they leave. Otherwise, `reserve_share` of each worker is reserved.
    tickets : {"auto", "on", "off"}, default="auto"
        Whether advice requests are planned by the demand for short ones and by where capacity will
        become free, see `anvilflow.tickets`.
    speeds : {"auto", "on", "off"}, default="auto"
        Whether the learnt speeds of workers decide where tasks run, see `anvilflow.speeds`. With
        ``auto``, only where a task on a slow kind of worker cannot meet the objective of its queue.

    Notes
    -----
    A policy with an unknown setting or a value out of its bounds is rejected as a whole.

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
    shares: Switch = "auto"
    admission: Literal["on", "off"] = "off"
    admission_factor: Factor = 3.0
    places: Switch = "auto"
    tickets: Switch = "auto"
    speeds: Switch = "auto"

    def resolve(self, *, expects_pressure):
        """Return the policy with each of :data:`PRESSURE_SWITCHES` on or off.

        Parameters
        ----------
        expects_pressure : bool
            Whether the deployment declares that clients may ask for more than the workers can run.

        Examples
        --------
        >>> SchedulingPolicy(places="off").resolve(expects_pressure=True).places
        'off'
        >>> SchedulingPolicy().resolve(expects_pressure=True).shares
        'on'
        """
        chosen = {
            name: "on" if expects_pressure else "off"
            for name in PRESSURE_SWITCHES
            if getattr(self, name) == "auto"
        }
        return structs.replace(self, **chosen)
