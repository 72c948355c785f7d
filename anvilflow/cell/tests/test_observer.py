"""What operators see of a running instance, and settings that change under it."""

import msgspec
import pytest

from anvilflow.cell import ListenSettings, _diagnostics
from anvilflow.exceptions import SettingsError
from anvilflow.jobs import SchedulingPolicy

from ._helpers import JOB, STEP, make_cell


class _Request:
    """As much of a request as the observer uses."""

    def __init__(self, path):
        self.path = path
        self.status = 200

    def setHeader(self, name, value):
        """Take no note."""

    def setResponseCode(self, status):
        self.status = status


def ask(cell, name, path):
    """Return an instance's answer to an operator and its status."""
    resource = _diagnostics._DiagnosticsResource(context=cell.daemons[name].context)
    request = _Request(path)
    return resource.render_GET(request), request.status


def test_page_counts_what_clients_and_workers_did():
    """One job of four tasks: its acceptance and first start are timed, its ends counted."""
    cell = make_cell()
    name = cell.other()
    cell.submit(name, JOB, STEP)
    cell.advance(3.0)
    cell.state(name, JOB)
    entry_page, _ = ask(cell, name, b"/metrics")
    leader_page, _ = ask(cell, cell.leader(), b"/metrics")
    assert b'anvilflow_calls_total{status="200",verb="POST"} 1.0' in entry_page
    assert b"anvilflow_accept_seconds_count 1.0" in entry_page
    assert b'anvilflow_ends_total{how="done"} 4.0' in leader_page
    assert b"anvilflow_first_start_seconds_count 1.0" in leader_page
    assert b'anvilflow_takeovers_total{why="no home"} 1.0' in leader_page


def test_verbs_that_clients_make_up_do_not_grow_the_page():
    """A client sends a new verb with each call; the page counts them as one."""
    cell = make_cell()
    name = cell.other()
    for number in range(20):
        cell.call(name, f"VERB{number}", f"/urgent/{JOB}")
    cell.advance(0.1)
    page, _ = ask(cell, name, b"/metrics")
    assert b'anvilflow_calls_total{status="400",verb="other"} 20.0' in page


def test_dump_shows_the_state_of_the_parts():
    """An operator looks at the leader while a job runs."""
    cell = make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="5.0 done 1000")
    cell.advance(0.5)
    dump, _ = ask(cell, cell.leader(), b"/dump")
    assert msgspec.json.decode(dump)["home"]["jobs"] == {JOB: "running"}


def test_other_paths_are_not_found():
    """The observer serves nothing of what clients may ask."""
    assert ask(make_cell(), "a0", f"/urgent/{JOB}".encode())[1] == 404


def test_settings_that_are_read_anew_are_in_force():
    """The store moves to another address; the platform rewrites the file and sends SIGHUP."""
    cell = make_cell()
    daemon = cell.daemons["a0"]
    new = msgspec.structs.replace(daemon.context.settings, store="store:2")
    daemon.reload(lambda: new)
    assert daemon.context.store.address == "store:2"
    assert daemon.context.settings is new


def test_policy_that_is_read_anew_is_followed():
    """An operator sets a threshold and sends SIGHUP: the leader's next plan goes by it."""
    cell = make_cell()
    daemon = cell.daemons[cell.leader()]
    policy = SchedulingPolicy(preempt_s=None)
    new = msgspec.structs.replace(daemon.context.settings, scheduling=policy)
    daemon.reload(lambda: new)
    cell.advance(0.2)
    assert daemon.context.leader._scheduler.policy is policy


@pytest.mark.parametrize("fault", ["unreadable", "other address"])
def test_settings_that_cannot_be_taken_leave_the_old_ones(fault):
    """A file that is half written, or that moves an open socket: the instance goes on as it is."""
    cell = make_cell()
    daemon = cell.daemons["a0"]
    old = daemon.context.settings

    def load():
        if fault == "unreadable":
            raise SettingsError("not JSON with comments")
        listen = ListenSettings(front="f:9", ready="r:1", peers="a0")
        return msgspec.structs.replace(old, listen=listen, store="store:2")

    daemon.reload(load)
    assert daemon.context.settings is old
    assert daemon.context.store.address == old.store
