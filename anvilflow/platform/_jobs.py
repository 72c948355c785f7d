"""Decoding of the jobs that clients submit."""

import re

from ..exceptions import CallError
from ..jobs import JobSpec, StepSpec
from ..utils import decode
from ._wire import Wire

#: Valid job ids, which clients choose.
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")

#: Maximum length of the text for a job's tasks, a limit of the platform. Unit: bytes.
MAX_SPEC_BYTES = 4000

#: Maximum number of tasks of a job. Each takes a few hundred bytes of memory at the leader, which
#: has 300 MB; the largest job that users describe has some hundred tasks.
MAX_TASKS = 5000


class _WireStep(Wire):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    gang: bool = False
    rack_sensitive: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: float = 0
    may_miss: int = 0


class _WireJob(Wire):
    """Job; ``spec`` is only the text that is passed to its tasks."""

    spec: str = ""
    steps: list[_WireStep] = []
    repeat_count: int = 0
    first_ms: float = 0
    interval_ms: float = 0


def decode_job(job_id, queue, body):
    """Return the :class:`JobSpec` in a request body; AF301 describes the first error."""
    wire = decode(body, _WireJob)
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise CallError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
    if not wire.steps:
        raise CallError("steps: a job must have at least one step")
    if sum(step.count for step in wire.steps) > MAX_TASKS:
        raise CallError(f"steps: more than {MAX_TASKS} tasks in total")
    return JobSpec(
        job_id=job_id,
        queue=queue,
        payload=wire.spec,
        steps=tuple(_step(step, number) for number, step in enumerate(wire.steps)),
        first_at=wire.first_ms / 1000,
        interval_s=wire.interval_ms / 1000,
        n_occurrences=wire.repeat_count,
    )


def _step(wire, number):
    if wire.count < 1 or min(wire.cpu, wire.mem_mb, wire.gpu, wire.anti_affinity) < 0:
        raise CallError(
            f"steps[{number}]: count must be at least 1, and amounts must not be negative"
        )
    if any(not 0 <= earlier < number for earlier in wire.after):
        raise CallError(
            f"steps[{number}].after: only numbers of earlier steps are allowed, counted from 0"
        )
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
