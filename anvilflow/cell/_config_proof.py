"""Proof that the configuration in force is the newest one."""

_NEVER = float("-inf")

#: Fraction by which the rates of two clocks may differ over the time for which a proof counts.
CLOCK_DRIFT = 0.02


class ConfigProof:
    """Tracks as of when the configuration in force is known to be the newest in the store.

    Notes
    -----
    The answer to a read shows the store as it was at some time after the read was sent. Therefore,
    `as_of` is the time at which the read was sent, however late its answer arrives; this also holds
    for a process that was suspended meanwhile, as the steady clock counts that time. Unit: seconds.

    While the newest row that was read is not the one in force, because it is malformed, missing or
    of a lower version, no read proves anything.
    """

    __slots__ = ("_newest_row", "_row_in_force", "as_of")

    def __init__(self):
        self.as_of = _NEVER
        self._newest_row = 0
        self._row_in_force = 0

    def note_row(self, row_version, *, in_force):
        """Note a row of the configuration that was read, and whether it is the one in force."""
        self._newest_row = max(self._newest_row, row_version)
        if in_force:
            self._row_in_force = max(self._row_in_force, row_version)

    def note_removal(self, version):
        """Note that the store had no row of the configuration as of `version`.

        Versions are those of one counter for all rows, so that a read from before the removal, or a
        row written after it, can be told by them.
        """
        self._newest_row = max(self._newest_row, version)

    def note_read(self, sent_at):
        """Note that all rows that a read returned have been processed."""
        if self._row_in_force and self._row_in_force == self._newest_row:
            self.as_of = max(self.as_of, sent_at)

    def age_s(self, now):
        """Return the time since which the configuration may be outdated. Unit: seconds."""
        return now - self.as_of

    def expires_in_s(self, now, revoke_s):
        """Return for how long keys may still be checked against the configuration in force.

        Negative once they may not. Unit: seconds.

        Parameters
        ----------
        now : float
        revoke_s : float
            Time after which a removed key must not be accepted any more. Unit: seconds.
        """
        return revoke_s / (1 + CLOCK_DRIFT) - self.age_s(now)
