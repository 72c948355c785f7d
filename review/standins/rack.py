"""Stand-in for the workers of one rack: one process, so that a signal ends all of them at once.

    python3 rack.py SETTINGS

SETTINGS is a JSON file: `store`, `record`, `rack`, `workers` (rows of id and address), `cpu`,
`mem-mb`, `service`, `zone`. Each run, each end and the time at which an end was taken note of are
written to `record`, a file of JSON lines with the machine's steady clock.

The text of a job says what its tasks do: `seconds=S`, how long they run; `how=WORD`, how they end,
`done` if left out; `lasts=1`, that they are at work from their startup on.
"""

import asyncio
import contextlib
import json
import sys
import time

from http11 import call, serve

MAX_HOLD_S = 6.0
STOP_S = 0.3
HEARTBEAT_S = 1.5
STARTUP_S = 0.4
ENDS_PER_ANSWER = 500


class Worker:
    """One worker: starts what it is told to, under leases and fencing tokens."""

    def __init__(self, *, key, write):
        self.key = key
        self.write = write
        self.token = 0
        self.until = 0.0
        self.active = {}
        self.barred = {}
        self.finished = []
        self.n_ended = 0
        self.changed = asyncio.Event()

    def _clock_ms(self):
        return int(time.monotonic() * 1000)

    def _answer(self, status, **values):
        return status, {"clock-ms": self._clock_ms(), **values}

    async def handle(self, method, path, query, body, headers):
        """Answer one call."""
        if headers.get("x-expect-instance", self.key) != self.key:
            return self._answer(421)
        values = json.loads(body)
        if values.get("fencing-token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = values.get("fencing-token", 0)
        match path:
            case "/-/run-start":
                return self._start(values)
            case "/-/run-stop":
                return self._stop(values)
            case "/-/hold":
                return await self._hold(values)
            case "/-/pace":
                return self._answer(200)
            case _:
                return self._answer(400)

    def _extend(self, until_ms):
        longest = time.monotonic() + MAX_HOLD_S
        self.until = max(self.until, min(until_ms / 1000, longest))

    def _start(self, values):
        task, run = values["task"], values["run-id"]
        if task in self.active and self.active[task]["run"] == run:
            self._extend(values["until-ms"])
            return self._answer(200)
        if values["until-ms"] / 1000 <= time.monotonic():
            return self._answer(409, reason="late")
        self._extend(values["until-ms"])
        if task in self.active or run <= self.barred.get(task, 0):
            return self._answer(409, reason="old")
        text = dict(item.split("=") for item in values["spec"].split(";"))
        self.active[task] = {
            "run": run,
            "began": time.monotonic(),
            "seconds": float(text["seconds"]),
            "how": text.get("how", "done"),
            "lasts": "lasts" in text,
        }
        self.write(event="start", worker=self.key, task=task, run=run)
        return self._answer(200)

    def _stop(self, values):
        task, run = values["task"], values["run-id"]
        self.barred[task] = max(run, self.barred.get(task, 0))
        if task in self.active and self.active[task]["run"] <= run:
            item = self.active[task]
            asyncio.get_running_loop().call_later(STOP_S, self._end, task, item, "stopped")
        return self._answer(200)

    def _end(self, task, item, how):
        if self.active.get(task) is not item:
            return
        del self.active[task]
        self.barred[task] = max(item["run"], self.barred.get(task, 0))
        self.n_ended += 1
        self.finished.append([self.n_ended, task, item["run"], how, ""])
        self.write(event="end", worker=self.key, task=task, run=item["run"], how=how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _hold(self, values):
        if "until-ms" in values:
            self._extend(values["until-ms"])
        seen = values.get("last-seen", 0)
        for row in [row for row in self.finished if row[0] <= seen]:
            self.write(event="noted", worker=self.key, task=row[1], run=row[2])
        self.finished = [row for row in self.finished if row[0] > seen]
        if not self.finished and values.get("wait-ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(2000, values["wait-ms"]) / 1000)
        now = time.monotonic()
        active = [
            [task, item["run"], "", self._percent(item, now), 0]
            for task, item in self.active.items()
        ]
        return self._answer(200, active=active, finished=self.finished[:ENDS_PER_ANSWER])

    def _percent(self, item, now):
        if item["lasts"]:
            return 100 if now - item["began"] > STARTUP_S else 0
        return min(99, int(100 * (now - item["began"]) / item["seconds"]))

    def tick(self):
        """End the runs that are done, and all of them when the lease is over."""
        now = time.monotonic()
        is_lapsed = now > self.until
        for task, item in list(self.active.items()):
            if now >= item["began"] + item["seconds"]:
                self._end(task, item, item["how"])
            elif is_lapsed:
                self._end(task, item, "lapsed")


async def heartbeats(settings, key, address):
    """Keep the worker's entry in the store."""
    sequence = 0
    while True:
        sequence += 1
        entry = {
            "id": key,
            "service": settings["service"],
            "address": address,
            "zone": settings["zone"],
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": sequence,
            "capacity": {"cpu": settings["cpu"], "mem-mb": settings["mem-mb"], "gpu": 0},
            "labels": ["a", settings["rack"]],
        }
        with contextlib.suppress(OSError, TimeoutError):
            await call(settings["store"], "POST", "/standin/beat", entry)
        await asyncio.sleep(HEARTBEAT_S)


async def main(path):
    """Run the workers until the process is ended."""
    with open(path, encoding="utf-8") as file:
        settings = json.load(file)
    with open(settings["record"], "a", encoding="utf-8", buffering=1) as record:

        def write(**event):
            record.write(json.dumps({"at": round(time.monotonic(), 3), **event}) + "\n")

        await run_workers(settings, write)


async def run_workers(settings, write):
    """Run the workers of the rack."""
    workers = []
    beats = []
    for key, address in settings["workers"]:
        worker = Worker(key=key, write=write)
        host, port = address.rsplit(":", 1)
        await serve(worker.handle, host, int(port))
        workers.append(worker)
        beats.append(asyncio.create_task(heartbeats(settings, key, address)))
    while True:
        for worker in workers:
            worker.tick()
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
