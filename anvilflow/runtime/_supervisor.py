"""Supervisor that starts the parts of a process, restarts failed parts and limits restarts."""

from typing import Protocol

from automat import TypeMachineBuilder
from logbook import Logger
from twisted.internet.defer import DeferredList, maybeDeferred

from ..exceptions import PartError

#: Delay before the first restart, doubled with each further restart up to the maximum.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0

#: Restarts of one part that are allowed within the window; one more fault ends the process.
MAX_RESTARTS = 5
RESTART_WINDOW_S = 60.0


class _Lifecycle(Protocol):
    def launch(self) -> None:
        """Start the part."""

    def fault(self) -> None:
        """Handle a fault of the part."""

    def elapsed(self) -> None:
        """Handle the end of the back-off."""

    def halt(self) -> None:
        """Stop the part without a restart."""


class _Child:
    """One supervised part: the data that the transitions of its lifecycle act on."""

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


# Inputs that have no effect in these states, such as a fault of a part that is already stopped.
_waiting.upon(_Lifecycle.fault).loop().returns(None)
_halted.upon(_Lifecycle.fault).loop().returns(None)
_halted.upon(_Lifecycle.elapsed).loop().returns(None)
_halted.upon(_Lifecycle.halt).loop().returns(None)
_idle.upon(_Lifecycle.halt).to(_halted).returns(None)

_machine = _builder.build()


class Supervisor:
    """Starts the parts of a process in order and stops them in reverse order.

    Parameters
    ----------
    clock : IReactorTime
    name : str
        Prefix of the logger's name.
    give_up : callable
        Called with a :class:`PartError` when a part fails more than ``MAX_RESTARTS`` times
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
        """Add a part to supervise; `make` builds a new instance of the part for each start."""
        child = _Child(name=name, make=make, supervisor=self)
        self._children[name] = child
        self._machines[name] = _machine(child)

    def part(self, name):
        """Return the running part `name`, or None while it is not running."""
        return self._children[name].part

    def parts(self):
        """Return the running parts by name."""
        return {name: child.part for name, child in self._children.items() if child.part}

    def restarts(self):
        """Return the number of restarts of each part by name."""
        return {name: child.n_restarts for name, child in self._children.items()}

    def start(self):
        """Start all parts in the order in which they were added."""
        for machine in self._machines.values():
            machine.launch()

    def stop(self):
        """Stop all parts in reverse order; the Deferred fires when all have stopped."""
        self.closing = []
        for name in reversed(list(self._machines)):
            self._machines[name].halt()
        return DeferredList([done for done in self.closing if done is not None])

    def on_failure(self, part, exc):
        """Log the failure of a running part, then schedule its restart or give up."""
        for name, child in self._children.items():
            if child.part is part:
                self.log.exception("Part {} failed: {!r}.", name, exc, exc_info=_exc_info(exc))
                self._machines[name].fault()
                return

    def schedule_restart(self, child):
        """Schedule a restart after the back-off, or give up after too many faults in the window."""
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


def _exc_info(exc):
    return (type(exc), exc, exc.__traceback__)
