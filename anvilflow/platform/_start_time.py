"""Start times of workers, which distinguish incarnations under the same id."""

from ..exceptions import StartTimeError

#: Upper bound of a start time: the largest whole number that every JSON reader keeps exact. Unit:
#: milliseconds since 1970.
MAX_START_TIME_MS = 2**53 - 1


def decode_start_time(value):
    """Return a worker's start time as stated on the wire; None if none is stated.

    Unit: milliseconds since 1970.

    Raises
    ------
    StartTimeError
        AF406, the value is not a whole number, is negative or is too large.
    """
    if value is None:
        return None
    # A boolean is an int in Python.
    if type(value) is not int or not 0 <= value <= MAX_START_TIME_MS:
        raise StartTimeError(f"a worker's start time is not a whole number: {value!r:.60}")
    return value
