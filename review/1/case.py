"""Jobs accepted around a change of leader run again at a later change, long after they are done."""

import asyncio
import os
import signal

from deployment import new_id
from harness import TROUBLE, Case, run

#: Time for which states of ended jobs are kept. The sheets say 120 s. A run must fit into 120 s,
#: and the fault shows once the rows of ended jobs are removed, 10 to 15 s after that time. With
#: STATUS_S=120 the case takes 190 s. Unit: seconds.
STATUS_S = int(os.environ.get("STATUS_S", "20"))

#: Jobs a second, each with one task, and the duration of the task. Unit: seconds.
JOBS_PER_S = 15
TASK_S = 0.3

#: From the start of traffic to the kill, to the restart of the killed process, and to the end of
#: traffic after that. Units: seconds.
KILL_AFTER_S = 3.0
DOWN_S = 2.0
TRAFFIC_AFTER_S = 3.0

#: From the end of traffic to the planned restart: the rows of all ended jobs are removed by then.
#: Unit: seconds.
QUIET_S = STATUS_S + 22.0

#: Machines that are stopped and started in turn as planned work, each time the one that leads; the
#: time from SIGTERM to the new start, and from a start to the next SIGTERM or the verdict. Units:
#: seconds.
N_RESTARTS = 3
GRACE_S = 6.0
NEXT_S = 2.0


class LateReport(Case):
    """Jobs are handed in around the loss of the leader; it is replaced again later."""

    def __init__(self, deployment, record):
        super().__init__(deployment, record)
        self.accepted = set()

    async def hand_in(self):
        """Hand one job in."""
        job_id = new_id()
        step = {"count": 1, "cpu": 500, "mem-mb": 16, "estimate-ms": int(1000 * TASK_S)}
        self.note(f"job {job_id}: sent")
        status = await self.deployment.submit(
            job_id, {"spec": f"seconds={TASK_S}", "steps": [step]}
        )
        self.note(f"job {job_id}: answered {status}")
        if status == 200:
            self.accepted.add(job_id)

    async def hand_in_until(self, stopped):
        """Hand jobs in until `stopped` is set."""
        pending = []
        while not stopped.is_set():
            pending.append(asyncio.create_task(self.hand_in()))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*pending)

    async def play(self):
        """Play the case; return whether the rule held."""
        await self.deployment.start()
        stopped = asyncio.Event()
        traffic = asyncio.create_task(self.hand_in_until(stopped))
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            await self.kill_leader()
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(TRAFFIC_AFTER_S)
        stopped.set()
        await traffic
        self.note(f"traffic ends, {len(self.accepted)} jobs accepted")
        await asyncio.sleep(QUIET_S)
        n_rows = sum(table in ("jobs", "ended") for table, _, _ in self.deployment.store.rows)
        self.note(f"rows of jobs in the store: {n_rows}")
        for _ in range(N_RESTARTS):
            if TROUBLE:
                await self.restart_leader()
            else:
                await asyncio.sleep(GRACE_S)
            await asyncio.sleep(NEXT_S)
        return self.judge()

    async def kill_leader(self):
        """Kill the leading process; the platform starts it again."""
        name = self.deployment.leader()
        self.deployment.kill(name)
        self.note(f"{name}, which leads, was killed")
        await asyncio.sleep(DOWN_S)
        self.deployment.start_instance(name)
        self.note(f"{name} was started again")

    async def restart_leader(self):
        """Stop the leading process as planned work, and start it again."""
        name = self.deployment.leader()
        self.deployment.send(name, signal.SIGTERM)
        self.note(f"{name}, which leads, was sent SIGTERM")
        await asyncio.sleep(GRACE_S)
        self.deployment.kill(name)
        self.deployment.start_instance(name)
        self.note(f"{name} was started again")

    def judge(self):
        """Judge TWICE by what the workers saw."""
        events = self.deployment.events()
        noted = {(e["task"], e["run"]) for e in events if e["event"] == "noted"}
        done = {}
        again = []
        self.note_events(events)
        for event in events:
            task = event["task"]
            is_done = event["event"] == "end" and event["how"] == "done"
            if is_done and (task, event["run"]) in noted:
                done.setdefault(task, event)
            if event["event"] == "start" and task in done:
                again.append((event, done[task]))
        for event, former in again:
            self.note(
                f"TWICE: task {event['task']}, run {former['run']} ended done at "
                f"{former['at'] - self.began_at:.2f} and was taken note of; run {event['run']} "
                f"started at {event['at'] - self.began_at:.2f}"
            )
        self.note(f"{len(done)} tasks done and taken note of, {len(again)} started again")
        return not again if done else None


if __name__ == "__main__":
    run(LateReport, limit_s=98 + STATUS_S, status_s=STATUS_S)
