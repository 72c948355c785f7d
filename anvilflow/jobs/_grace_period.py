"""When the orders of earlier leaders can do nothing any more."""

from ._worker import lease_end

#: Time for which a leader may go on ordering after it last knew that it is the leader: from a write
#: under its row, or from more than half of its workers, which took its token. Workers are held each
#: half second, and twice as often while the store is away. Unit: seconds.
COMMAND_S = 0.7

#: Time after which a leader that has not heard more than half of the workers waits no longer: those
#: that are gone for good must not keep it waiting for ever. Unit: seconds.
MAX_CONFIRMATION_WAIT_S = 15.0


class GracePeriod:
    """What a new leader must wait for before it may start what an earlier one may have started.

    Parameters
    ----------
    term : int
        How many leaders there were, this one included.
    lease_s, now : float
        Unit: seconds.
    n_workers : int, default=0
        Workers that the former leader held.
    missing : frozenset of str, default=frozenset()
        Workers that have left the registry since the former leader last wrote about it. They may
        run on, and nobody knows where they are.
    is_known : bool, default=True
        Whether the registry's history reaches back that far.

    Notes
    -----
    A former leader that lives and is cut off goes on for :data:`COMMAND_S` after it last knew that
    it is the leader. Two leaders cannot both hear more than half of the workers: one that took the
    new token refuses the old one. So `COMMAND_S` after this leader has heard that many, no order of
    a former leader is sent any more, and a lease later none is in force.
    """

    def __init__(self, *, term, lease_s, now, n_workers=0, missing=frozenset(), is_known=True):
        self.lease_s = lease_s
        self.began_at = now
        self.n_workers = n_workers
        self.missing = set(missing)
        self.is_known = is_known
        self.commands_expired_at = None
        self.leases_over_at = None
        self.commands_expired_version = None
        if term == 1:
            self._set_expiry(now - COMMAND_S - lease_end(0.0, lease_s))
            self.commands_expired_version = 0

    def worker_found(self, worker_id):
        """A worker has registered."""
        self.missing.discard(worker_id)

    def workers_confirmed(self, n_confirmed, n_workers, now):
        """Take how many of the workers have answered; return True when that settles it."""
        n_all = max(self.n_workers, n_workers + len(self.missing))
        if self.leases_over_at is None and 2 * n_confirmed > n_all:
            self._set_expiry(now)
            return True
        return False

    def give_up_waiting(self, now):
        """Give up waiting for more workers after a long time; return True when it does."""
        if self.leases_over_at is None and now >= self.began_at + MAX_CONFIRMATION_WAIT_S:
            self._set_expiry(now)
            return True
        return False

    def row_written(self, version, sent_at):
        """Take the version of the leader's row by a write that was sent at `sent_at`."""
        commands_expired = (
            self.commands_expired_at is not None and sent_at >= self.commands_expired_at
        )
        if commands_expired and self.commands_expired_version is None:
            self.commands_expired_version = version

    def may_have_begun(self, version):
        """Whether an earlier leader may have begun a job, by the version of the job's row.

        Also one that was accepted after this leader began: until its orders are over, a former
        leader may be told of it and start it on a worker that this one does not reach.
        """
        return self.commands_expired_version is None or version <= self.commands_expired_version

    def _set_expiry(self, now):
        self.commands_expired_at = now + COMMAND_S
        self.leases_over_at = lease_end(self.commands_expired_at, self.lease_s)

    def is_over(self, now):
        """Whether nothing runs any more that an earlier leader started and nobody has listed."""
        return self.leases_over_at is not None and now >= self.leases_over_at

    @property
    def all_workers_known(self):
        """Whether every worker that may run something is known."""
        return self.is_known and not self.missing
