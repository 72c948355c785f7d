"""Steps of the time of day must not affect an instance's timers and leases."""

import json
import subprocess
import sys

import pytest

#: Steps the time of day of a running instance and prints by how much its clock moved.
#: ``time.time`` is replaced before any other import, so that code that uses it as a clock is
#: affected as by a step of the machine's clock.
_SCRIPT = """
import sys, time
true_time, step = time.time, [0.0]
time.time = lambda: true_time() + step[0]
from twisted.internet import reactor
from anvilflow.cell import load_cell_settings
from anvilflow.cell._daemon import run_cell

def shake():
    before = reactor.seconds()
    step[0] = float(sys.argv[2])
    print(reactor.seconds() - before)
    step[0] = 0.0
    reactor.stop()

reactor.callWhenRunning(shake)
run_cell(load_cell_settings(sys.argv[1]), None)
"""


@pytest.mark.parametrize("step_s", [-60.0, 60.0])
def test_step_of_the_time_of_day_does_not_move_timers(step_s, tmp_path):
    """Callers get no answer for a minute, or a task runs twice, after a step of the time of day.

    After a step back, all timers of the instance stop for the size of the step: no lease renewals,
    no scheduling, no time-outs. After a step ahead, valid leases seem to have expired, and the
    leader starts their tasks elsewhere. By default, the reactor's clock is the time of day.
    """
    addresses = {name: "127.0.0.1:0" for name in ("front", "ready", "peers")}
    settings = {
        "instance": "a0",
        "failure_domain": "z1",
        "listen": addresses,
        "store": "127.0.0.1:9",
    }
    path = tmp_path / "a0.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT, str(path), str(step_s)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    assert abs(float(done.stdout.splitlines()[-1])) < 1.0
