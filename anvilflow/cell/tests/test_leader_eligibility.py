"""Choice of the leader among instances whose link and CPU capacity differ fourfold and more."""

import pytest

from anvilflow.cell import (
    CellSettings,
    ListenSettings,
    _leader_eligibility,
    _leader_heartbeat,
    _links,
)
from anvilflow.cell._leader_eligibility import rank_candidates, reported_cpu_milli
from anvilflow.peers.gen.ttypes import Hello

from ._helpers import make_cell, restart_all_instances
from .test_short_of_processor import CALL_CPU_S, _play_burst

WEAK = ("a0", "a1", "a2", "a3", "a5")


def make_hello(name, *, link_mbps=100, cpu_milli=1000):
    """Return the hello of an instance."""
    return Hello(
        instance=name,
        incarnation="i",
        failure_domain="z",
        link_mbps=link_mbps,
        address=f"{name}:1",
        cpu_milli=cpu_milli,
    )


def make_settings(**values):
    """Return the settings of an instance."""
    listen = ListenSettings(front="f:1", ready="r:1", peers="p:1")
    return CellSettings(instance="a0", failure_domain="z", listen=listen, store="s:1", **values)


def test_instance_with_most_cpu_on_a_sufficient_link_comes_first():
    """Links of 20 and 200 Mbit/s are both sufficient for a leader; one of 5 Mbit/s is not."""
    hellos = [
        make_hello("narrow", link_mbps=5, cpu_milli=4000),
        make_hello("weak", link_mbps=200, cpu_milli=516),
        make_hello("strong", link_mbps=20, cpu_milli=2151),
    ]
    assert [hello.instance for hello in rank_candidates(hellos)] == ["strong", "weak", "narrow"]


@pytest.mark.parametrize("cpu_milli", [None, 0, -5, 2_000_000_000])
def test_instance_that_reports_impossible_cpu_capacity_ranks_last(cpu_milli):
    """The instance stays a candidate, behind all others."""
    misreporting = make_hello("misreporting", cpu_milli=cpu_milli)
    assert reported_cpu_milli(misreporting) == 0
    assert [
        hello.instance for hello in rank_candidates([misreporting, make_hello("z", cpu_milli=1)])
    ][-1] == "misreporting"


@pytest.mark.parametrize(
    "values",
    [{}, {"cpu_share": 0.5}, {"cores": 2}, {"cpu_share": 0.0, "cores": 2}, {"cpu_share": -1.0}],
)
def test_settings_without_valid_cpu_capacity_count_as_one_core(values):
    """Share or cores are missing, zero or negative: such an instance stays eligible to lead."""
    assert make_settings(**values).cpu_milli == 1000


def test_cpu_capacity_is_the_share_times_the_cores():
    """A share of 0.717 of a core with three times the speed is 2.151 cores."""
    assert make_settings(cpu_share=0.717, cores=3).cpu_milli == 2151


@pytest.mark.parametrize("safeguard", [True, False])
def test_successor_is_an_instance_with_high_cpu_capacity(monkeypatch, safeguard):
    """After the loss of the leader only one instance has more than an eighth of a core."""
    if not safeguard:
        monkeypatch.setattr(_leader_eligibility, "reported_cpu_milli", lambda hello: 0)
    cell = make_cell(n_instances=4, weak=WEAK)
    cell.start_instance("a4")
    cell.start_instance("a5")
    cell.advance(1.0)
    cell.kill(cell.leader())
    cell.advance(1.5)
    assert (cell.leader() == "a4") is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_after_a_restart_of_all_instances_has_high_cpu_capacity(monkeypatch, safeguard):
    """All instances are killed at once and restarted, so that none has an order of succession."""
    if not safeguard:
        monkeypatch.setattr(_leader_eligibility, "MIN_LEADER_CPU_MILLI", 0)
    leaders = set()
    for random_state in range(4):
        cell = make_cell(n_instances=6, weak=WEAK, random_state=random_state)
        restart_all_instances(cell)
        leaders.add(cell.leader())
    assert (leaders == {"a4"}) is safeguard


@pytest.mark.parametrize("safeguard", [True, False])
def test_leader_short_of_processor_yields_to_a_much_stronger_instance(monkeypatch, safeguard):
    """A weak instance leads; a strong one joins, and then a burst of jobs arrives.

    Without yielding, the weak leader stays in place and is late with all its work, although another
    instance could do it in time.
    """
    if not safeguard:
        monkeypatch.setattr(_leader_eligibility, "YIELD_CPU_RATIO", float("inf"))
    cell = make_cell(n_instances=4, n_workers=12, weak=WEAK)
    assert cell.leader() in WEAK
    cell.start_instance("a4")
    cell.advance(_leader_heartbeat.MIN_LEADERSHIP_S)
    job_ids = _play_burst(cell, call_s={"a4": CALL_CPU_S / 8})
    assert (cell.leader() == "a4") is safeguard
    done = {span.task.split(".")[0] for span in cell.spans if span.how == "done"}
    assert done == set(job_ids)
    assert cell.check() == []


@pytest.mark.parametrize("safeguard", [True, False])
def test_restarted_instances_come_first_among_equals(monkeypatch, safeguard):
    """In a rolling restart, instances that were about to be stopped became leader."""
    if not safeguard:
        monkeypatch.setattr(_links, "MIN_START_GAP_S", float("inf"))
    cell = make_cell(n_instances=5)
    cell.advance(10.0)
    last = max(name for name in cell.daemons if name != cell.leader())
    cell.kill(last)
    cell.advance(0.5)
    cell.start_instance(last)
    cell.advance(1.0)
    successors = cell.daemons[cell.leader()].context.links.successors
    assert (successors[0] == last) is safeguard
