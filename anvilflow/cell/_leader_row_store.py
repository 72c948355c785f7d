"""Conditional writes of the leader's row by one process, and what became of each."""

from enum import StrEnum

from msgspec import Struct

from ..exceptions import PlatformError
from ..platform import RowWrite
from ..utils import decode
from ._tables import LEADER_KEY, LEADER_TABLE, PART, LeaderRow, condition, write


class WriteOutcome(StrEnum):
    """What a read of the leader's row proves about a write that had no answer.

    An undecided write may be carried out later, unless another write is carried out first. One that
    is superseded may have been carried out before the row was written again, and will not be
    carried out from now on.
    """

    COMMITTED = "committed"
    UNDECIDED = "undecided"
    SUPERSEDED = "superseded"


class LeaderRowWrite(Struct, kw_only=True, frozen=True):
    """A write of the leader's row, on the condition that the row has `expected_version`.

    `item` is the write with the encoded row, which is the same in each attempt.
    """

    row: LeaderRow
    item: RowWrite
    expected_version: int

    def outcome(self, found):
        """Return the :class:`WriteOutcome` of this write.

        Parameters
        ----------
        found : Row or None
            The leader's row as it was read after the write was sent; None if there is none.
        """
        version = found.version if found is not None else 0
        if version == self.expected_version:
            return WriteOutcome.UNDECIDED
        is_this_write = found is not None and self._wrote(found)
        return WriteOutcome.COMMITTED if is_this_write else WriteOutcome.SUPERSEDED

    def _wrote(self, found):
        try:
            row = decode(found.value, LeaderRow, error=PlatformError)
        except PlatformError:
            return False
        return (row.incarnation, row.write_number) == (self.row.incarnation, self.row.write_number)


class LeaderRowStore:
    """Reads and writes the leader's row for all parts and terms of one process.

    Parameters
    ----------
    store : StoreClient

    Notes
    -----
    A claim or a record without an answer may be carried out seconds later, in a later term of the
    same process. The incarnation in the row therefore does not tell which write has changed it:
    each write also has a number that no other write of the process has.
    """

    def __init__(self, *, store):
        self.store = store
        self._n_prepared = 0

    def prepare(self, row, expected_version):
        """Return the :class:`LeaderRowWrite` of a row, which gets the next write number."""
        self._n_prepared += 1
        row.write_number = self._n_prepared
        item = write(LEADER_TABLE, LEADER_KEY, row)
        return LeaderRowWrite(row=row, item=item, expected_version=expected_version)

    def commit(self, row_write, writes=(), *, timeout):
        """Write the row and further rows in one transaction; return the new version.

        The same write may be repeated until its outcome is known. Raises as
        :meth:`StoreClient.commit` does.
        """
        return self.store.commit(
            [condition(LEADER_TABLE, LEADER_KEY, row_write.expected_version)],
            [row_write.item, *writes],
            timeout=timeout,
        )

    def read(self, *, timeout):
        """Return the leader's row, or None if there is none. Unit of `timeout`: seconds."""
        return self.store.read_row(LEADER_TABLE, PART, LEADER_KEY, timeout=timeout)


def find_leader_row(rows):
    """Return the leader's row among the rows of a read or of a refused transaction, or None."""
    return next((row for row in rows if row.key == LEADER_KEY and row.value is not None), None)
