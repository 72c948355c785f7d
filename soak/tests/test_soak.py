"""A short seeded soak; longer ones are played by hand."""

import subprocess
import sys
from random import Random

import pytest
from twisted.internet.task import Clock

from soak._faults import KINDS, make_faults
from soak._line import Line


def test_faults_of_a_seed_are_always_the_same():
    """A seed that failed once must fail again for the same reason."""
    first, again = (make_faults(Random(7), n_faults=50, seconds=10.0) for _ in range(2))
    assert first == again
    assert [fault.at for fault in first] == sorted(fault.at for fault in first)
    assert {fault.kind for fault in first} <= set(KINDS)


@pytest.mark.parametrize("seed", [3])
def test_short_soak_breaks_no_promise(seed, tmp_path):
    """Three processes, four workers, six faults within six seconds, then no power for a moment."""
    _play(seed, tmp_path, grows=False)


def test_short_soak_with_a_growing_configuration_breaks_no_promise(tmp_path):
    """An instance goes on without routes that were acknowledged, or has none after a restart.

    The configuration grows by 350 KB three times, and a link takes 0.75 s for each of them. A call
    that is given up before its answer is there never gets it.
    """
    _play(4, tmp_path, grows=True)


@pytest.mark.parametrize("bytes_s", [None, 100_000])
def test_line_shares_its_rate(bytes_s):
    """A short answer does not wait behind a long one, and a gone end takes no time."""
    clock = Clock()
    line = Line(reactor=clock)
    line.bytes_s = bytes_s
    legs = [_Leg(is_open) for is_open in (True, True, False)]
    for leg, n_bytes in zip(legs, (100_000, 100, 100_000), strict=True):
        line.send(leg, b"x" * n_bytes)
    clock.pump([0.01] * 25)
    assert legs[1].n_bytes == 100
    assert (legs[0].n_bytes < 50_000) is (bytes_s is not None)
    clock.pump([0.01] * 100)
    assert [leg.n_bytes for leg in legs] == [100_000, 100, 0]


class _Leg:
    """One end of a connection, as a line uses it."""

    silent = False

    def __init__(self, connected):
        self.connected = connected
        self.n_bytes = 0
        self.transport = self.pair = self

    def write(self, data):
        self.n_bytes += len(data)


def _play(seed, folder, *, grows):
    # In a process of its own: a soak needs the reactor for itself.
    script = (
        "import sys; from soak import run_seed; "
        f"verdict = run_seed({seed}, {str(folder)!r}, seconds=6.0, n_faults=5, n_instances=3, "
        f"n_workers=4, grows={grows}); print(verdict); "
        "sys.exit(bool(verdict.broken) or not verdict.n_accepted)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=180
    )
    assert done.returncode == 0, done.stdout + done.stderr
