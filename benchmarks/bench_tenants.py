"""Cost of tenants at the intended size of a cell: 250 tenants with 10,000 keys.

Prints the time of a key's check and of the accounting of one start with its end, and the time and
the memory of decoding a configuration.
"""

import time
import tracemalloc

from anvilflow.jobs import JobRun, JobSpec, Queue, StepSpec, Tenant
from anvilflow.jobs._tenant_usage import TenantUsage
from anvilflow.platform import decode_config
from anvilflow.standins import make_platform_config
from anvilflow.utils import encode

N_TENANTS = 250
N_KEYS_PER_TENANT = 40
N_REPEATS = 100_000

QUEUE = Queue(name="q", host="h", prefix="/q/", service="s")
STEP = StepSpec(n_tasks=4, cpu_milli=1000, memory_mb=2000)


def _key(tenant, number):
    return f"key-{tenant:04d}-{number:04d}-0123456789"


def _make_body():
    tenants = [
        {
            "name": f"tenant-{tenant}",
            "api-keys": [_key(tenant, number) for number in range(N_KEYS_PER_TENANT)],
            "weight": 2,
            "maximum": {"cpu": 1_000_000, "mem-mb": 2_000_000, "gpu": 0},
        }
        for tenant in range(N_TENANTS)
    ]
    return encode(make_platform_config(tenants=tenants))


def _microseconds(call, values):
    began = time.perf_counter()
    for value in values:
        call(value)
    return 1e6 * (time.perf_counter() - began) / len(values)


def main():
    """Print the measurements."""
    body = _make_body()
    began = time.perf_counter()
    decode_config(body)
    decoding_ms = 1e3 * (time.perf_counter() - began)
    tracemalloc.start()
    config = decode_config(body)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    keys = [_key(n % N_TENANTS, n // N_TENANTS % (2 * N_KEYS_PER_TENANT)) for n in range(N_REPEATS)]
    check_us = _microseconds(config.tenant_with_key, keys)
    usage = TenantUsage()
    jobs = [
        JobRun(
            spec=JobSpec(job_id=f"{n:016x}", queue="q", steps=(STEP,)),
            queue=QUEUE,
            version=1,
            now=0.0,
            wall_now=0.0,
            tenant=Tenant(name=f"tenant-{n}", max_cpu_milli=1_000_000),
        )
        for n in range(N_TENANTS)
    ]

    def account(job):
        job.tenant.n_allowed(STEP, usage.used(job.tenant.name))
        usage.add(job, STEP)
        usage.remove(job, STEP)

    account_us = _microseconds(account, [jobs[n % N_TENANTS] for n in range(N_REPEATS)])
    print(f"{N_TENANTS} tenants, {len(config.keys)} keys, {len(body)} bytes")
    print(f"decoding: {decoding_ms:.1f} ms, {memory_mb:.2f} MB")
    print(f"check of a key: {check_us:.2f} us")
    print(f"accounting of a start and its end: {account_us:.2f} us")


if __name__ == "__main__":
    main()
