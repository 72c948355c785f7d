"""The leader's report on the work ahead of new jobs, as fields of its heartbeats."""

from ..admission import BacklogReport, QueueWait
from ..exceptions import ReportError
from ..peers.gen.ttypes import CapacityWait

#: Longest wait and highest rate that a report may state: an hour, and a million cores. Units:
#: milliseconds, thousandths of a core.
MAX_WAIT_MS = 3_600_000
MAX_RATE_MILLI = 1_000_000_000

#: Longest start delay that its field can state. Unit: milliseconds.
MAX_DELAY_MS = 2**31 - 1

#: Greatest number of a priority, either sign.
MAX_PRIORITY = 2**31 - 1

#: Greatest growth of a wait. Unit: milliseconds per second.
MAX_INFLOW_PERMILLE = 1_000_000

#: Size of the waits and of the accounts in one heartbeat. Unit: bytes.
MAX_WAITS_BYTES = 1200
MAX_ACCOUNTS_BYTES = 600

#: Upper bound of the size of a wait without its service's name, and of what precedes a name. Unit:
#: bytes.
_WAIT_BYTES = 38
_NAME_BYTES = 4


def write_report(heartbeat, report):
    """Set the fields of a :class:`HomeBeat` that state a :class:`BacklogReport`.

    The longest waits come first where they do not all fit. Accounts that do not fit are taken for
    ones within their rates.
    """
    heartbeat.start_waits = {
        key: _bounded(1000 * delay_s, MAX_DELAY_MS) for key, delay_s in report.start_delays.items()
    } or None
    waits = sorted(report.waits, key=lambda wait: -wait.wait_s)
    waits = _select_within(
        waits, MAX_WAITS_BYTES, lambda wait: len(wait.service.encode()) + _WAIT_BYTES
    )
    accounts = _select_within(
        sorted(report.excess_accounts),
        MAX_ACCOUNTS_BYTES,
        lambda name: len(name.encode()) + _NAME_BYTES,
    )
    heartbeat.capacity_waits = [_write_wait(wait) for wait in waits] or None
    heartbeat.excess_accounts = accounts or None
    if waits or accounts:
        heartbeat.n_instances = report.n_instances


def _write_wait(wait):
    return CapacityWait(
        service_name=wait.service,
        priority=wait.priority,
        wait_ms=_bounded(1000 * wait.wait_s, MAX_WAIT_MS),
        guaranteed_ms=_bounded(1000 * wait.guaranteed_wait_s, MAX_WAIT_MS),
        rate_milli=_bounded(wait.rate_milli, MAX_RATE_MILLI),
        inflow_permille=_bounded(1000 * wait.inflow, MAX_INFLOW_PERMILLE),
        objective_ms=_bounded(1000 * wait.objective_s, MAX_WAIT_MS),
    )


def _bounded(value, maximum):
    return round(min(maximum, max(0, value)))


def _select_within(values, max_bytes, size_of):
    selected = []
    n_bytes = 0
    for value in values:
        n_bytes += size_of(value)
        if n_bytes > max_bytes:
            break
        selected.append(value)
    return selected


def read_report(heartbeat):
    """Return the :class:`BacklogReport` in a heartbeat, and a :class:`ReportError` or None.

    Parts of the report that cannot be true are left out; the error names the first of them. A
    leader of an earlier release states start delays only.
    """
    errors = []
    delays = {}
    for priority, delay_ms in (heartbeat.start_waits or {}).items():
        if _is_within(delay_ms, float("inf")):
            delays[priority] = min(delay_ms, MAX_DELAY_MS) / 1000
        else:
            errors.append(ReportError(f"start delay of priority {priority}: {delay_ms} ms"))
    waits = []
    for wait in heartbeat.capacity_waits or ():
        if _is_plausible(wait):
            waits.append(_read_wait(wait))
        else:
            errors.append(ReportError(f"wait for capacity: {wait}"))
    n_instances = heartbeat.n_instances
    report = BacklogReport(
        start_delays=delays,
        waits=tuple(waits),
        excess_accounts=frozenset(heartbeat.excess_accounts or ()),
        n_instances=n_instances if n_instances and n_instances > 0 else 1,
    )
    return report, errors[0] if errors else None


def _is_within(value, maximum):
    return isinstance(value, int | float) and 0 <= value <= maximum


def _is_plausible(wait):
    return (
        bool(wait.service_name)
        and wait.priority is not None
        and abs(wait.priority) <= MAX_PRIORITY
        and _is_within(wait.wait_ms, MAX_WAIT_MS)
        and _is_within(wait.guaranteed_ms, MAX_WAIT_MS)
        and _is_within(wait.rate_milli, MAX_RATE_MILLI)
        and _is_within(wait.inflow_permille, MAX_INFLOW_PERMILLE)
        and _is_within(wait.objective_ms, MAX_WAIT_MS)
    )


def _read_wait(wait):
    return QueueWait(
        service=wait.service_name,
        priority=wait.priority,
        wait_s=wait.wait_ms / 1000,
        guaranteed_wait_s=wait.guaranteed_ms / 1000,
        rate_milli=wait.rate_milli,
        inflow=wait.inflow_permille / 1000,
        objective_s=wait.objective_ms / 1000,
    )
