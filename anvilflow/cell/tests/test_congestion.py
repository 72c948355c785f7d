"""A leader whose link is full."""

import pytest
from msgspec import Struct

from anvilflow.cell._leader import DEFERRED_S
from anvilflow.cell._start_delays import MAX_REPORT_AGE_S, StartDelays

from ._helpers import JOB, make_cell

#: Link of the leader: 2 Mbit/s. Unit: bytes a second.
NARROW = 250_000

#: Size of a job's payload, which each start carries. Unit: bytes.
N_PAYLOAD = 1_000

#: Tasks of a job, and jobs a second before, in and after the burst. The link carries about 150
#: starts a second with the ends that follow them.
N_TASKS = 8
USUAL = 7
BURST = 38

#: Length of the burst, and when starts have to come as usual again after it. Unit: seconds.
BURST_S = 4.0
BACK_S = 2.0

#: When a job of these should be done: twice its length and a quarter of a second. Unit: seconds.
OBJECTIVE_S = 2.0 * 0.8 + 0.25

#: Starts in vain that a burst may cost.
MAX_WASTED_SHARE = 0.05


class _Submitted(Struct, kw_only=True):
    """When a job was submitted, and the answers that its client got."""

    at: float
    answers: list

    @property
    def is_accepted(self):
        """Whether the client was told so."""
        return bool(self.answers) and self.answers[0][0] == 200


def _submit_for(cell, seconds, rate, submitted):
    """Submit jobs at a rate; note them by their ids."""
    gateways = [name for name in cell.daemons if name != cell.leader()]
    step = {"count": N_TASKS, "cpu": 500, "estimate-ms": 800}
    for _ in range(round(seconds * rate)):
        number = len(submitted)
        job_id = f"{number:016x}"
        gateway = gateways[number % len(gateways)]
        answers = cell.submit(gateway, job_id, step, spec="x" * N_PAYLOAD)
        submitted[job_id] = _Submitted(at=cell.clock.seconds(), answers=answers)
        cell.advance(1 / rate)


def _play_burst(seed, *, burst_s=BURST_S):
    cell = make_cell(
        n_instances=5,
        n_workers=24,
        cpu=32_000,
        sizes=lambda task, payload: (0.8, "done", 500),
        random_state=seed,
    )
    for name in cell.daemons:
        cell.wire.narrow_link(name, NARROW)
    submitted = {}
    _submit_for(cell, 2.0, USUAL, submitted)
    _submit_for(cell, burst_s, BURST, submitted)
    ended_at = cell.clock.seconds()
    _submit_for(cell, 8.0, USUAL, submitted)
    cell.advance(12.0)
    return cell, submitted, ended_at


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_over_a_full_link_does_not_outlast_its_end(seed):
    """Starts that are late on a full link are sent again and again, and fill it for good."""
    cell, submitted, ended_at = _play_burst(seed)
    done = [span for span in cell.spans if span.how == "done"]
    back_at = ended_at + BACK_S
    n_back = sum(back_at <= span.began_at < back_at + 4.0 for span in done)
    assert n_back >= 4.0 * USUAL * N_TASKS
    assert len(cell.spans) - len(done) <= MAX_WASTED_SHARE * len(cell.spans)
    accepted = [job_id for job_id, each in submitted.items() if each.is_accepted]
    names = {f"{job_id}.0.0.{index}" for job_id in accepted for index in range(N_TASKS)}
    assert names <= {span.task for span in done}
    assert cell.check() == []


def _longest_wait(cell, submitted):
    """Return the longest time from a job's submission to the start of a task of it."""
    return max(span.began_at - submitted[span.task.split(".")[0]].at for span in cell.spans)


@pytest.mark.parametrize("safeguard", [True, False])
def test_jobs_that_would_begin_too_late_are_refused_at_once(monkeypatch, safeguard):
    """Accepted, they are done too late themselves and make all that come after them late."""
    if not safeguard:
        monkeypatch.setattr(StartDelays, "wait_s", lambda self, priority: 0.0)
    cell, submitted, _ = _play_burst(1, burst_s=2 * BURST_S)
    refused = [each.answers[0] for each in submitted.values() if not each.is_accepted]
    assert bool(refused) is safeguard
    assert all(status == 503 for status, _, _ in refused)
    assert all(1 <= int(headers[b"retry-after"]) <= 10 for _, _, headers in refused)
    is_in_time = _longest_wait(cell, submitted) < OBJECTIVE_S + DEFERRED_S + MAX_REPORT_AGE_S
    assert is_in_time is safeguard


def test_job_that_was_accepted_before_is_not_refused():
    """Its client had no answer and sends it again: that it has not run would not be true."""
    cell = make_cell()
    step = {"count": 1, "cpu": 500, "estimate-ms": 100}
    cell.submit(cell.other(), JOB, step, spec="0.1 done 500")
    cell.advance(0.5)
    daemon = cell.daemons[cell.leader()]
    daemon.context.start_waits.record_report({0: 60.0})
    again = cell.submit(cell.leader(), JOB, step, spec="0.1 done 500")
    new = cell.submit(cell.leader(), f"{1:016x}", step, spec="0.1 done 500")
    cell.advance(0.1)
    assert again[0][0] == 200
    assert new[0][0] == 503
