"""Admission of a job at a gateway: what is asked, and the refusal."""

from twisted.internet.defer import CancelledError, TimeoutError, inlineCallbacks

from ..admission import Admit, JobRequest, processor_time
from ..exceptions import OverloadedError, PlatformError
from ..jobs import longest_chain_s
from ._job_store import is_stored

#: Timeout of the read that shows that a job to be refused is not stored. A refusal is sent within
#: 0.05 s of the call, or not at all. Unit: seconds.
READ_TIMEOUT_S = 0.04


def make_request(spec, queue, account):
    """Return the :class:`JobRequest` of a job."""
    chain_s = longest_chain_s(spec.steps)
    return JobRequest(
        service=queue.service,
        priority=queue.priority,
        objective_s=_objective_s(spec, queue, chain_s),
        chain_s=chain_s,
        work=processor_time(spec.steps),
        account=account.name if account is not None else "",
        weight=account.weight if account is not None else 0.0,
    )


def _objective_s(spec, queue, chain_s):
    """Return the time from its acceptance within which a job should be done. Unit: seconds.

    A job with long-running steps or with later occurrences has no such objective: infinity.
    """
    if spec.n_occurrences or any(step.long_running for step in spec.steps):
        return float("inf")
    return queue.stretch * chain_s + queue.target_latency_s


@inlineCallbacks
def refuse_if_late(context, log, spec, queue, request):
    """Refuse a job that would be done too late to be of use to its caller.

    If it were accepted it would be late itself and delay other jobs. A job that is stored already,
    or whose row cannot be read, is not refused: the refusal states that the job was not accepted,
    which might not be true.

    Parameters
    ----------
    context : CellContext
    log : Logger
    spec : JobSpec
    queue : Queue
    request : JobRequest

    Raises
    ------
    OverloadedError
        AF306, with the time after which the job may come again.
    """
    policy = context.settings.policy
    is_on = policy.admission == "on"
    gate = context.admission
    decision = gate.decide(
        request,
        factor=policy.admission_factor if is_on else None,
        has_shares=is_on and policy.shares == "on",
    )
    if isinstance(decision, Admit) or context.store_health.is_failing:
        return
    read = is_stored(context.store, spec.job_id)
    if is_on:
        read.addTimeout(READ_TIMEOUT_S, context.clock)
    try:
        is_accepted = yield read
    except (PlatformError, TimeoutError, CancelledError):
        return
    if is_accepted:
        return
    retry_after_s = decision.retry_after_s
    if is_on:
        retry_after_s = gate.note_refused(request, decision)
    context.meters.count("refusals", decision.reason)
    log.info(
        "job refused",
        job=spec.job_id,
        account=request.account,
        queue=queue.name,
        reason=decision.reason,
        wait_s=round(decision.wait_s, 3),
        max_wait_s=round(decision.max_wait_s, 3),
        objective_s=round(request.objective_s, 3),
        retry_after_s=round(retry_after_s, 3),
        report_age_s=round(gate.report_age_s, 3),
    )
    raise OverloadedError(
        "the job was not accepted: it would be done too late",
        details={"retry_after_s": retry_after_s},
    )
