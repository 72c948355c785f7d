"""What happened to one job, from the log lines of several instances."""

import json
from itertools import pairwise

from msgspec import Struct

#: A pause between two steps of a job's way that is worth a word. Unit: seconds.
LONG_S = 0.25

#: Lines without a job that can delay any job.
_AROUND = {
    "claimed": "{instance} became the home: {why}",
    "home begins": "{instance} is the home and knows of {jobs} jobs",
    "home ends": "{instance} is no longer the home",
    "deposed": "{instance} learnt that another is the home",
    "store answers again": "the store answers {instance} again, after {after_s} s",
}

#: Lines of a job.
_OF_JOB = {
    "job accepted": "accepted: its row is durable at version {version}",
    "job's row unanswered": "the store gave no answer to the write of its row: {error}",
    "job's row not written in time": "the store answers, but had not written its row in time",
    "job handed to the home": "given to the home to store: {outcome}; in doubt before: {unsure}",
    "home not told": "the home did not hear of it at once: {error}",
    "job taken on": "the home knows of it; begun by an earlier home: {inherited}",
    "job cancelled": "cancelled",
    "job cancelled by an entry": "cancelled through the store",
    "job cancelled without its home": "cancelled through the store; found: {found}",
    "start": "{task}, run {run}, is sent to {worker}",
    "start not taken": "{task}, run {run}, was not taken by {worker}: {why}",
    "stop": "{task}, run {run}, is stopped on {worker}: {why}",
    "tasks wait": (
        "{n_waiting} tasks of {step} wait; {n_allowed} workers are allowed, {n_open} take work, "
        "{n_with_room} have room"
    ),
    "task ended": "{task}, run {run}, ended on {worker}: {how}",
    "worker lost": "{worker_id} was lost ({known_by}) while running {tasks}",
    "job failed": "failed, {error}: {task} on {workers}",
    "job ended": "its end is durable: {state}",
}


class Line(Struct, kw_only=True):
    """One log line. Unit of `at`: seconds, time of day."""

    at: float
    event: str
    values: dict


def read_log(lines):
    """Yield the :class:`Line` of each text line that holds one, whatever stands around it."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = json.loads(text[start:])
            yield Line(at=float(values["at"]), event=values["event"], values=values)
        except (ValueError, KeyError, TypeError):
            # Other programs may write to the same file, and a line may be cut off at its end.
            continue


def lines_of_job(job_id, lines):
    """Return a job's lines in order, with those between them that can delay any job."""
    kept = sorted(
        (line for line in lines if line.event in _AROUND or _is_of_job(line, job_id)),
        key=lambda line: line.at,
    )
    own = [line.at for line in kept if _is_of_job(line, job_id)]
    if not own:
        return []
    return [line for line in kept if own[0] <= line.at <= own[-1]]


def _is_of_job(line, job_id):
    values = line.values
    names = [values.get("task", ""), values.get("step", ""), *(values.get("tasks") or ())]
    return job_id == values.get("job") or any(str(name).startswith(f"{job_id}.") for name in names)


def explain_job(job_id, lines):
    """Return what happened to a job as lines of text; the last ones say what held it up.

    Parameters
    ----------
    job_id : str
    lines : iterable of Line
        Of all instances, in any order.

    Examples
    --------
    >>> line = '{"at": 5.0, "instance": "a1", "event": "job accepted", "job": "b1", "version": 7}'
    >>> explain_job("b1", read_log([line]))[0]
    '   0.000 a1: accepted: its row is durable at version 7'
    """
    found = lines_of_job(job_id, lines)
    if not found:
        return [f"no line tells of {job_id}: look into the logs of the other instances"]
    began = found[0].at
    words = [f"{line.at - began:8.3f} {line.values['instance']}: {_say(line)}" for line in found]
    return words + _conclude(found)


def _say(line):
    text = _OF_JOB.get(line.event) or _AROUND.get(line.event) or line.event
    try:
        return text.format(**line.values)
    except KeyError:
        return line.event


def _conclude(found):
    causes = [*_say_refusals(found), *_say_pauses(found), *_say_repeats(found)]
    return [f"=> {cause}" for cause in causes] or ["=> nothing held it up"]


def _say_refusals(found):
    if any(line.event == "job accepted" for line in found):
        return
    for line in found:
        match line.event, line.values:
            case "job handed to the home", {"outcome": "refused", "unsure": False}:
                yield "refused (503): neither this instance nor the home reached the store"
                return
            case "job handed to the home", {"outcome": "ok"}:
                return
            case ("job handed to the home" | "job's row not written in time"), _:
                yield "answered 504: the store gave no answer to the write, so it was in doubt"
                return


def _say_pauses(found):
    milestones = [line for line in found if line.event not in _AROUND]
    for before, after in pairwise(milestones):
        pause = after.at - before.at
        if pause < LONG_S:
            continue
        between = [line for line in found if before.at <= line.at <= after.at]
        match before.event, after.event:
            case _, _ if any(line.event == "claimed" for line in between):
                yield f"{pause:.2f} s around a change of homes"
            case ("job accepted" | "home not told"), "job taken on":
                yield f"{pause:.2f} s until the home heard of it"
            case "job taken on", "start":
                yield f"{pause:.2f} s until its first start: room or advice was waited for"
            case ("task ended" | "stop"), "start":
                yield f"{pause:.2f} s until the next start: room, advice or a lease was waited for"
            case "task ended", "job ended":
                yield f"{pause:.2f} s until its end was durable: the store was slow or away"


def _say_repeats(found):
    stops = [line for line in found if line.event == "stop"]
    for why in dict.fromkeys(line.values["why"] for line in stops):
        n_stops = sum(line.values["why"] == why for line in stops)
        yield f"{n_stops} runs were stopped: {why}"
    ends = [line for line in found if line.event == "task ended"]
    n_failed = sum(line.values["how"] == "failed" for line in ends)
    if n_failed:
        yield f"{n_failed} runs failed"
