"""Idempotency keys of requests: claims and outcomes, stored in the table."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import Condition, Write
from ..decisions import Outcome
from ..exceptions import PlatformError, PreconditionError
from ._calls import RequestAnswer, not_run_answer, unknown_answer
from ._events import CommitRequest

#: Largest result that is stored with an idempotency key. Unit: bytes.
_MAX_KEPT_RESULT_BYTES = 4096

#: Period of the check whether the request that holds a claimed key has ended. Unit: seconds.
_KEY_POLL_S = 0.1

#: Largest number of retries to release a claim whose answer was lost.
_MAX_RELEASE_RETRIES = 120

#: Delay between these retries. Unit: seconds.
_RELEASE_RETRY_S = 5.0


class KeyClaims:
    """Claims and outcomes of non-idempotent requests that have an idempotency key.

    Parameters
    ----------
    part : Part
        The :class:`GatewayPart`, whose context, clock and bus are used.
    """

    def __init__(self, *, part):
        self.part = part

    @inlineCallbacks
    def claim(self, call, request_id, deadline):
        """Claim the key of a call durably before the request is sent.

        Returns the version of the claimed row, or an answer when the key cannot be claimed for
        this request. When a request in progress has claimed the key, the call waits for the end of
        that request until its own deadline.

        The claim ensures that the request runs at most once, however often and at whichever
        instance the caller repeats it: each claim is written on the condition that the row has not
        changed since it was read, which only one of two concurrent claims meets.
        """
        key = _row_key(call)
        try:
            [row] = yield self.part.context.table.read([key])
            while row.value and not row.value["outcome"] and self.part.now + _KEY_POLL_S < deadline:
                yield deferLater(self.part.context.clock, _KEY_POLL_S, lambda: None)
                [row] = yield self.part.context.table.read([key])
            if row.value and row.value["outcome"] != Outcome.NOT_RUN:
                return _replayed_answer(row.value)
            value = {"request_id": request_id, "outcome": "", "result": ""}
            version = yield self.part.context.table.commit(
                [Condition(key=key, version=row.version)], [Write(key=key, value=value)]
            )
        except PreconditionError:
            return unknown_answer(request_id, "another request with this key is in progress")
        except PlatformError as exc:
            # The request was not sent, so "not run" is certain. The claim may have been written
            # nevertheless. If it stayed, every later call with this key would get "unknown".
            self._release_claim(key, request_id, _MAX_RELEASE_RETRIES)
            return not_run_answer(request_id, exc.message, 1.0, code=exc.code)
        return version

    @inlineCallbacks
    def _release_claim(self, key, request_id, retries_left):
        """Release a claim whose answer was lost, if it was written."""
        try:
            [row] = yield self.part.context.table.read([key])
            if row.value and row.value["request_id"] == request_id and not row.value["outcome"]:
                value = {**row.value, "outcome": Outcome.NOT_RUN.value}
                yield self.part.context.table.commit(
                    [Condition(key=key, version=row.version)], [Write(key=key, value=value)]
                )
        except PlatformError:
            if retries_left:
                self.part.later(
                    _RELEASE_RETRY_S, self._release_claim, key, request_id, retries_left - 1
                )

    def record_end(self, call, version, answer):
        """Store the outcome of the request.

        After "not run" the key can be claimed again. The condition prevents a repeated write, whose
        first answer was lost, from overwriting such a later claim.
        """
        key = _row_key(call)
        result = answer.result if len(answer.result) <= _MAX_KEPT_RESULT_BYTES else ""
        value = {"request_id": answer.request_id, "outcome": answer.outcome, "result": result}
        self.part.post(
            CommitRequest(
                conditions=[Condition(key=key, version=version)],
                writes=[Write(key=key, value=value)],
                done=lambda error: None,
            )
        )


def _row_key(call):
    return f"key/{call.customer}/{call.idempotency_key}"


def _replayed_answer(value):
    """Return the answer to a repeated call, from the row of the first call."""
    answer = RequestAnswer(
        request_id=value["request_id"],
        outcome=value["outcome"] or Outcome.UNKNOWN.value,
        result=value["result"],
        replayed=True,
    )
    if not value["outcome"]:
        answer.code = "AF412"
        answer.reason = "a request with this key was taken before and has no known end"
    return answer
