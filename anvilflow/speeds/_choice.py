"""Choice between workers of different speeds."""

from math import log

#: Ratio of two factors from which they belong to different classes. Learnt factors of equal workers
#: differ by some percent, which must not decide between them: the fullest one is filled first.
CLASS_RATIO = 1.25


def speed_class(factor):
    """Return the class of a worker's factor: 0 around the mean, lower for faster workers.

    Examples
    --------
    >>> speed_class(0.68), speed_class(1.0), speed_class(1.65)
    (-2, 0, 2)
    """
    return round(log(factor) / log(CLASS_RATIO))


def is_worth_waiting(*, estimate_s, factor, other_factor, wait_s, waited_s):
    """Whether a task ends sooner if it waits for a faster worker than if it starts at once.

    Parameters
    ----------
    estimate_s : float
        Estimated duration of the task on a worker of factor 1. Unit: seconds.
    factor, other_factor : float
        Factors of the worker that is free now and of the faster one.
    wait_s, waited_s : float
        Expected wait for the faster worker, and the time that the task has waited already. The
        total is bounded by what the faster worker saves, as each expected wait may turn out to be
        wrong. Unit: seconds.

    Examples
    --------
    >>> is_worth_waiting(estimate_s=1, factor=1.6, other_factor=0.7, wait_s=0.1, waited_s=0)
    True
    >>> is_worth_waiting(estimate_s=1, factor=1.6, other_factor=0.7, wait_s=0.1, waited_s=0.9)
    False
    """
    return waited_s + wait_s < estimate_s * (factor - other_factor)
