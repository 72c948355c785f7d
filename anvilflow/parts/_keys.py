"""Idempotency keys: claimed in the table before a request is sent, and how it ended."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..clients import Condition, Write
from ..decisions import Outcome
from ..exceptions import PlatformError, PreconditionError
from ._calls import RequestAnswer, not_run_answer, unknown_answer
from ._events import CommitRequest

#: Largest result that is kept with an idempotency key. Unit: bytes.
_MAX_KEPT_RESULT_BYTES = 4096

#: Period of looking for the end of a request whose key is claimed. Unit: seconds.
_KEY_POLL_S = 0.1

#: Tries to take back a claim whose answer was lost, and the wait between them. Unit: seconds.
_MAX_RELEASE_RETRIES = 120
_RELEASE_RETRY_S = 5.0


class KeyClaims:
    """Claims of non-idempotent requests that carry a key.

    Parameters
    ----------
    part : Part
        The entry part, whose context, clock and bus are used.
    """

    def __init__(self, *, part):
        self.part = part

    @inlineCallbacks
    def claim(self, call, request_id, deadline):
        """Claim the key durably before anything is sent.

        Returns the version of the claimed row, or an answer when the key is not ours. The claim
        is what makes the request run at most once however often and wherever the caller repeats
        it: of two claims only one meets the condition that the row is as it was read.
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
            # Nothing was sent, so "not run" is certain. The claim may stand all the same; left
            # there it would answer the caller's next try with "unknown" for ever.
            self._release_claim(key, request_id, _MAX_RELEASE_RETRIES)
            return not_run_answer(request_id, exc.message, 1.0, code=exc.code)
        return version

    @inlineCallbacks
    def _release_claim(self, key, request_id, retries_left):
        """Take back a claim whose answer was lost, if it stands."""
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
        """Write down how the request ended.

        The condition keeps a repeated write, whose first answer was lost, from going over a claim
        that was made since on the strength of "not run".
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
    """Answer a repeated call with what is known of the first."""
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
