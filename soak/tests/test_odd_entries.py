"""Tests of the odd entries that another program writes into the registry."""

from twisted.internet.testing import MemoryReactorClock

from soak._environment import Environment
from soak._faults import Fault
from soak._lapses import ODD_FIELDS, LapseInjector


def test_odd_entries_are_written_as_they_are():
    """Guards against odd entries that the stand-ins refuse or mend before a leader reads them."""
    environment = Environment(reactor=MemoryReactorClock(), host="127.0.0.1", n_workers=40)
    lapses = LapseInjector(reactor=environment.reactor, environment=environment)
    for number in range(8):
        lapses.inject(Fault(at=0.0, for_s=1.0, kind="odd entries", pick=number / 8))
    entries = [value for _, _, table, _, _, value in environment.store.log if table == "servers"]
    for name, value in ODD_FIELDS:
        assert any(b'"%s":%s' % (name.encode(), value) in entry for entry in entries)
