"""Cost of accounts at the intended size of a cell: 250 accounts with 10,000 keys.

Prints the time of a key's check and of the accounting of one start with its end, and the time and
the memory of decoding a configuration.
"""

import time
import tracemalloc

from anvilflow.jobs import ClientAccount, JobRun, JobSpec, Queue, StepSpec
from anvilflow.jobs._account_usage import AccountUsage
from anvilflow.platform import decode_config
from anvilflow.standins import make_platform_config
from anvilflow.utils import encode

N_ACCOUNTS = 250
N_KEYS_PER_ACCOUNT = 40
N_REPEATS = 100_000

QUEUE = Queue(name="q", host="h", prefix="/q/", service="s")
STEP = StepSpec(n_tasks=4, cpu_milli=1000, memory_mb=2000)


def _key(account, number):
    return f"key-{account:04d}-{number:04d}-0123456789"


def _make_body():
    accounts = [
        {
            "name": f"account-{account}",
            "api-keys": [_key(account, number) for number in range(N_KEYS_PER_ACCOUNT)],
            "weight": 2,
            "maximum": {"cpu": 1_000_000, "mem-mb": 2_000_000, "gpu": 0},
        }
        for account in range(N_ACCOUNTS)
    ]
    return encode(make_platform_config(tenants=accounts))


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
    keys = [
        _key(n % N_ACCOUNTS, n // N_ACCOUNTS % (2 * N_KEYS_PER_ACCOUNT)) for n in range(N_REPEATS)
    ]
    check_us = _microseconds(config.account_with_key, keys)
    usage = AccountUsage()
    jobs = [
        JobRun(
            spec=JobSpec(job_id=f"{n:016x}", queue="q", steps=(STEP,)),
            queue=QUEUE,
            version=1,
            now=0.0,
            wall_now=0.0,
            account=ClientAccount(name=f"account-{n}", max_cpu_milli=1_000_000),
        )
        for n in range(N_ACCOUNTS)
    ]

    def account(job):
        job.account.n_allowed(STEP, usage.used(job.account.name))
        usage.add(job, STEP)
        usage.remove(job, STEP)

    account_us = _microseconds(account, [jobs[n % N_ACCOUNTS] for n in range(N_REPEATS)])
    print(f"{N_ACCOUNTS} accounts, {len(config.keys)} keys, {len(body)} bytes")
    print(f"decoding: {decoding_ms:.1f} ms, {memory_mb:.2f} MB")
    print(f"check of a key: {check_us:.2f} us")
    print(f"accounting of a start and its end: {account_us:.2f} us")


if __name__ == "__main__":
    main()
