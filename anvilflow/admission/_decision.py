"""Decision of a gateway whether to accept a job."""

from msgspec import Struct

#: Bounds of the time after which a refused job may come again. Unit: seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0


class JobRequest(Struct, kw_only=True, frozen=True):
    """What the admission of a job depends on.

    Parameters
    ----------
    service : str
    priority : int
    objective_s : float
        Time from its acceptance within which the job should be done; infinity: none. Unit:
        seconds.
    chain_s : float, default=0.0
        Duration of its longest chain of dependent steps. Unit: seconds.
    work : float, default=0.0
        Processor time of its tasks. Unit: thousandths of a core times seconds.
    account : str, default=""
        Name of its account; empty: none.
    weight : float, default=0.0
        Guaranteed rate of the account. Unit: jobs per second.
    """

    service: str
    priority: int
    objective_s: float
    chain_s: float = 0.0
    work: float = 0.0
    account: str = ""
    weight: float = 0.0


class Outlook(Struct, kw_only=True, frozen=True):
    """What a new job has to expect now, by the leader's last report.

    Parameters
    ----------
    start_delay_s : float, default=0.0
        Time for which starts wait to be sent. Unit: seconds.
    wait_s : float, default=0.0
        Time until capacity is free for the job. Unit: seconds.
    guaranteed_wait_s : float, default=0.0
        The same without the jobs beyond the guaranteed rates of their accounts. Unit: seconds.
    is_guaranteed : bool, default=False
        Whether the job is within the guaranteed rate of its account.
    has_excess : bool, default=False
        Whether other jobs are beyond the rates of their accounts.
    """

    start_delay_s: float = 0.0
    wait_s: float = 0.0
    guaranteed_wait_s: float = 0.0
    is_guaranteed: bool = False
    has_excess: bool = False


class Admit(Struct, frozen=True):
    """The job is accepted."""


class Refuse(Struct, kw_only=True, frozen=True):
    """The job is refused.

    Parameters
    ----------
    reason : {"capacity", "starts"}
        What the job would wait for: free capacity, or the sending of its starts.
    wait_s : float
        Expected wait. Unit: seconds.
    max_wait_s : float
        Longest wait with which the job would have been accepted. Unit: seconds.
    retry_after_s : float
        Time after which the job may come again. Unit: seconds.
    """

    reason: str
    wait_s: float
    max_wait_s: float
    retry_after_s: float


def decide_admission(request, outlook, *, factor):
    """Return :class:`Admit` or :class:`Refuse` for a job.

    Parameters
    ----------
    request : JobRequest
    outlook : Outlook
    factor : float or None
        Multiple of its objective up to which the completion of a job is of use to its caller.
        None: capacity is left out, and a job is refused only if its starts alone are later than
        its objective.

    Examples
    --------
    >>> request = JobRequest(service="s", priority=0, objective_s=2.0, chain_s=1.0)
    >>> decide_admission(request, Outlook(wait_s=4.0), factor=3.0)
    Admit()
    >>> decide_admission(request, Outlook(wait_s=7.5), factor=3.0).retry_after_s
    2.5
    """
    if factor is None:
        return _decide_by_start_delay(request, outlook.start_delay_s)
    if request.objective_s <= 0:
        # A job without estimates: no time is known at which it is of no use any more.
        return Admit()
    max_wait_s = max(0.0, factor * request.objective_s - request.chain_s)
    wait_s = max(outlook.wait_s, outlook.start_delay_s)
    if wait_s <= max_wait_s:
        return Admit()
    if outlook.is_guaranteed:
        start_delay_s = 0.0 if outlook.has_excess else outlook.start_delay_s
        if max(outlook.guaranteed_wait_s, start_delay_s) <= max_wait_s:
            return Admit()
    return Refuse(
        reason="starts" if outlook.start_delay_s > outlook.wait_s else "capacity",
        wait_s=wait_s,
        max_wait_s=max_wait_s,
        retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s - max_wait_s)),
    )


def _decide_by_start_delay(request, start_delay_s):
    if start_delay_s <= request.objective_s:
        return Admit()
    return Refuse(
        reason="starts",
        wait_s=start_delay_s,
        max_wait_s=request.objective_s,
        retry_after_s=min(MAX_RETRY_AFTER_S, start_delay_s),
    )
