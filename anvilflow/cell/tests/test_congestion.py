"""A home whose link is full."""

import pytest

from ._helpers import make_cell

#: Link of the home: 2 Mbit/s. Unit: bytes a second.
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

#: Starts in vain that a burst may cost.
MAX_WASTED_SHARE = 0.05


def _submit_for(cell, seconds, rate, accepted):
    """Submit jobs at a rate; note the answers by job."""
    entries = [name for name in cell.daemons if name != cell.home()]
    step = {"count": N_TASKS, "cpu": 500, "estimate-ms": 800}
    for _ in range(round(seconds * rate)):
        number = len(accepted)
        job_id = f"{number:016x}"
        entry = entries[number % len(entries)]
        accepted[job_id] = cell.submit(entry, job_id, step, spec="x" * N_PAYLOAD)
        cell.advance(1 / rate)


def _play_burst(seed):
    cell = make_cell(
        n_instances=5,
        n_workers=24,
        cpu=32_000,
        sizes=lambda task, payload: (0.8, "done", 500),
        random_state=seed,
    )
    for name in cell.daemons:
        cell.wire.narrow_link(name, NARROW)
    answers = {}
    _submit_for(cell, 2.0, USUAL, answers)
    _submit_for(cell, BURST_S, BURST, answers)
    ended_at = cell.clock.seconds()
    _submit_for(cell, 8.0, USUAL, answers)
    cell.advance(12.0)
    return cell, answers, ended_at


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_over_a_full_link_does_not_outlast_its_end(seed):
    """Starts that are late on a full link are sent again and again, and fill it for good."""
    cell, answers, ended_at = _play_burst(seed)
    done = [span for span in cell.spans if span.how == "done"]
    back_at = ended_at + BACK_S
    n_back = sum(back_at <= span.began_at < back_at + 4.0 for span in done)
    assert n_back >= 4.0 * USUAL * N_TASKS
    assert len(cell.spans) - len(done) <= MAX_WASTED_SHARE * len(cell.spans)
    accepted = [job_id for job_id, each in answers.items() if each and each[0][0] == 200]
    names = {f"{job_id}.0.0.{index}" for job_id in accepted for index in range(N_TASKS)}
    assert names <= {span.task for span in done}
    assert cell.check() == []
