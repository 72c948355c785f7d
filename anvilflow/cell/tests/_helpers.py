"""What the tests of the cell share."""

from anvilflow.standins import PlatformCell

#: A job's id, and a step of four small tasks.
JOB = "00000000000000a1"
STEP = {"count": 4, "cpu": 1000}


def make_cell(**values):
    """Return a started cell."""
    cell = PlatformCell(**values)
    cell.start()
    return cell
