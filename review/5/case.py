"""A task that lasts has failed often when the leader is killed; the next leader cannot start it."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from cell import CannotRun, route, run_case  # noqa: E402

N_WORKERS = 8
LASTING = {"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 400, "long-running": True}

#: Number of failed runs after which the cause of the failures is removed.
N_FAILED = 1000
MAX_FAILING_S = 65.0

#: Other work, so that the workers do not count as faulty and the task is started again at once.
OTHER = {"count": 200, "cpu": 5500, "mem-mb": 512, "estimate-ms": 50}
OTHER_MS = 50

#: Time without a run after which the leader is killed: a back-off of 4 or 8 s goes on.
PAUSE_S = 2.6

#: A task that lasts has to run again within 6 s and 3 s more; calm begins 3 s after the kill.
WATCH_S = 18.0
RUNS_AGAIN_S = 16.0


def runs(cell, job_id):
    """Return the starts and the ends of a job's task."""
    events = [each for each in cell.events() if each.get("task", "").startswith(job_id)]
    starts = [each for each in events if each["event"] == "start"]
    return starts, [each for each in events if each["event"] == "end"]


async def fail_often(cell, job_id):
    """Let the task fail while other jobs run on all workers."""
    until = time.monotonic() + MAX_FAILING_S
    while len(runs(cell, job_id)[0]) < N_FAILED:
        if time.monotonic() > until:
            raise CannotRun(f"the task was started only {len(runs(cell, job_id)[0])} times")
        await cell.submit("/quick/", [OTHER], {"ms": OTHER_MS})
        await asyncio.sleep(0.5)


async def await_pause(cell, job_id):
    """Wait until the task waits for its next start, as its workers have a back-off."""
    until = time.monotonic() + 25
    while time.monotonic() < until:
        starts, ends = runs(cell, job_id)
        if len(starts) == len(ends) and time.time() - ends[-1]["at"] > PAUSE_S:
            return
        await asyncio.sleep(0.05)
    raise CannotRun("the task was started without a pause")


async def check(cell, has_trouble):
    await cell.start_store([route("quick"), route("lasting", priority=1)])
    for number in range(N_WORKERS):
        cell.start_worker(f"r{number // 4}")
    for name in ("edge-1", "edge-2", "edge-3"):
        cell.start_instance(name)
    await cell.await_ready(3)
    await asyncio.sleep(2.0)
    cause = cell.folder / "cause"
    cause.write_text("")
    spec = {"ms": 0, "fails-while": str(cause)}
    lasting = await cell.submit("/lasting/", [LASTING], spec)
    await fail_often(cell, lasting)
    await asyncio.sleep(3.0)
    leader = cell.leader()
    await await_pause(cell, lasting)
    cause.unlink()
    if has_trouble:
        cell.send(leader)
    starts, _ = runs(cell, lasting)
    cell.note("the cause is removed", runs=len(starts), last_run=starts[-1]["run"])

    began_at = time.monotonic()
    runs_again_after_s = None
    others = []
    while time.monotonic() < began_at + WATCH_S and runs_again_after_s is None:
        if cell.active(lasting):
            runs_again_after_s = round(time.monotonic() - began_at, 1)
        if len(others) < 5 and time.monotonic() > began_at + 3:
            others.append(await cell.submit("/quick/", [{**OTHER, "count": 1}], {"ms": 50}))
        await asyncio.sleep(0.5)
    await asyncio.sleep(1.0)
    states = [await cell.state("/quick/", each) for each in others]
    state = await cell.state("/lasting/", lasting)
    refused = [each for each in cell.events() if each["event"] == "refused"]
    n_old = sum(each["task"].startswith(lasting) and each["reason"] == "old" for each in refused)
    cell.note(
        "task that lasts",
        state=state,
        runs_again_after_s=runs_again_after_s,
        starts_refused_as_old=n_old,
    )
    if any(each != "completed" for each in states):
        raise CannotRun(f"other jobs were not completed: {states}")
    if runs_again_after_s is None or runs_again_after_s > RUNS_AGAIN_S:
        return [
            f"LOST: the task that lasts had nothing running for {WATCH_S} s after the leader was "
            f"killed, on {N_WORKERS} workers that are free; {n_old} starts were refused as old"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER / "record.txt"))
