"""Checks of a client's call: its API key, and the maximum of its account."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import (
    AccountLimitError,
    PlatformError,
    UnauthorizedError,
    UnknownOutcomeError,
    UnprovenConfigError,
)
from ._job_store import read_stored_job

#: Retry-After of a call whose key cannot be checked here. Over a new connection it may reach
#: another instance at once. Unit: seconds.
UNPROVEN_RETRY_AFTER_S = 1


@inlineCallbacks
def authorize(context, queue, key):
    """Return the :class:`ClientAccount` that makes a call, None for a call without a key.

    Where revocation is strict, a key counts only while the configuration is proven: a call that was
    read later than `revoke_s` after the time as of which it is proven is refused.

    Parameters
    ----------
    context : CellContext
    queue : Queue
    key : str or None

    Raises
    ------
    UnauthorizedError
        AF308: the key is missing, or no account has it.
    UnprovenConfigError
        AF205: this instance cannot check the key.
    """
    if not context.uses_keys or (key is None and queue.public):
        return None
    if key is None:
        raise UnauthorizedError("the call has no API key")
    if context.keys_checkable_s < 0 and not context.store_health.is_failing:
        yield context.config_part.confirm()
    if context.keys_checkable_s < 0:
        context.meters.count("unproven_refusals")
        raise UnprovenConfigError(
            "whether the API key is in force is not known",
            details={"retry_after_s": UNPROVEN_RETRY_AFTER_S},
        )
    account = context.config.account_with_key(key)
    if account is None:
        raise UnauthorizedError("no account has the API key")
    return account


@inlineCallbacks
def refuse_if_above_maximum(store, spec, account):
    """Refuse a job that can never run as its account's maximum is too low.

    A copy of a job that was accepted under a higher maximum is not refused.

    Raises
    ------
    AccountLimitError
        AF309: a task or a gang exceeds the maximum by itself.
    UnknownOutcomeError
        AF305: it does, and whether the job was accepted before is not known.
    """
    if account is None or all(account.can_ever_run(step) for step in spec.steps):
        return
    try:
        state, _ = yield read_stored_job(store, spec.job_id, account.name)
    except PlatformError as exc:
        raise UnknownOutcomeError("whether the job was accepted before is not known") from exc
    if state is None:
        raise AccountLimitError(
            f"the job was not accepted: a task or gang exceeds the maximum of {account.name}"
        )
