"""Payloads of jobs, as an instance keeps them for the starts that it carries."""

from collections import OrderedDict

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.python.failure import Failure

from ..exceptions import PayloadGoneError
from ..utils import decode
from ._tables import JOBS, PAYLOADS, JobRow, has_payload, job_part

#: Payloads kept in memory, of up to 4 kB each; others are read again.
MAX_KEPT = 2000


class PayloadCache:
    """Keeps the payloads of jobs that this instance has accepted, and reads those of others.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._kept = OrderedDict()
        self._reading = {}

    def __len__(self):
        return len(self._kept)

    def keep(self, job_id, payload):
        """Keep a payload for the starts to come."""
        self._kept[job_id] = payload
        self._kept.move_to_end(job_id)
        while len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)

    def find(self, job_id):
        """Return a Deferred of a job's payload, read once for all who ask meanwhile.

        Raises
        ------
        PayloadGoneError
            AF414, the store has neither a payload of the job nor a row with one.
        PlatformError
            The store cannot be asked.
        """
        payload = self._kept.get(job_id)
        if payload is not None:
            return succeed(payload)
        done = Deferred()
        if job_id in self._reading:
            self._reading[job_id].append(done)
            return done
        self._reading[job_id] = [done]
        self._read(job_id).addBoth(self._was_read, job_id)
        return done

    def _was_read(self, result, job_id):
        if not isinstance(result, Failure):
            self.keep(job_id, result)
        for done in self._reading.pop(job_id):
            done.callback(result)

    @inlineCallbacks
    def _read(self, job_id):
        store, part = self.context.store, job_part(job_id)
        row = yield store.read_row(PAYLOADS, part, job_id)
        if row is not None:
            return decode(row.value, str)
        row = yield store.read_row(JOBS, part, job_id)
        if row is not None:
            spec = decode(row.value, JobRow).spec
            if has_payload(spec):
                return spec.payload
        raise PayloadGoneError(f"job {job_id} has no payload in the store")
