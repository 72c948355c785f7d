"""Time to wait for the answer to a write before its outcome is looked up."""

#: Bounds of the time; between them it is this multiple of the last answer's time. Unit: seconds.
MIN_ANSWER_TIMEOUT_S = 0.3
MAX_ANSWER_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_FACTOR = 4


def answer_timeout(answer_s):
    """Return how long to wait for a write's answer if the last took `answer_s`. Unit: seconds."""
    return min(MAX_ANSWER_TIMEOUT_S, max(MIN_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_FACTOR * answer_s))
