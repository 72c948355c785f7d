"""Estimates of message delays between two processes whose clocks are not synchronized."""


class MessageAge:
    """Estimates message delays from the difference of two monotonic clocks.

    The smallest difference so far is taken for that of a message without delay. Delays are
    therefore underestimated by the delay of the quickest message so far, until a message arrives
    over an idle link.

    Examples
    --------
    >>> age = MessageAge()
    >>> age.note(100.0, 5.0)
    0.0
    >>> age.note(101.0, 6.5)
    0.5
    """

    __slots__ = ("_min_difference",)

    def __init__(self):
        self._min_difference = None

    def note(self, sent_at, received_at):
        """Add a message and return the estimate of its delay. Unit: seconds.

        Parameters
        ----------
        sent_at, received_at : float
            Time on the sender's clock and on the receiver's clock. Unit: seconds.
        """
        difference = received_at - sent_at
        self._min_difference = (
            difference if self._min_difference is None else min(self._min_difference, difference)
        )
        return difference - self._min_difference
