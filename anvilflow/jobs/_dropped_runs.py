"""Runs that are taken for over although no worker has listed their end, and why."""

from collections import OrderedDict
from enum import StrEnum

from msgspec import Struct

#: Number of dropped runs that are kept for comparison with ends that are listed later.
MAX_DROPPED_RUNS = 10_000


class RunProof(StrEnum):
    """What shows that a run is over, or never began, if no worker has listed its end."""

    NEVER_SENT = "start not sent"
    REFUSED = "start refused"
    NOT_LISTED = "neither listed nor ended"
    LEASE_OVER = "lease over"
    RESTARTED = "worker started again"


class NoteDroppedRun(Struct, kw_only=True):
    """Report that a run is taken for over without its end.

    `late_end` is how the run ended by a worker's later report, empty until there is one. Unless the
    lease was over, the `proof` was none.
    """

    worker_id: str
    task: str
    run_id: int
    proof: RunProof
    late_end: str = ""


class DroppedRuns:
    """Keeps the runs dropped without their end, and finds the ends that are listed after all."""

    def __init__(self):
        self._proofs = OrderedDict()
        self._notes = []

    def add(self, run, proof):
        """Note that a run was dropped by a proof."""
        key = (run.worker.info.worker_id, run.task, run.run_id)
        self._proofs[key] = proof
        if len(self._proofs) > MAX_DROPPED_RUNS:
            self._proofs.popitem(last=False)
        self._note(key, proof)

    def end_listed(self, worker_id, end):
        """Note the end of a run that is not tracked: it may have been dropped before.

        A lapse confirms that the lease was over.
        """
        key = (worker_id, end.task, end.run_id)
        proof = self._proofs.pop(key, None)
        is_confirmed = proof is RunProof.LEASE_OVER and end.how == "lapsed"
        if proof is not None and not is_confirmed:
            self._note(key, proof, late_end=end.how)

    def _note(self, key, proof, **values):
        worker_id, task, run_id = key
        self._notes.append(
            NoteDroppedRun(worker_id=worker_id, task=task, run_id=run_id, proof=proof, **values)
        )

    def take_notes(self):
        """Return each :class:`NoteDroppedRun` since the last call."""
        notes, self._notes = self._notes, []
        return notes
