"""How long messages have been on their way between two clocks that are not shared."""


class MessageAge:
    """Estimates delays from the difference of two steady clocks.

    The smallest difference seen stands for a message without delay. Until one comes over an empty
    link, delays are underestimated by the delay of the quickest message so far.

    Examples
    --------
    >>> age = MessageAge()
    >>> age.note(100.0, 5.0)
    0.0
    >>> age.note(101.0, 6.5)
    0.5
    """

    __slots__ = ("_least",)

    def __init__(self):
        self._least = None

    def note(self, sent_at, received_at):
        """Return for how long a message was on its way, by the clocks of both ends.

        Parameters
        ----------
        sent_at, received_at : float
            On the sender's clock and on the receiver's. Unit: seconds.
        """
        difference = received_at - sent_at
        self._least = difference if self._least is None else min(self._least, difference)
        return difference - self._least
