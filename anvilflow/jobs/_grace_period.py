"""Wait after a take-over until commands and leases of earlier leaders have expired."""

from ._worker import lease_end

#: Time for which a leader may send commands after its leadership was last confirmed: by a write to
#: the store, which fails once another instance has claimed the leader's row, or by more than half
#: of its workers, which accepted its token. A token is a number that each claim raises; workers
#: refuse commands with a lower one than they have seen. Leases are renewed every half second, twice
#: as often while the store is unavailable. Unit: seconds.
COMMAND_S = 0.7

#: Time after which a leader stops waiting until more than half of the workers have responded:
#: workers that are permanently lost must not block it forever. Their registry entries are gone by
#: then. Unit: seconds.
MAX_CONFIRMATION_WAIT_S = 15.0


class GracePeriod:
    """Wait of a new leader before it starts tasks that an earlier leader may have started.

    Parameters
    ----------
    term : int
        Number of leaders so far, including this one.
    lease_s, now : float
        Unit: seconds.
    n_workers : int, default=0
        Number of workers that the former leader had.
    missing : frozenset of str, default=frozenset()
        Workers that have left the registry since the version that the former leader last recorded.
        They may still be running, at unknown addresses.
    is_known : bool, default=True
        Whether the registry's history reaches back to that version.

    Notes
    -----
    A former leader that is running but partitioned continues to send commands for
    :data:`COMMAND_S` after its leadership was last confirmed. Two leaders cannot both receive
    responses from more than half of the workers: a worker that accepted the new token refuses the
    old one. So `COMMAND_S` after that many workers have responded to this leader, former leaders
    send no more commands, and one lease later none of their leases is in force.

    `commands_expired_at` and `leases_over_at` are these two times, None until they are known.
    `commands_expired_version` is the version of the leader's row after the first write that was
    sent when the commands had expired.
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
        # Without an earlier leader, both times are already past.
        if term == 1:
            self._set_expiry(now - COMMAND_S - lease_end(0.0, lease_s))
            self.commands_expired_version = 0

    def worker_found(self, worker_id):
        """Note that a worker has registered."""
        self.missing.discard(worker_id)

    def workers_confirmed(self, n_confirmed, n_workers, now):
        """Note how many workers have responded; return whether this bounds earlier leases."""
        n_all = max(self.n_workers, n_workers + len(self.missing))
        if self.leases_over_at is None and 2 * n_confirmed > n_all:
            self._set_expiry(now)
            return True
        return False

    def give_up_waiting(self, n_confirmed, n_registered, now):
        """Stop waiting for workers after the maximum wait; return whether this call did so.

        Workers in the registry are alive. While more than half of them have not responded, a former
        leader that reaches them, but not the store, sends commands.
        """
        is_time_over = now >= self.began_at + MAX_CONFIRMATION_WAIT_S
        if self.leases_over_at is None and is_time_over and 2 * n_confirmed >= n_registered:
            self._set_expiry(now)
            return True
        return False

    def row_written(self, version, sent_at):
        """Note the version of the leader's row after a write that was sent at `sent_at`."""
        commands_expired = (
            self.commands_expired_at is not None and sent_at >= self.commands_expired_at
        )
        if commands_expired and self.commands_expired_version is None:
            self.commands_expired_version = version

    def may_have_begun(self, version):
        """Whether an earlier leader may have begun a job, by the version of the job's row.

        This includes a job that was accepted after this leader began: until its commands have
        expired, a former leader may receive the job and start it on a worker that this leader does
        not reach.
        """
        return self.commands_expired_version is None or version <= self.commands_expired_version

    def _set_expiry(self, now):
        self.commands_expired_at = now + COMMAND_S
        self.leases_over_at = lease_end(self.commands_expired_at, self.lease_s)

    def is_over(self, now):
        """Whether all runs have ended that an earlier leader started and no worker has listed."""
        return self.leases_over_at is not None and now >= self.leases_over_at

    @property
    def all_workers_known(self):
        """Whether every worker that may have active runs is known."""
        return self.is_known and not self.missing
