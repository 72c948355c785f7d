"""The instances of a cell as separate processes, started and signalled by their process ids."""

import os
import signal
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

from anvilflow.utils import encode

from ._launch import INJECTED_ERROR

#: Grace period of a process after SIGTERM. Unit: seconds.
GRACE_S = 6.0

#: Maximum length of the message of a part that has failed.
MAX_MESSAGE_LENGTH = 120

_LAUNCHER = Path(__file__).with_name("_launch.py").resolve()


class Instances:
    """Starts, signals and ends the processes of a cell.

    Parameters
    ----------
    environment : Environment
    folder : Path
        Folder of the settings and logs.
    n_instances : int
    free_address : callable
        Returns an address that is not in use.
    contracts : list of str, default=()
        Contracts in the settings of the instances.
    bounds : dict, default=None
        Bounds in the settings of the instances that are not the defaults.
    disturbances : DisturbanceTracker, default=None
        Records each start and each signal except SIGHUP, which does not disturb an instance.
    runs_per_term : int, default=None
        Number of run numbers that each leader has; None: the default.
    """

    def __init__(
        self,
        *,
        environment,
        folder,
        n_instances,
        free_address,
        contracts=(),
        bounds=None,
        disturbances=None,
        runs_per_term=None,
    ):
        self.contracts = contracts
        self.bounds = bounds
        self.environment = environment
        self.disturbances = disturbances
        self.runs_per_term = runs_per_term
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.names = [f"a{number}" for number in range(n_instances)]
        self.fronts = {}
        self._running = {}
        self._suspended = set()
        self.terminating = set()
        self._without_power = set()
        self._logs = {}
        self._stack = ExitStack()
        # Proxies come first: later they might get the port of an instance that is not yet running.
        for name in self.names:
            self._make_proxies(name)
        addresses = _draw_addresses(free_address, n_addresses=3 * n_instances)
        for name in self.names:
            self._write_settings(name, addresses)

    def _make_proxies(self, name):
        environment = self.environment
        targets = {"store": environment.store_target, "advice": environment.advice_target}
        for end in ("front", "peers", "store", "advice"):
            environment.make_proxy(f"{name} {end}", targets.get(end))

    def _write_settings(self, name, addresses):
        front, ready, peers = (addresses.pop() for _ in range(3))
        proxies = self.environment.proxies
        proxies[f"{name} front"].target = _target(front)
        proxies[f"{name} peers"].target = _target(peers)
        self.fronts[name] = proxies[f"{name} front"].address
        public = proxies[f"{name} peers"].address
        settings = {
            "instance": name,
            "failure_domain": "z1",
            "listen": {"front": front, "ready": ready, "peers": peers, "peers_public": public},
            "store": proxies[f"{name} store"].address,
            "advice": proxies[f"{name} advice"].address,
            "contracts": list(self.contracts),
            "bounds": self.bounds or {},
        }
        (self.folder / f"{name}.json").write_bytes(encode(settings))

    @property
    def running(self):
        """Names of the instances whose process is not suspended."""
        return [name for name in self._running if name not in self._suspended]

    def start(self, name):
        """Start an instance unless it is running or its machine has no power."""
        if self.is_running(name) or name in self._without_power:
            return
        log = self._logs.get(name)
        if log is None:
            log = self._stack.enter_context((self.folder / f"{name}.log").open("ab"))
            self._logs[name] = log
        # The launcher runs as a file. As a module of this package, it would first import code that
        # uses the time of day.
        env = {
            **os.environ,
            "ANVILFLOW_CONFIG": str(self.folder / f"{name}.json"),
            "PYTHONPATH": str(_LAUNCHER.parents[1]),
        }
        if self.runs_per_term is not None:
            env["SOAK_RUNS_PER_TERM"] = str(self.runs_per_term)
        self._running[name] = subprocess.Popen(
            [sys.executable, str(_LAUNCHER)], stdout=log, stderr=log, env=env
        )
        if self.disturbances is not None:
            self.disturbances.start(name)

    def is_running(self, name):
        """Return whether the instance has a process, suspended or not."""
        process = self._running.get(name)
        if process is not None and process.poll() is not None:
            del self._running[name]
            self._suspended.discard(name)
            self.terminating.discard(name)
            process = None
        return process is not None

    def process_of(self, name):
        """Return the id of the instance's process; None if there is none or it is suspended."""
        if not self.is_running(name) or name in self._suspended:
            return None
        return self._running[name].pid

    def send(self, name, number):
        """Send signal `number` to an instance's process."""
        if not self.is_running(name):
            return
        self._running[name].send_signal(number)
        if number != signal.SIGHUP and self.disturbances is not None:
            self.disturbances.add_disturbance([name])
        match number:
            case signal.SIGSTOP:
                self._suspended.add(name)
            case signal.SIGCONT:
                self._suspended.discard(name)
            case signal.SIGTERM:
                self.terminating.add(name)

    def part_failures(self):
        """Return a message for each part that has failed and was not made to fail."""
        messages = []
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                if '"event":"Part ' in line and INJECTED_ERROR not in line:
                    event = line.partition('"event":')[2]
                    messages.append(f"{path.stem}: {event[:MAX_MESSAGE_LENGTH]}")
        return messages

    def lose_power(self):
        """Kill all instances; peers see no connection close and get no answer on a new one."""
        for proxy in self.environment.proxies.values():
            proxy.silence()
        for name in self.names:
            self._set_power(name, False)
            self.send(name, signal.SIGKILL)

    def power_on(self, name):
        """Restart an instance whose machine had no power."""
        self._set_power(name, True)
        self.start(name)

    def _set_power(self, name, is_on):
        for end in ("front", "peers"):
            self.environment.proxies[f"{name} {end}"].is_powered_off = not is_on
        if is_on:
            self._without_power.discard(name)
        else:
            self._without_power.add(name)

    def close(self):
        """Kill all running processes and close the logs."""
        for process in self._running.values():
            process.kill()
            process.wait()
        self._stack.close()


def _draw_addresses(free_address, *, n_addresses):
    """Return distinct addresses; a drawn address is still free and may be drawn again."""
    addresses = set()
    while len(addresses) < n_addresses:
        addresses.add(free_address())
    return sorted(addresses)


def _target(address):
    host, port = address.split(":")
    return host, int(port)
