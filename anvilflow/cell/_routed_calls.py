"""Calls to one worker, made by other instances while the home is short of link or processor."""

from twisted.internet.defer import inlineCallbacks

from ..exceptions import (
    NotReadyError,
    PayloadGoneError,
    PeerSilentError,
    PlatformError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from ._tables import has_payload
from ._worker_orders import OrderOutcome, Verb, raise_failed, report_of_answer

#: Other instances that are tried for an order before the home makes the call itself.
MAX_CARRIERS = 2

#: Label of the orders that the home sends itself.
_DIRECT = "direct"
_CARRIED = "carried"


class RoutedCalls:
    """The interface of :class:`WorkerCalls`, with a choice of who makes each call.

    Parameters
    ----------
    direct : WorkerCalls
        Of the home itself.
    info : WorkerInfo
    carriers : Carriers
    context : CellContext

    Notes
    -----
    An order that was certainly not sent goes to the next carrier, and at last out from here. A hold
    that a worker did not answer a carrier is made once more from here: a carrier that is cut off
    from its share of the workers must not make them look dark. A start without an answer may be at
    work, and is left to the session's own retries.
    """

    def __init__(self, *, direct, info, carriers, context):
        self.direct = direct
        self.worker_id = info.worker_id
        self.timeout = direct.timeout
        self._address = info.address
        self._carriers = carriers
        self._context = context

    @inlineCallbacks
    def hold(self, *, seen, until_s, wait_s, timeout=None):
        """Renew the lease of all that runs, see :meth:`WorkerCalls.hold`."""
        name, answer = yield self._carried(
            Verb.HOLD,
            lambda: self._carriers.for_worker(self.worker_id),
            timeout,
            held_s=wait_s,
            seen=seen,
            until_ms=None if until_s is None else int(1000 * until_s),
            wait_ms=round(1000 * wait_s),
        )
        if answer is not None and answer.outcome != OrderOutcome.UNANSWERED:
            return report_of_answer(raise_failed(answer))
        self._count(Verb.HOLD, _DIRECT)
        # What is left of a lease's time is shorter now, never longer: its end is a moment on the
        # worker's clock. The worker is not asked to wait once more.
        report = yield self.direct.hold(
            seen=seen, until_s=until_s, wait_s=0.0 if answer else wait_s, timeout=timeout
        )
        if answer is not None:
            self._carriers.rest(name, "does not reach a worker")
        return report

    @inlineCallbacks
    def start(self, action, *, until_s, timeout=None):
        """Start a run, see :meth:`WorkerCalls.start`."""
        job_id = action.task.partition(".")[0]
        _, answer = yield self._carried(
            Verb.START,
            lambda: self._carriers.for_start(self.worker_id, job_id),
            timeout,
            task=action.task,
            run_id=action.run_id,
            until_ms=int(1000 * until_s),
            checkpoint=action.checkpoint or None,
            ticket=action.ticket or None,
        )
        if answer is not None:
            return raise_failed(answer).clock_ms / 1000
        self._count(Verb.START, _DIRECT)
        if not has_payload(action):
            action.payload = yield self._find_payload(job_id)
        clock_s = yield self.direct.start(action, until_s=until_s, timeout=timeout)
        return clock_s

    @inlineCallbacks
    def stop(self, action, *, timeout=None):
        """Stop a run, see :meth:`WorkerCalls.stop`."""
        _, answer = yield self._carried(
            Verb.STOP,
            lambda: self._carriers.for_worker(self.worker_id),
            timeout,
            task=action.task,
            run_id=action.run_id,
        )
        if answer is not None:
            raise_failed(answer)
            return
        self._count(Verb.STOP, _DIRECT)
        yield self.direct.stop(action, timeout=timeout)

    @inlineCallbacks
    def set_pace(self, action, *, timeout=None):
        """Change the pace of a run, see :meth:`WorkerCalls.set_pace`."""
        _, answer = yield self._carried(
            Verb.PACE,
            lambda: self._carriers.for_worker(self.worker_id),
            timeout,
            task=action.task,
            run_id=action.run_id,
            percent=action.percent,
        )
        if answer is not None:
            raise_failed(answer)
            return
        self._count(Verb.PACE, _DIRECT)
        yield self.direct.set_pace(action, timeout=timeout)

    @inlineCallbacks
    def _find_payload(self, job_id):
        try:
            payload = yield self._context.payloads.find(job_id)
        except PayloadGoneError as exc:
            raise WorkerRefusedError(str(exc), details={"reason": "no payload"}) from exc
        except PlatformError as exc:
            raise WorkerRefusedError(
                f"payload not read: {exc}", details={"reason": "unreached"}
            ) from exc
        return payload

    def _count(self, verb, route):
        self._context.meters.count("routes", verb.name, route)

    @inlineCallbacks
    def _carried(self, verb, choose, timeout, *, held_s=0.0, **values):
        """Return a carrier and its answer, or None for both when none has sent the order.

        Raises
        ------
        WorkerUnreachableError
            AF412, a carrier was given the order, and whether it was carried out is not known.
        """
        limit_s = self.timeout if timeout is None else timeout
        for _ in range(MAX_CARRIERS):
            name = choose()
            if name is None:
                break
            self._count(verb, _CARRIED)
            try:
                answer = yield self._carriers.ask(
                    name,
                    verb,
                    limit_s,
                    held_s=held_s,
                    token=self.direct.token,
                    worker=self.worker_id,
                    address=self._address,
                    **values,
                )
            except NotReadyError:
                continue
            except PeerSilentError as exc:
                if verb is Verb.HOLD:
                    break
                raise WorkerUnreachableError(f"no answer of {name}: {exc}") from exc
            if answer.outcome != OrderOutcome.NOT_SENT:
                return name, answer
            self._carriers.not_sent(name, answer.reason)
        return None, None
