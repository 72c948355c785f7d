"""The leader's answers to calls of gateways."""

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from ..exceptions import JobIdTakenError, PlatformError, PlatformRefusedError
from ..peers.gen.ttypes import JobReply
from ..utils import decode
from ._job_intake import JobSource
from ._job_store import store_job
from ._tables import JobRow


class LeaderCalls:
    """Answers the calls of gateways during one term of the leader.

    Parameters
    ----------
    context : CellContext
    log : Logger
    scheduler : Scheduler
    recorder : Recorder
    leader : object
        Offers ``add_job(value, version, source)``, ``act(actions)``, ``changed()`` and
        ``is_store_unavailable``.
    """

    def __init__(self, *, context, log, scheduler, recorder, leader):
        self.context = context
        self.log = log
        self.scheduler = scheduler
        self.recorder = recorder
        self.leader = leader
        self.closed = False
        self._pending_cancels = {}

    def close(self):
        """Answer all pending calls: this instance is no longer the leader."""
        self.closed = True
        cancelling, self._pending_cancels = self._pending_cancels, {}
        for done in [done for each in cancelling.values() for done in each]:
            done.callback(_reply("not home"))

    def serve(self, call):
        """Answer a :class:`JobCall`; the Deferred fires with a :class:`JobReply`."""
        match call.verb:
            case "accepted":
                value = decode(call.body, JobRow)
                exists = self.leader.add_job(value, call.version, JobSource.REPORT)
                return succeed(_reply("ok" if exists else "gone"))
            case "state":
                is_visible = self.scheduler.may_access(call.job_id, call.account)
                state = self.scheduler.state_of(call.job_id) if is_visible else None
                return succeed(_reply(str(state) if state is not None else "unknown"))
            case "pending":
                return succeed(_reply("ok", count=self.scheduler.n_waiting()[call.queue]))
            case "cancel":
                if not self.scheduler.may_access(call.job_id, call.account):
                    return succeed(_reply("unknown"))
                return self._cancel(call.job_id)
            case "submit":
                return self._submit(call)
            case _:
                return succeed(_reply("failed"))

    def job_ended(self, job_id):
        """Answer the pending cancel calls of a job whose end is durable."""
        for done in self._pending_cancels.pop(job_id, ()):
            done.callback(_reply("ok"))

    def _cancel(self, job_id):
        if job_id in self.scheduler.ended:
            return succeed(_reply("ok"))
        if job_id not in self.scheduler.jobs:
            return succeed(_reply("unknown"))
        self.log.info("job cancelled", job=job_id)
        done = Deferred()
        self._pending_cancels.setdefault(job_id, []).append(done)
        self.leader.act(self.scheduler.cancel_job(job_id, self.context.clock.seconds()))
        self.recorder.trigger()
        self.leader.changed()
        return done

    @inlineCallbacks
    def _submit(self, call):
        """Store a job for a gateway that cannot reach the store."""
        if self.leader.is_store_unavailable:
            return _reply("refused")
        value = decode(call.body, JobRow)
        try:
            version = yield store_job(self.context.store, value)
        except JobIdTakenError:
            return _reply("taken")
        except PlatformRefusedError:
            return _reply("refused")
        except PlatformError:
            return _reply("unsure")
        if version and not self.closed:
            self.leader.add_job(value, version, JobSource.SUBMIT)
        return _reply("ok")


def _reply(outcome, *, count=0):
    return JobReply(outcome=outcome, count=count)
