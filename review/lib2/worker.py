"""Stand-in for one life of a worker: ``python3 worker.py SETTINGS`` with JSON as SETTINGS.

It follows "Running tasks" of PROTOCOL.md: fencing token, leases on its own steady clock, lists of
active and finished runs, stops. The text of a task, its `spec`, is JSON: `ms`, how long the task
works (0: until it is stopped), and `how`, its end; while the file `fails-while` exists, the task
ends as failed after 5 ms. Each start, refusal, end and acknowledgement is written to the file
`record` at once, so that it outlasts a SIGKILL.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

import wire

HOLD_MAX_S = 6.0
STOP_S = 0.1
FAILS_AFTER_S = 0.005
HEARTBEAT_S = 1.5
MAX_LISTED = 500


class Run:
    """A task that is running."""

    def __init__(self, task, run_id, spec):
        self.task, self.run_id = task, run_id
        work = json.loads(spec)
        self.seconds, self.how = work["ms"] / 1000, work.get("how", "done")
        if Path(work.get("fails-while", "/nonexistent")).exists():
            self.seconds, self.how = FAILS_AFTER_S, "failed"
        self.began_at = time.monotonic()
        self.timers = []

    def row(self):
        """Return the run's row in `active`."""
        age = time.monotonic() - self.began_at
        percent = min(99, int(100 * age / self.seconds)) if self.seconds else 100
        return [self.task, self.run_id, "", percent, 0]


class Worker:
    """State of the worker."""

    def __init__(self, settings):
        self.settings = settings
        self.token = 0
        self.active = {}
        self.finished = []
        self.n_ends = 0
        self.acknowledged = 0
        self.barred = {}
        self.until = 0.0
        self.lapse = None
        self.ended = asyncio.Event()
        self.record = open(settings["record"], "a", buffering=1, encoding="ascii")

    def note(self, event, **values):
        """Write a line to the record."""
        line = {"at": round(time.time(), 3), "worker": self.settings["id"], "event": event}
        self.record.write(json.dumps({**line, **values}) + "\n")

    async def handle(self, method, path, query, body, headers):
        """Answer a call."""
        if path == "/healthz":
            return 200, {}
        if headers.get("x-expect-instance", self.settings["id"]) != self.settings["id"]:
            return 421, self.answer()
        call = json.loads(body)
        token = call.get("fencing-token", 0)
        if token < self.token:
            return 409, self.answer(reason="fence")
        self.token = token
        match path:
            case "/-/run-start":
                return self.start(call)
            case "/-/run-stop":
                return self.stop(call)
            case "/-/hold":
                return await self.hold(call)
            case "/-/pace":
                return 200, self.answer()
        return 404, {}

    def answer(self, **values):
        return {"clock-ms": int(time.monotonic() * 1000), **values}

    def start(self, call):
        task, run_id = call["task"], call["run-id"]
        run = self.active.get(task)
        if run is not None and run.run_id == run_id:
            return 200, self.answer()
        self.renew(call["until-ms"] / 1000)
        if run is not None or run_id <= self.barred.get(task, 0):
            return self.refuse(task, run_id, "old")
        if call["until-ms"] / 1000 <= time.monotonic():
            return self.refuse(task, run_id, "late")
        run = self.active[task] = Run(task, run_id, call["spec"])
        self.note("start", task=task, run=run_id, token=self.token)
        if run.seconds:
            run.timers.append(self.later(run.seconds, lambda: self.end(run, run.how)))
        return 200, self.answer()

    def refuse(self, task, run_id, reason):
        self.note("refused", task=task, run=run_id, reason=reason)
        return 409, self.answer(reason=reason)

    def stop(self, call):
        task, run_id = call["task"], call["run-id"]
        self.barred[task] = max(run_id, self.barred.get(task, 0))
        run = self.active.get(task)
        if run is not None and run.run_id <= run_id:
            run.timers.append(self.later(STOP_S, lambda: self.end(run, "stopped")))
        return 200, self.answer()

    async def hold(self, call):
        if "until-ms" in call:
            self.renew(call["until-ms"] / 1000)
        seen = call.get("last-seen", 0)
        if seen > self.acknowledged:
            self.note("acknowledged", number=seen)
            self.acknowledged = seen
            self.finished = [end for end in self.finished if end[0] > seen]
        wait_s = min(2000, call.get("wait-ms", 0)) / 1000
        if wait_s and not self.finished:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except TimeoutError:
                pass
        active = [run.row() for run in self.active.values()]
        return 200, self.answer(active=active, finished=self.finished[:MAX_LISTED])

    def renew(self, until):
        self.until = max(self.until, min(until, time.monotonic() + HOLD_MAX_S))
        if self.lapse is not None:
            self.lapse.cancel()
        self.lapse = self.later(max(0.0, self.until - time.monotonic()), self.lapse_all)

    def lapse_all(self):
        for run in list(self.active.values()):
            self.end(run, "lapsed")

    def end(self, run, how):
        if self.active.get(run.task) is not run:
            return
        del self.active[run.task]
        for timer in run.timers:
            timer.cancel()
        self.barred[run.task] = max(run.run_id, self.barred.get(run.task, 0))
        self.n_ends += 1
        self.finished.append([self.n_ends, run.task, run.run_id, how, ""])
        self.note("end", task=run.task, run=run.run_id, how=how, number=self.n_ends)
        self.ended.set()

    def later(self, delay_s, act):
        return asyncio.get_running_loop().call_later(delay_s, act)

    async def register(self, address):
        """Write the registry entry once per heartbeat interval."""
        entry = {
            "service": self.settings["service"],
            "address": address,
            "zone": "zone-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {
                "cpu": self.settings["cpu"],
                "mem-mb": self.settings["mem-mb"],
                "gpu": 0,
            },
            "labels": ["a", self.settings["rack"]],
        }
        sequence = 0
        while True:
            sequence += 1
            value = {**entry, "sequence": sequence}
            row = {"table": "servers", "key": self.settings["id"], "value": value}
            try:
                await wire.call(self.settings["store"], "POST", "/standin/put", row)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_S)


async def main(settings):
    worker = Worker(settings)
    server = await wire.serve(worker.handle, "127.0.0.1")
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    worker.note("up", address=address)
    await worker.register(address)


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
