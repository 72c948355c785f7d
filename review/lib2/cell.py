"""A small deployment on loopback addresses: store, workers, the project's instances, clients."""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import wire

LIB = Path(__file__).resolve().parent
ROOT = LIB.parents[1]
HOST = "queue.example"
ACK_S = 4.0
FINISH_S = 14.0

#: Bounds of the deployment Lonestar, as the template of the deploy file renders them.
BOUNDS = {
    "config_apply_s": 2.0,
    "grace_s": 6,
    "max_lease_s": 6.0,
    "stop_s": 0.9,
    "status_kept_s": 120,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Cell:
    """Processes of one deployment, all of them ended by `close`, and the record of the case."""

    def __init__(self, record_path):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record_path = Path(record_path)
        self.record = []
        self.processes = {}
        self.fronts = {}
        self.store = ""
        self.began_at = time.time()
        self._events = []
        self._offsets = {}

    # Record

    def note(self, text, **values):
        """Add a line to the record of the case."""
        self.record.append((time.time(), f"{text} {json.dumps(values) if values else ''}".strip()))

    def events(self):
        """Return what the workers have recorded, oldest first."""
        for path in self.folder.glob("worker-*.jsonl"):
            with path.open(encoding="ascii") as file:
                file.seek(self._offsets.get(path, 0))
                text = file.read()
            complete = text[: text.rfind("\n") + 1]
            self._offsets[path] = self._offsets.get(path, 0) + len(complete)
            self._events += map(json.loads, complete.splitlines())
        self._events.sort(key=lambda event: event["at"])
        return self._events

    def write_record(self):
        """Write what was sent, answered and run."""
        lines = list(self.record)
        for event in self.events():
            values = {name: value for name, value in event.items() if name != "at"}
            lines.append((event["at"], f"worker {json.dumps(values)}"))
        text = [f"{at - self.began_at:9.3f} {line}" for at, line in sorted(lines)]
        self.record_path.write_text("\n".join(text) + "\n", encoding="utf-8")

    # Processes

    def _spawn(self, name, command, **values):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, **values)
        log.close()
        self.processes[name] = process
        return process

    async def start_store(self, routes, services=("desk",)):
        """Start the store and write the operator's first configuration."""
        port_file = self.folder / "store.port"
        self._spawn("store", [sys.executable, str(LIB / "store.py"), str(port_file)])
        for _ in range(100):
            await asyncio.sleep(0.05)
            if port_file.exists() and port_file.read_text():
                break
        else:
            raise CannotRun("the store did not start")
        self.store = f"127.0.0.1:{port_file.read_text()}"
        config = {
            "version": 1,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {},
        }
        row = {"table": "op", "key": "config", "value": config}
        await wire.call(self.store, "POST", "/standin/put", row)

    async def refused(self):
        """Return how many transactions the store has refused, and their largest value."""
        _, answer = await wire.call(self.store, "GET", "/standin/refused")
        return answer

    def start_worker(self, rack, *, cpu=16_000, mem_mb=32_768, service="desk"):
        """Start a worker; return its id."""
        worker_id = f"i-{secrets.token_hex(5)}"
        settings = {
            "id": worker_id,
            "service": service,
            "rack": rack,
            "cpu": cpu,
            "mem-mb": mem_mb,
            "store": self.store,
            "record": str(self.folder / f"worker-{worker_id}.jsonl"),
        }
        command = [sys.executable, str(LIB / "worker.py"), json.dumps(settings)]
        self._spawn(worker_id, command)
        self.note("worker started", worker=worker_id, rack=rack)
        return worker_id

    def start_instance(self, name):
        """Start an instance with the command of the deploy file."""
        ports = _free_ports(4)
        front, ready, peers, metrics = (f"127.0.0.1:{port}" for port in ports)
        settings = {
            "instance": name,
            "failure_domain": "zone-1",
            "listen": {"front": front, "ready": ready, "peers": peers, "metrics": metrics},
            "store": self.store,
            "orders": "invocation",
            "advice": "",
            "contracts": [
                *("base", "drain", "config", "cost", "recover", "sched", "platform"),
                *("upkeep", "sharing"),
            ],
            "link_mbps": 1000.0,
            "cpu_share": 0.537,
            "cores": 2,
            "bounds": BOUNDS,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ANVILFLOW_CONFIG"] = str(path)
        command = ["python3", "-m", "anvilflow.cell"]
        self._spawn(name, command, cwd=ROOT, env=environment)
        self.fronts[name] = (front, ready)
        self.note("instance started", instance=name)

    async def await_ready(self, n_instances, timeout_s=20.0):
        """Wait until so many instances are ready for clients."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            ready = [await self._is_ready(address) for _, address in self.fronts.values()]
            if sum(ready) >= n_instances:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the instances were not ready in time")

    async def _is_ready(self, address):
        try:
            status, _ = await wire.call(address, "GET", "/-/readyz", timeout=1.0)
        except (OSError, TimeoutError):
            return False
        return status == 200

    def send(self, name, number=signal.SIGKILL):
        """Send a signal to a process of the case."""
        self.note("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def is_running(self, name):
        """Whether a process of the case has not ended."""
        return self.processes[name].poll() is None

    def leader(self):
        """Return the name of the instance that began to lead last, by its log; None: none."""
        began = {}
        for name in self.fronts:
            for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
                if '"home begins"' in line:
                    began[name] = json.loads(line)["at"]
        return max(began, key=began.get, default=None)

    def close(self):
        """End all processes, write the record and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.write_record()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Clients

    async def call(self, method, path, value=None, *, note=True):
        """Make a client's call at an instance that runs, as the platform's address does."""
        names = [name for name in self.fronts if self.is_running(name)]
        name = secrets.choice(names)
        front, _ = self.fronts[name]
        headers = {"Host": HOST, "Content-Type": "application/json", "X-Deadline-Ms": "3000"}
        try:
            status, answer = await wire.call(front, method, path, value, headers=headers)
        except (OSError, TimeoutError) as exc:
            status, answer = None, type(exc).__name__
        if note:
            self.note(f"{method} {path} -> {status}", instance=name, answer=answer)
        return status, answer

    async def submit(self, prefix, steps, spec, **values):
        """Submit a job until it is accepted, at most five times; return its id."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps, **values}
        for _ in range(5):
            status, _ = await self.call("POST", prefix + job_id, body)
            if status is not None and 200 <= status < 300:
                return job_id
            await asyncio.sleep(1.0)
        raise CannotRun(f"job {job_id} was not accepted")

    async def state(self, prefix, job_id, *, note=True):
        """Return a job's state as a client sees it; None without one."""
        status, answer = await self.call("GET", prefix + job_id, note=note)
        return answer["state"] if status == 200 else status

    def active(self, prefix=""):
        """Return the runs that are active on running workers, by task."""
        active = {}
        for event in self.events():
            name = event.get("task", "")
            if not name.startswith(prefix) or not self.is_running(event["worker"]):
                continue
            if event["event"] == "start":
                active[name, event["run"]] = event
            elif event["event"] == "end":
                active.pop((name, event["run"]), None)
        return active


def route(name, *, priority=0, attempts=3):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": "desk",
        "timeout-ms": 3000,
        "priority": priority,
        "max-attempts": attempts,
        "stretch": 2.0,
        "target-latency-ms": 1200,
    }


def _free_ports(n_ports):
    sockets = [socket.socket() for _ in range(n_ports)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def run_case(check, record_path):
    """Run ``await check(cell, has_trouble)``; return the exit status of the case.

    `check` returns a list of breaches, each as text.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # All processes are ended, too, if the case itself is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    cell = Cell(record_path)
    try:
        breaches = asyncio.run(asyncio.wait_for(check(cell, has_trouble), 115))
    except (CannotRun, OSError, TimeoutError) as exc:
        cell.note("the case could not run", error=repr(exc))
        print(f"could not run: {exc!r}")
        return 2
    else:
        for text in breaches or ["the rule held"]:
            cell.note(text)
            print(text)
        return 1 if breaches else 0
    finally:
        cell.close()
