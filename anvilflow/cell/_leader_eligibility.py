"""Eligibility of instances to lead the cell, and the order in which they should become leader."""

#: Link bandwidth below which an instance should become leader only if no other one can: four times
#: the 5 Mbit/s that the leader of 35 instances and 176 workers sent in its busiest second. A new
#: leader also reads its tables over this link. Unit: Mbit/s.
MIN_LEADER_LINK_MBPS = 20.0

#: CPU capacity below which the same holds. Instances of the users' larger cells have 0.516 or 2.15
#: cores, and the leader of 97 instances and 270 workers used 1.2 cores at its peak, in a version
#: whose planning visited every waiting step each time. Unit: thousandths of a core.
MIN_LEADER_CPU_MILLI = 600

#: Largest CPU capacity that is accepted from a hello. Unit: thousandths of a core.
MAX_REPORTED_CPU_MILLI = 1_000_000

#: Ratio of another instance's CPU capacity to the leader's own from which a leader that is short of
#: processor yields. A take-over costs callers some tenths of a second, and the next leader must not
#: be short of processor soon, too.
YIELD_CPU_RATIO = 2.0


def can_lead(link_mbps, cpu_milli):
    """Whether an instance may claim without waiting for other instances to claim first."""
    return (
        link_mbps is None or link_mbps >= MIN_LEADER_LINK_MBPS
    ) and cpu_milli >= MIN_LEADER_CPU_MILLI


def reported_cpu_milli(hello):
    """Return the CPU capacity that an instance reports; 0 if missing or out of range."""
    cpu_milli = hello.cpu_milli or 0
    return cpu_milli if 0 < cpu_milli <= MAX_REPORTED_CPU_MILLI else 0


def rank_candidates(hellos, restarted=()):
    """Return instances in the order in which they should become leader.

    Instances whose link is fast enough for a leader come first, and among these the ones with the
    largest CPU capacity: where capacities differed fourfold, a leader on the weakest instance was
    late in each burst. Among equals, instances that were started after the leader come first: in a
    rolling restart the others are yet to be stopped.

    Parameters
    ----------
    hellos : iterable of Hello
    restarted : collection of str, default=()
        Names of the instances that were started after the leader.
    """
    return sorted(hellos, key=lambda hello: _rank_key(hello, hello.instance in restarted))


def _rank_key(hello, is_restarted):
    link_mbps = hello.link_mbps or 0
    is_link_sufficient = link_mbps >= MIN_LEADER_LINK_MBPS
    eligibility = (not is_link_sufficient, -reported_cpu_milli(hello), -link_mbps)
    return (*eligibility, not is_restarted, hello.instance)


def should_yield(own_cpu_milli, other_cpu_milli):
    """Whether a leader that is short of processor should yield to the other instance."""
    return other_cpu_milli >= YIELD_CPU_RATIO * own_cpu_milli
