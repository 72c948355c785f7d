"""Cache of job payloads for the starts that an instance sends."""

from collections import OrderedDict

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.python.failure import Failure

from ..exceptions import PayloadGoneError
from ..utils import decode
from ._tables import JOBS, PAYLOADS, JobRow, has_payload, job_part

#: Number of payloads kept in memory, of up to 4 kB each; others are read from the store again.
MAX_PAYLOADS = 2000


class PayloadCache:
    """Keeps payloads of jobs that this instance accepted or read, and reads others from the store.

    Parameters
    ----------
    context : CellContext
    """

    def __init__(self, *, context):
        self.context = context
        self._payloads = OrderedDict()
        self._pending_reads = {}

    def __len__(self):
        return len(self._payloads)

    def keep(self, job_id, payload):
        """Add a payload, and evict the least recently added ones beyond `MAX_PAYLOADS`."""
        self._payloads[job_id] = payload
        self._payloads.move_to_end(job_id)
        while len(self._payloads) > MAX_PAYLOADS:
            self._payloads.popitem(last=False)

    def find(self, job_id):
        """Return a Deferred of a job's payload; concurrent calls share one read of the store.

        Raises
        ------
        PayloadGoneError
            AF414, the store has neither a payload of the job nor a row with one that can be read.
        PlatformError
            The store is unavailable.
        """
        payload = self._payloads.get(job_id)
        if payload is not None:
            return succeed(payload)
        done = Deferred()
        if job_id in self._pending_reads:
            self._pending_reads[job_id].append(done)
            return done
        self._pending_reads[job_id] = [done]
        self._read(job_id).addBoth(self._read_done, job_id)
        return done

    def _read_done(self, result, job_id):
        if not isinstance(result, Failure):
            self.keep(job_id, result)
        for done in self._pending_reads.pop(job_id):
            done.callback(result)

    @inlineCallbacks
    def _read(self, job_id):
        store, part = self.context.store, job_part(job_id)
        row = yield store.read_row(PAYLOADS, part, job_id)
        if row is not None:
            return decode(row.value, str, error=PayloadGoneError)
        row = yield store.read_row(JOBS, part, job_id)
        if row is not None:
            spec = decode(row.value, JobRow, error=PayloadGoneError).spec
            if has_payload(spec):
                return spec.payload
        raise PayloadGoneError(f"job {job_id} has no payload in the store")
