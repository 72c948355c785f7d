"""Short seeded soaks, and tests of their tools. Longer soaks are started by hand."""

import subprocess
import sys
from random import Random

import pytest
from twisted.internet.task import Clock

from soak._config_watch import ConfigQuery, _is_allowed_answer
from soak._disturbances import UNDISTURBED_S, DisturbanceTracker
from soak._faults import KINDS, make_faults
from soak._lapses import LAPSE_KINDS, make_lapses
from soak._shared_link import SharedLink


def test_same_seed_gives_same_faults():
    """A failed seed must be reproducible: it gives the same faults in every run."""
    first, again = (make_faults(Random(7), n_faults=50, seconds=10.0) for _ in range(2))
    assert first == again
    assert [fault.at for fault in first] == sorted(fault.at for fault in first)
    assert {fault.kind for fault in first} <= set(KINDS)


def test_lapses_are_followed_by_series_of_changes_of_leader():
    """Guards against a soak in which no leader is replaced while entries come back."""
    faults = make_lapses(Random(7), n_faults=20, seconds=10.0)
    lapses = [fault for fault in faults if fault.kind in LAPSE_KINDS]
    changes = [fault for fault in faults if fault.kind not in LAPSE_KINDS]
    assert len(lapses) == 20
    assert len(changes) > len(lapses)
    assert all("home" in fault.kind for fault in changes)


@pytest.mark.parametrize("seed", [3])
def test_short_soak_violates_no_invariant(seed, tmp_path):
    """Three processes and four workers, random faults within six seconds, then a loss of power."""
    _play(seed, tmp_path, grows=False, **_SHORT)


def test_short_soak_under_the_policy_for_pressure_violates_no_invariant(tmp_path):
    """As above, with the parts of the scheduler for more work than capacity."""
    _play(5, tmp_path, grows=False, expects_pressure=True, **_SHORT)


def test_short_soak_that_outlasts_the_removal_of_rows_violates_no_invariant(tmp_path):
    """Guards against jobs that run again at a change of leader after their rows were removed."""
    _play(6, tmp_path, grows=False, has_removals=True, **_SHORT)


def test_short_soak_with_lapses_of_registry_entries_violates_no_invariant(tmp_path):
    """Guards against second runs on workers whose entries lapse, come back or are overwritten."""
    _play(8, tmp_path, grows=False, n_lapses=3, **{**_SHORT, "n_faults": 0})


def test_short_soak_with_failures_of_parts_violates_no_invariant(tmp_path):
    """Guards against ends that are acknowledged to workers although no transaction stored them."""
    _play(403, tmp_path, grows=False, n_parts=4, **{**_SHORT, "n_faults": 1, "n_instances": 2})
    logs = [path.read_text(encoding="utf-8") for path in tmp_path.glob("*.log")]
    assert any("injected by the soak" in log for log in logs)


def test_short_soak_with_services_that_fail_often_violates_no_invariant(tmp_path):
    """Guards against long-running tasks that later leaders cannot start, after many failures."""
    _play(9, tmp_path, grows=False, n_services=2, **_SHORT)


def test_short_soak_with_a_growing_configuration_breaks_no_promise(tmp_path):
    """An instance lacks acknowledged routes, or has none after a restart.

    The configuration grows by 350 KB three times, and a link takes 0.75 s for each growth. If each
    call times out before its answer has been transferred, the instance never gets the answer.
    """
    _play(4, tmp_path, grows=True, **_SHORT)


@pytest.mark.parametrize("seed", [3, 4])
def test_soak_that_watches_the_configuration_breaks_no_promise(seed, tmp_path):
    """Several instances refuse an added queue long after the change.

    With seed 3, the leader is killed after a change, and all other instances answer 503. With seed
    4, all connections to the store become silent, and a change 1.9 s later is not in force 2.0 s
    after it: 404 for the added queue, 200 for the removed one.
    """
    _play(seed, tmp_path, seconds=14.0, n_faults=12, n_instances=5, only_config=True)


def test_bounds_apply_only_to_undisturbed_instances():
    """The time is counted from the end of the last disturbance of the same instance."""
    clock = Clock()
    disturbances = DisturbanceTracker(reactor=clock)
    clock.advance(10.0)
    disturbances.add_disturbance(["a0"], 2.0)
    disturbances.add_disturbance(["a0"])
    assert disturbances.is_undisturbed("a1", 10.0)
    assert not disturbances.is_undisturbed("a0", 11.9 + UNDISTURBED_S)
    assert disturbances.is_undisturbed("a0", 12.0 + UNDISTURBED_S)


@pytest.mark.parametrize("answers", [True, False])
def test_start_is_a_disturbance_until_first_answer_or_timeout(answers):
    """Beside other soaks a process starts within seconds; one that never does must be reported."""
    clock = Clock()
    disturbances = DisturbanceTracker(reactor=clock)
    disturbances.start("a0")
    clock.advance(5.0)
    if answers:
        disturbances.record_answer("a0")
    assert not disturbances.is_undisturbed("a0", 5.0)
    clock.advance(4.0)
    assert disturbances.is_undisturbed("a0", 9.0) is answers
    clock.advance(2.0)
    assert disturbances.is_undisturbed("a0", 11.0)


@pytest.mark.parametrize(
    ("path", "asked", "status", "is_allowed"),
    [
        ("/v5/", 5, 200, True),
        ("/v5/", 5, 404, False),
        ("/v5/", 5, 503, False),
        ("/v5/", 5, None, False),
        ("/v4/", 4, 404, True),
        ("/v4/", 4, 200, False),
        ("/v5/0000000000000000", 5, 410, True),
        ("/v5/0000000000000000", 5, 503, True),
        ("/v5/0000000000000000", 5, 404, False),
    ],
)
def test_answers_that_the_newest_version_allows(path, asked, status, is_allowed):
    """The queue of the newest version must be served, that of the version before must not."""
    config_query = ConfigQuery(name="a0", process=1, path=path, version=5, asked=asked, at=0.0)
    assert _is_allowed_answer(config_query, status) is is_allowed


@pytest.mark.parametrize("bytes_per_s", [None, 100_000])
def test_connections_share_the_rate_of_a_link(bytes_per_s):
    """A short answer must not wait for a long one, and a closed connection takes no time."""
    clock = Clock()
    link = SharedLink(reactor=clock)
    link.bytes_per_s = bytes_per_s
    legs = [_Leg(is_open) for is_open in (True, True, False)]
    for leg, n_bytes in zip(legs, (100_000, 100, 100_000), strict=True):
        link.send(leg, b"x" * n_bytes)
    clock.pump([0.01] * 25)
    assert legs[1].n_bytes == 100
    assert (legs[0].n_bytes < 50_000) is (bytes_per_s is not None)
    clock.pump([0.01] * 100)
    assert [leg.n_bytes for leg in legs] == [100_000, 100, 0]


class _Leg:
    """One end of a connection, with the attributes that a link uses."""

    is_silenced = False

    def __init__(self, connected):
        self.connected = connected
        self.n_bytes = 0
        self.transport = self.pair = self

    def write(self, data):
        self.n_bytes += len(data)


_SHORT = {"seconds": 6.0, "n_faults": 5, "n_instances": 3, "n_workers": 4}


def _play(seed, folder, **values):
    # Runs in a separate process, because a soak needs a reactor of its own.
    least = 1 if values.get("only_config") else 0
    script = (
        "import sys; from soak import run_seed; "
        f"verdict = run_seed({seed}, {str(folder)!r}, **{values!r}); print(verdict); "
        f"is_idle = not verdict.n_accepted or verdict.n_config_checked < {least}; "
        "sys.exit(bool(verdict.broken) or is_idle)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=180
    )
    assert done.returncode == 0, done.stdout + done.stderr
