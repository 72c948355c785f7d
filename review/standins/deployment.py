"""A small deployment on loopback: the store, racks of workers and the cell's instances."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from http11 import call, serve
from store import Store

HERE = Path(__file__).resolve().parent
TOP = HERE.parents[1]

#: Time from the start of the instances to the start of traffic, as on the sites. Unit: seconds.
LEAD_S = 12.0

QUEUE = {
    "name": "orders",
    "host": "orders.example",
    "prefix": "/orders/",
    "service": "desk",
    "timeout-ms": 3000,
    "priority": 0,
    "max-attempts": 3,
    "stretch": 2.0,
    "target-latency-ms": 1000,
}


class Deployment:
    """Starts the processes of a deployment, and ends them when it is closed."""

    def __init__(self, *, racks=3, workers_per_rack=8, cpu=16000, instances=9, status_s=120):
        self.folder = Path(tempfile.mkdtemp())
        self.status_s = status_s
        pid = os.getpid()
        self._net = f"127.{64 + pid // 250 % 64}.{1 + pid % 250}"
        self.racks = {f"r{n}": self._rack(n, workers_per_rack, cpu) for n in range(racks)}
        self.instances = [f"edge-{n}" for n in range(instances)]
        self.fronts = {}
        self.processes = {}
        self.refusals = []
        self.store = Store(on_refused=lambda *why: self.refusals.append((time.monotonic(), *why)))

    def _address(self, last):
        host = f"{self._net}.{last}"
        with socket.socket() as probe:
            probe.bind((host, 0))
            return f"{host}:{probe.getsockname()[1]}"

    def _rack(self, number, n_workers, cpu):
        return {
            "rack": f"r{number}",
            "zone": f"hall-{number}",
            "service": "desk",
            "cpu": cpu,
            "mem-mb": 2 * cpu,
            "record": str(self.folder / f"r{number}.jsonl"),
            "workers": [
                [f"{random.getrandbits(64):016x}", self._address(100 + number)]
                for _ in range(n_workers)
            ],
        }

    async def start(self):
        """Start everything, and wait until traffic starts."""
        self.store_address = self._address(1)
        host, port = self.store_address.rsplit(":", 1)
        await serve(self.store.handle, host, int(port))
        self._expiry = asyncio.create_task(self.store.expire())
        self.store.put(
            "op",
            "config",
            {"version": 7, "services": [{"name": "desk"}], "routes": [QUEUE], "limits": {}},
        )
        for name in self.racks:
            self._start_rack(name)
        for number, name in enumerate(self.instances):
            self._write_settings(number, name)
            self.start_instance(name)
        await asyncio.sleep(LEAD_S)

    def _start_rack(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**self.racks[name], "store": self.store_address}))
        self._spawn(name, [sys.executable, str(HERE / "rack.py"), str(path)], {})

    def leader(self):
        """Return the name of the instance that the leader's row names, or None."""
        row = self.store.rows.get(("home", "cell", "home"))
        return json.loads(row[1])["holder"] if row else None

    def crash_rack(self, name):
        """End a rack's workers at once; return their ids, which do not come back."""
        self.kill(name)
        return {key for key, _ in self.racks[name]["workers"]}

    def restart_rack(self, name):
        """Start the workers of a crashed rack again: new ids at the same addresses."""
        workers = self.racks[name]["workers"]
        self.racks[name]["workers"] = [[new_id(), address] for _, address in workers]
        self._start_rack(name)

    def _write_settings(self, number, name):
        last = 10 + number
        settings = {
            "instance": name,
            "failure_domain": f"hall-{number % 3}",
            "listen": {
                "front": self._address(last),
                "ready": self._address(last),
                "peers": self._address(last),
                "metrics": self._address(last),
            },
            "store": self.store_address,
            "orders": "invocation",
            "advice": self.store_address,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "link_mbps": 1000.0,
            "cpu_share": 0.537,
            "cores": 2,
            "bounds": {
                "config_apply_s": 2.0,
                "grace_s": 6,
                "max_lease_s": 6.0,
                "stop_s": 0.9,
                "status_kept_s": self.status_s,
            },
        }
        self.fronts[name] = settings["listen"]["front"]
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def start_instance(self, name):
        """Start an instance with the command of the deploy file."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["ANVILFLOW_CONFIG"] = str(self.folder / f"{name}.json")
        self._spawn(name, ["python3", "-m", "anvilflow.cell"], env)

    def _spawn(self, name, command, env):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=TOP, env=env or None, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def send(self, name, number):
        """Send a signal to one of the processes that were started here."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process at once."""
        self.send(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self):
        """End all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder)

    def events(self):
        """Return what the workers have recorded, in the order of time."""
        found = []
        for rack in self.racks.values():
            if os.path.exists(rack["record"]):
                with open(rack["record"], encoding="utf-8") as file:
                    found += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(found, key=lambda event: event["at"])

    # Clients

    async def submit(self, job_id, job, *, tries=5, name=None):
        """Hand a job in with retries at other instances; return the last status."""
        status = None
        for _ in range(tries):
            front = self.fronts[name or random.choice(self.instances)]
            try:
                status, _ = await call(
                    front, "POST", f"/orders/{job_id}", job, host="orders.example"
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = None
            if status == 200:
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, job_id):
        """Return a job's state, or the status of an answer other than 200."""
        front = self.fronts[random.choice(self.instances)]
        try:
            status, body = await call(front, "GET", f"/orders/{job_id}", host="orders.example")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return body["state"] if status == 200 else status


def new_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"
