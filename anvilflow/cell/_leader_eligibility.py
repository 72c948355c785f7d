"""Which instances can bear to be the leader, and in which order they should become it."""

#: Link below which an instance should become the leader only where no other can: four times the
#: 5 Mbit/s that the leader of 35 instances and 176 workers sent at most in a second. It also reads
#: its tables over it. Unit: Mbit/s.
MIN_LEADER_LINK_MBPS = 20.0

#: Processor below which the same holds. Instances of the users' larger cells have 0.516 or 2.15
#: cores, and a leader of 97 instances and 270 workers took 1.2 at its peak, as measured while each
#: plan looked at every waiting step. Unit: thousandths of a core.
MIN_LEADER_CPU_MILLI = 600

#: Most processor that an instance may tell of. Unit: thousandths of a core.
MAX_CPU_MILLI = 1_000_000

#: Times its own processor that another instance must have for a leader to give way to it. A
#: take-over costs callers some tenths of a second, and the next leader must not soon be short, too.
YIELD_CPU_RATIO = 2.0


def can_lead(link_mbps, cpu_milli):
    """Whether an instance may claim without holding back for others."""
    return (
        link_mbps is None or link_mbps >= MIN_LEADER_LINK_MBPS
    ) and cpu_milli >= MIN_LEADER_CPU_MILLI


def reported_cpu_milli(hello):
    """Return the processor that an instance has told of; 0 where that is missing or impossible."""
    cpu_milli = hello.cpu_milli or 0
    return cpu_milli if 0 < cpu_milli <= MAX_CPU_MILLI else 0


def rank_candidates(hellos, restarted=()):
    """Return instances in the order in which they should become the leader.

    Those on a link that bears a leader come first, of these the ones with most processor: a leader
    on the weakest of instances that differ fourfold was late in each burst. Among equals those that
    were started after the leader come first: in a rolling restart the others are yet to be stopped.

    Parameters
    ----------
    hellos : iterable of Hello
    restarted : collection of str, default=()
        Names of the instances that were started after the leader.
    """
    return sorted(hellos, key=lambda hello: _key(hello, hello.instance in restarted))


def _key(hello, is_restarted):
    link_mbps = hello.link_mbps or 0
    bears = link_mbps >= MIN_LEADER_LINK_MBPS
    strength = (not bears, -reported_cpu_milli(hello), -link_mbps)
    return (*strength, not is_restarted, hello.instance)


def should_yield(own_cpu_milli, other_cpu_milli):
    """Whether a leader that is short of processor should offer its place."""
    return other_cpu_milli >= YIELD_CPU_RATIO * own_cpu_milli
