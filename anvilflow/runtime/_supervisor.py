"""Starts parts, restarts those that fail, and gives up on those that keep failing."""

from typing import Protocol

from automat import TypeMachineBuilder
from logbook import Logger
from twisted.internet.defer import DeferredList, maybeDeferred

from ..exceptions import PartError

#: Wait before the first restart, doubled each time. Unit: seconds.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0

#: Restarts within the window after which the process gives up.
MAX_RESTARTS = 5
RESTART_WINDOW_S = 60.0


class _Lifecycle(Protocol):
    def launch(self) -> None:
        """Start the part."""

    def fault(self) -> None:
        """The part failed."""

    def elapsed(self) -> None:
        """The backoff is over."""

    def halt(self) -> None:
        """Stop for good."""


class _Child:
    """One part under supervision: what the states of its lifecycle act on."""

    def __init__(self, *, name, make, supervisor):
        self.name = name
        self.make = make
        self.supervisor = supervisor
        self.part = None
        self.faults = []
        self.n_restarts = 0
        self.delayed = None

    def open(self):
        self.part = self.make()
        done = maybeDeferred(self.part.start)
        done.addErrback(lambda failure: self.supervisor.on_failure(self.part, failure.value))

    def close(self):
        part, self.part = self.part, None
        if self.delayed is not None and self.delayed.active():
            self.delayed.cancel()
        return maybeDeferred(part.stop) if part is not None else None


_builder = TypeMachineBuilder(_Lifecycle, _Child)
_idle = _builder.state("idle")
_running = _builder.state("running")
_waiting = _builder.state("waiting")
_halted = _builder.state("halted")


@_idle.upon(_Lifecycle.launch).to(_running)
def _launch(_, child):
    child.open()


@_running.upon(_Lifecycle.fault).to(_waiting)
def _fault(_, child):
    child.close()
    child.supervisor.schedule_restart(child)


@_waiting.upon(_Lifecycle.elapsed).to(_running)
def _restart(_, child):
    child.n_restarts += 1
    child.open()


@_running.upon(_Lifecycle.halt).to(_halted)
def _halt(_, child):
    child.supervisor.closing.append(child.close())


@_waiting.upon(_Lifecycle.halt).to(_halted)
def _halt_waiting(_, child):
    child.close()


# A fault that is reported while the part is already down changes nothing.
_waiting.upon(_Lifecycle.fault).loop().returns(None)
_halted.upon(_Lifecycle.fault).loop().returns(None)
_halted.upon(_Lifecycle.elapsed).loop().returns(None)
_halted.upon(_Lifecycle.halt).loop().returns(None)
_idle.upon(_Lifecycle.halt).to(_halted).returns(None)

_machine = _builder.build()


class Supervisor:
    """The parts of a process, started in order and stopped in reverse.

    Parameters
    ----------
    clock : IReactorTime
    name : str
        Prefix of the log.
    give_up : callable
        Called with a :class:`PartError` when a part failed more than ``MAX_RESTARTS`` times
        within ``RESTART_WINDOW_S``.
    """

    def __init__(self, *, clock, name, give_up):
        self.clock = clock
        self.name = name
        self.give_up = give_up
        self.closing = []
        self.log = Logger(f"{name} supervisor")
        self._children = {}
        self._machines = {}

    def add(self, name, make):
        """Supervise the part that `make` builds."""
        child = _Child(name=name, make=make, supervisor=self)
        self._children[name] = child
        self._machines[name] = _machine(child)

    def part(self, name):
        """Return the running part `name` or None."""
        return self._children[name].part

    def parts(self):
        """Return the running parts by name."""
        return {name: child.part for name, child in self._children.items() if child.part}

    def restarts(self):
        """Return the number of restarts by name of part."""
        return {name: child.n_restarts for name, child in self._children.items()}

    def start(self):
        """Start all parts in the order of adding."""
        for machine in self._machines.values():
            machine.launch()

    def stop(self):
        """Stop all parts in reverse; the Deferred fires when all have ended."""
        self.closing = []
        for name in reversed(list(self._machines)):
            self._machines[name].halt()
        return DeferredList([done for done in self.closing if done is not None])

    def on_failure(self, part, exc):
        """Restart the part that failed, unless it has failed too often."""
        for name, child in self._children.items():
            if child.part is part:
                self.log.exception("Part {} failed: {!r}.", name, exc, exc_info=_info(exc))
                self._machines[name].fault()
                return

    def schedule_restart(self, child):
        """Restart the child after its backoff, or give up."""
        now = self.clock.seconds()
        child.faults = [at for at in child.faults if now - at < RESTART_WINDOW_S] + [now]
        if len(child.faults) > MAX_RESTARTS:
            self.give_up(
                PartError(
                    f"part {child.name} failed {len(child.faults)} times "
                    f"in {RESTART_WINDOW_S:g} s"
                )
            )
            return
        delay = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (len(child.faults) - 1))
        child.delayed = self.clock.callLater(delay, self._machines[child.name].elapsed)


def _info(exc):
    return (type(exc), exc, exc.__traceback__)
