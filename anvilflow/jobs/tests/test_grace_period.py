"""Tests of when an earlier leader may have begun a job, and how long its runs may continue."""

from anvilflow.jobs import COMMAND_S, GracePeriod


def test_job_accepted_before_the_commands_of_former_leaders_expired_may_have_begun():
    """Guards against judging a job by when it became known, rather than by its row's version."""
    grace_period = GracePeriod(term=2, lease_s=3.0, now=0.0, n_workers=3)
    grace_period.row_written(10, 0.1)
    grace_period.workers_confirmed(2, 3, 0.2)
    grace_period.row_written(20, 0.2 + COMMAND_S - 0.01)
    assert grace_period.may_have_begun(21)
    grace_period.row_written(30, 0.2 + COMMAND_S)
    grace_period.row_written(40, 0.2 + COMMAND_S + 0.1)
    assert grace_period.may_have_begun(30)
    assert not grace_period.may_have_begun(31)


def test_first_leader_does_not_wait():
    """Guards against a wait without a reason: no earlier leader has sent a command."""
    grace_period = GracePeriod(term=1, lease_s=3.0, now=5.0)
    assert not grace_period.may_have_begun(1)
    assert grace_period.is_over(5.0)
