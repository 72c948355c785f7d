"""Losses of workers that have answered again since an earlier loss."""

from .test_crash_evidence import LEASE_OVER_S, list_at, lose_worker, review
from .test_scheduler import make_report, make_scheduler


def test_second_loss_of_a_worker_is_noted():
    """Guards against a loss that neither logs nor counts show, after one that was taken back."""
    scheduler = make_scheduler(2)
    info, _ = lose_worker(scheduler)
    list_at(scheduler, info, info.address, 1.0, answers=True)
    review(scheduler, LEASE_OVER_S)
    scheduler.report(info.worker_id, make_report(), requested_at=4.1, now=4.1)
    assert review(scheduler, 4.2) == {}
    scheduler.worker_unreachable(info.worker_id, 5.0)
    review(scheduler, 9.0)
    [note] = scheduler.worker_ended(info.worker_id, 9.0)
    assert note.worker_id == info.worker_id
