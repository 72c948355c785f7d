"""Lengths of the leases of workers that leave."""

import pytest

from anvilflow.jobs import Worker
from anvilflow.jobs._worker import LEAVING_LEASE_S, lease_end

from .test_scheduler import make_worker_info


@pytest.mark.parametrize(
    ("leaves_in_s", "age_s", "lease_s"),
    [
        (None, 5.0, 3.0),
        (10.0, 0.0, 3.0),
        (2.0, 0.0, 3.0),
        (2.0, 1.0, 1.0 + LEAVING_LEASE_S),
        (2.0, 2.0, LEAVING_LEASE_S),
        (2.0, 60.0, LEAVING_LEASE_S),
    ],
)
def test_leases_end_soon_after_the_time_that_a_worker_has_announced(leaves_in_s, age_s, lease_s):
    """Guards against tasks that wait for a long lease of a worker that has left."""
    info = make_worker_info(0, draining=leaves_in_s is not None, leaves_in_s=leaves_in_s)
    worker = Worker(info=info, lease_over_at=0.0)
    worker.note_leaving(7.0)
    assert worker.next_lease_s(7.0 + age_s, 3.0) == pytest.approx(lease_s)


def test_shorter_lease_does_not_replace_a_longer_one():
    """Guards against relying on the end of a lease while an earlier one is still in force."""
    worker = Worker(info=make_worker_info(0), lease_over_at=0.0)
    worker.lease_sent(1.0, 3.0)
    worker.lease_sent(1.5, LEAVING_LEASE_S)
    assert worker.lease_over_at == lease_end(1.0, 3.0)


def test_worker_that_does_not_leave_after_all_gets_full_leases_again():
    """Guards against short leases for good after a withdrawn announcement."""
    worker = Worker(info=make_worker_info(0, draining=True, leaves_in_s=1.0), lease_over_at=0.0)
    worker.note_leaving(7.0)
    worker.update_info(make_worker_info(0))
    worker.note_leaving(8.0)
    assert worker.next_lease_s(9.0, 3.0) == 3.0
    assert not worker.is_leaving
