"""A short seeded soak; longer ones are played by hand."""

import subprocess
import sys
from random import Random

import pytest

from soak._faults import KINDS, make_faults


def test_faults_of_a_seed_are_always_the_same():
    """A seed that failed once must fail again for the same reason."""
    first, again = (make_faults(Random(7), n_faults=50, seconds=10.0) for _ in range(2))
    assert first == again
    assert [fault.at for fault in first] == sorted(fault.at for fault in first)
    assert {fault.kind for fault in first} <= set(KINDS)


@pytest.mark.parametrize("seed", [3])
def test_short_soak_breaks_no_promise(seed, tmp_path):
    """Three processes, four workers, five faults within six seconds; all accepted jobs end.

    Played in a process of its own: a soak needs the reactor for itself.
    """
    script = (
        "import sys; from soak import run_seed; "
        f"verdict = run_seed({seed}, {str(tmp_path)!r}, seconds=6.0, n_faults=5, n_instances=3, "
        "n_workers=4); print(verdict); sys.exit(bool(verdict.broken) or not verdict.n_accepted)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=180
    )
    assert done.returncode == 0, done.stdout + done.stderr
