"""Decoding of the jobs that clients submit."""

import re
from typing import Annotated

from msgspec import Meta

from ..exceptions import CallError
from ..jobs import Amount, JobSpec, StepSpec
from ..utils import decode
from ._wire import MAX_WHOLE_NUMBER, Wire

#: Valid job ids, which clients choose.
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")

#: Maximum length of the text for a job's tasks, a limit of the platform. Unit: bytes.
MAX_SPEC_BYTES = 4000

#: Maximum number of tasks of a job. Each takes a few hundred bytes of memory at the leader, which
#: has 300 MB; the largest job that users describe has some hundred tasks.
MAX_TASKS = 5000

#: Maximum numbers of steps and tasks of a job in all of its occurrences, which the leader keeps
#: until the job has ended. A row of 64 kB has space for the names of that many steps that are done.
MAX_STEPS_IN_ALL = 5000
MAX_TASKS_IN_ALL = 50_000

#: Longest duration that a job may state: ten years. Unit: milliseconds.
MAX_DURATION_MS = 10 * 365 * 86_400_000

_Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
_Time = Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _WireStep(Wire):
    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = 1
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: _Duration = 0
    after: list[int] = []
    gang: bool = False
    rack_sensitive: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: Amount = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: _Duration = 0
    may_miss: Amount = 0


class _WireJob(Wire):
    """Job; ``spec`` is only the text that is passed to its tasks."""

    spec: str = ""
    steps: list[_WireStep] = []
    repeat_count: Amount = 0
    first_ms: _Time = 0
    interval_ms: _Duration = 0


def decode_job(job_id, queue, body):
    """Return the :class:`JobSpec` in a request body; AF301 describes the first error."""
    wire = decode(body, _WireJob)
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise CallError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
    if not wire.steps:
        raise CallError("steps: a job must have at least one step")
    _check_size(wire)
    try:
        return JobSpec(
            job_id=job_id,
            queue=queue,
            payload=wire.spec,
            steps=tuple(_step(step) for step in wire.steps),
            first_at=wire.first_ms / 1000,
            interval_s=wire.interval_ms / 1000,
            n_occurrences=wire.repeat_count,
        )
    except ValueError as exc:
        raise CallError(str(exc)) from exc


def _check_size(wire):
    n_tasks = sum(step.count for step in wire.steps)
    if n_tasks > MAX_TASKS:
        raise CallError(f"steps: more than {MAX_TASKS} tasks in total")
    n_occurrences = max(1, wire.repeat_count)
    if n_occurrences * len(wire.steps) > MAX_STEPS_IN_ALL:
        raise CallError(f"repeat-count: more than {MAX_STEPS_IN_ALL} steps in all occurrences")
    if n_occurrences * n_tasks > MAX_TASKS_IN_ALL:
        raise CallError(f"repeat-count: more than {MAX_TASKS_IN_ALL} tasks in all occurrences")


def _step(wire):
    return StepSpec(
        n_tasks=wire.count,
        cpu_milli=wire.cpu,
        memory_mb=wire.mem_mb,
        accelerators=wire.gpu,
        estimate_s=wire.estimate_ms / 1000,
        after=tuple(wire.after),
        gang=wire.gang,
        rack_sensitive=wire.rack_sensitive,
        label=wire.requires,
        data_rack=wire.data_rack,
        max_per_worker=wire.anti_affinity,
        speculative=wire.speculative,
        long_running=wire.long_running,
        fills=wire.fills,
        checkpointing=wire.checkpointing,
        image=wire.image,
        target_s=wire.target_ms / 1000,
        max_unavailable=wire.may_miss,
    )
