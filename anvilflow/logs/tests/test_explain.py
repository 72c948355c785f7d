"""From a job's id and the logs of several instances to what held it up."""

import pytest

from anvilflow.cli import main
from anvilflow.logs import explain_job, lines_of_job, read_log
from anvilflow.utils import encode

JOB = "00000000000000e1"
TASK = f"{JOB}.0.0.0"


def line(at, instance, event, **values):
    """Return a line as an instance writes it."""
    return encode({"at": at, "instance": instance, "event": event, **values}).decode()


#: A job whose first run hung, and whose home died before the second.
DELAYED = [
    line(9.8, "a2", "home ends", term=1),
    line(10.0, "a3", "job accepted", job=JOB, version=7),
    line(10.002, "a1", "job taken on", job=JOB, inherited=False),
    line(10.1, "a1", "start", task=TASK, run=1, worker="i-4"),
    line(10.9, "a1", "stop", task=TASK, run=1, worker="i-4", why="stands still"),
    line(11.3, "a2", "claimed", why="home gone", token=9, term=2),
    line(11.2, "a2", "start", task="00000000000000b7.0.0.0", run=1, worker="i-4"),
    line(11.4, "a2", "start", task=TASK, run=1001, worker="i-5"),
    line(12.4, "a2", "task ended", task=TASK, run=1001, worker="i-5", how="done"),
    line(12.42, "a2", "job ended", job=JOB, state="completed"),
]

REFUSED = [line(5.0, "a3", "job handed to the home", job=JOB, outcome="refused", unsure=False)]

IN_DOUBT = [
    line(5.0, "a3", "job's row unanswered", job=JOB, error="AF402"),
    line(5.9, "a3", "job handed to the home", job=JOB, outcome="unsure", unsure=True),
]


def explain(lines):
    """Return the explanation of the job."""
    return explain_job(JOB, read_log(lines))


def test_delayed_job_is_told_in_order_with_what_held_it_up():
    """Lines of other jobs are left out; those of a change of homes within its time are kept."""
    lines = explain(DELAYED)
    assert len([line for line in lines if not line.startswith("=>")]) == 8
    assert not any("b7" in line or "no longer" in line for line in lines)
    assert "=> 0.50 s around a change of homes" in lines
    assert "=> 1 runs were stopped: stands still" in lines


@pytest.mark.parametrize(
    ("lines", "cause"), [(REFUSED, "refused (503)"), (IN_DOUBT, "answered 504")]
)
def test_failed_answers_have_their_cause(lines, cause):
    """A client that got 503 was certainly refused; one that got 504 was in doubt."""
    assert explain(lines)[-1].startswith(f"=> {cause}")


def test_lines_that_are_no_log_lines_are_passed_over():
    """A log may begin in the middle of a line, hold other programs' words, and end cut off."""
    text = 'ersion":7}\nTraceback\n  12.1 edge-1 {"at":5,"event":"home ends","x":1}\n{"at":5,"ev'
    assert [line.event for line in read_log(text.splitlines())] == ["home ends"]


def test_job_without_a_line_is_said_so():
    """The id is wrong, or the right instance's log is missing."""
    assert lines_of_job(JOB, read_log([])) == []
    assert explain([])[0].startswith("no line tells")


def test_command_reads_several_files(tmp_path, capsys):
    """The logs of two instances make one story; an id that looks like a number stays as it is."""
    first, second = tmp_path / "a1.log", tmp_path / "a2.log"
    first.write_text("\n".join(DELAYED[::2]), encoding="utf-8")
    second.write_text("\n".join(DELAYED[1::2]), encoding="utf-8")
    main(["explain", JOB, str(first), str(second)])
    assert "change of homes" in capsys.readouterr().out


def test_command_says_what_it_cannot_read(tmp_path, capsys):
    """A missing file is a call's fault, with its code and exit status."""
    with pytest.raises(SystemExit, match="4"):
        main(["explain", JOB, str(tmp_path / "none.log")])
    assert "AF301" in capsys.readouterr().err
