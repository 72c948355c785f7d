"""History of one job, reconstructed from the log lines of several instances."""

import json
from itertools import pairwise

from msgspec import Struct

#: Shortest pause between two events of a job that is reported as a cause of delay. Unit: seconds.
LONG_PAUSE_S = 0.25

#: Events of the cell that can delay any job, with their texts.
_CELL_EVENTS = {
    "worker started again": "{worker} has started again, known by its {known_by}",
    "claimed": "{instance} became the home: {why}",
    "home begins": "{instance} is the home and knows of {jobs} jobs",
    "home ends": "{instance} is no longer the home",
    "deposed": "{instance} learnt that another is the home",
    "store answers again": "the store answers {instance} again, after {after_s} s",
}

#: Event of tasks that wait for their account's maximum, which has a text of its own.
_LIMITED = "tasks wait for a maximum"

#: Event of a start on a worker that was chosen by its learnt speed, which has a text of its own.
_START_BY_SPEED = "start by speed"

#: Events of a single job, with their texts.
_JOB_EVENTS = {
    "job accepted": "accepted: its row is durable at version {version}",
    "job's row unanswered": "the store gave no answer to the write of its row: {error}",
    "job's row not written in time": "the store answers, but had not written its row in time",
    "job handed to the home": "given to the home to store: {outcome}; in doubt before: {unsure}",
    "home not told": "the home did not hear of it at once: {error}",
    "job not confirmed": "the home did not confirm that it knows of the job: {outcome}",
    "job refused": (
        "refused: {reason} would be short for {wait_s} s, and its objective of {objective_s} s "
        "allows a wait of {max_wait_s} s; the report was {report_age_s} s old; it may come again "
        "after {retry_after_s} s"
    ),
    "job taken on": (
        "the home knows of it, from {source}; begun by an earlier home: {inherited}; its row has "
        "version {version}, and the table was read through {read_version}"
    ),
    "report of a removed job": (
        "the home refused a late report, as the job is over: its row had version {version}, and "
        "the table was read through {read_version}"
    ),
    "job cancelled": "cancelled",
    "job cancelled by an entry": "cancelled through the store",
    "job cancelled without its home": "cancelled through the store; found: {found}",
    "start": "{task}, run {run}, is sent to {worker}",
    _START_BY_SPEED: (
        "{task}, run {run}, is sent to {worker}, chosen by its speed: tasks there take {factor} "
        "times as long as on the mean worker"
    ),
    "start not taken": "{task}, run {run}, was not taken by {worker}: {why}",
    "stop": "{task}, run {run}, is stopped on {worker}: {why}",
    "tasks wait": (
        "{n_waiting} tasks of {step} wait; {n_allowed} workers are allowed, {n_tickets} of them "
        "with a valid ticket, {n_open} take work, {n_with_room} have room, {n_kept} of these keep "
        "it for urgent tasks; its request for advice is {advice}, for {deferred_s} s"
    ),
    _LIMITED: "{n_waiting} tasks of {step} wait for the maximum of account {account}: {limited_by}",
    "advice": (
        "{good} of {asked} workers allowed for {step} after {took_s} s; the request had waited for "
        "{waited_s} s"
    ),
    "task ended": "{task}, run {run}, ended on {worker}: {how}",
    "run over without its end": "{task}, run {run}, on {worker} is taken for over: {proof}",
    "run was not over": (
        "{task}, run {run}, ended on {worker} ({late_end}) after it was taken for over: {proof}"
    ),
    "worker lost": "{worker_id} was lost ({known_by}) while running {tasks}",
    "job failed": "failed, {error}: {task} on {workers}",
    "records durable": "its records are durable at version {version}, known by {known_by}",
    "records superseded": "its records were not made durable: the home's row has another write",
    "job ended": "its end is durable: {state}",
}


class Line(Struct, kw_only=True):
    """One parsed log line; `at` is the time of day in seconds."""

    at: float
    event: str
    values: dict


class _Fields(dict):
    """Fields of a log line; logs of older releases lack some that the texts name."""

    def __missing__(self, key):
        return "?"


def read_log(lines):
    """Yield a :class:`Line` for each text line that holds a log record; skip all other lines."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = json.loads(text[start:])
            yield Line(at=float(values["at"]), event=values["event"], values=values)
        except (ValueError, KeyError, TypeError):
            # Other programs may write to the same file, and the last line may be truncated.
            continue


def select_job_lines(job_id, lines):
    """Return the lines of a job and the events of the cell between them, ordered by time."""
    kept = sorted(
        (line for line in lines if line.event in _CELL_EVENTS or _belongs_to_job(line, job_id)),
        key=lambda line: line.at,
    )
    own = [line.at for line in kept if _belongs_to_job(line, job_id)]
    if not own:
        return []
    return [line for line in kept if own[0] <= line.at <= own[-1]]


def _belongs_to_job(line, job_id):
    values = line.values
    # In some events, "tasks" is a number.
    tasks = values.get("tasks")
    # In "records durable", "jobs" holds a change for each job; in other events it is a number.
    jobs = values.get("jobs")
    if isinstance(jobs, dict) and job_id in jobs:
        return True
    names = [values.get("task", ""), values.get("step", "")]
    names += tasks if isinstance(tasks, list) else []
    return job_id == values.get("job") or any(str(name).startswith(f"{job_id}.") for name in names)


def explain_job(job_id, lines):
    """Return the history of a job as lines of text; the last lines list the causes of delay.

    Parameters
    ----------
    job_id : str
    lines : iterable of Line
        Log lines of all instances, in any order.

    Examples
    --------
    >>> line = '{"at": 5.0, "instance": "a1", "event": "job accepted", "job": "b1", "version": 7}'
    >>> explain_job("b1", read_log([line]))[0]
    '   0.000 a1: accepted: its row is durable at version 7'
    """
    found = select_job_lines(job_id, lines)
    if not found:
        return [f"no line tells of {job_id}: look into the logs of the other instances"]
    began = found[0].at
    described = [
        f"{line.at - began:8.3f} {line.values['instance']}: {_format_line(line)}" for line in found
    ]
    return described + _list_causes(found)


def _format_line(line):
    event = _LIMITED if line.values.get("limited_by") else line.event
    if event == "start" and "factor" in line.values:
        event = _START_BY_SPEED
    text = _JOB_EVENTS.get(event) or _CELL_EVENTS.get(line.event) or line.event
    return text.format_map(_Fields(line.values))


def _list_causes(found):
    causes = [*_find_refusals(found), *_find_pauses(found), *_find_repeats(found)]
    return [f"=> {cause}" for cause in causes] or ["=> nothing held it up"]


def _find_refusals(found):
    if any(line.event == "job accepted" for line in found):
        return
    for line in found:
        match line.event, line.values:
            case "job refused", {"reason": "starts"}:
                yield "refused (503): its starts would have been sent too late for its objective"
                return
            case "job refused", _:
                yield "refused (503): no worker would have been free in time for its objective"
                return
            case "job handed to the home", {"outcome": "refused", "unsure": False}:
                yield "refused (503): neither this instance nor the home reached the store"
                return
            case "job handed to the home", {"outcome": "ok"}:
                return
            case ("job handed to the home" | "job's row not written in time"), _:
                yield "answered 504: the store gave no answer to the write, so it was in doubt"
                return


def _find_pauses(found):
    milestones = [line for line in found if line.event not in _CELL_EVENTS]
    for before, after in pairwise(milestones):
        pause = after.at - before.at
        if pause < LONG_PAUSE_S:
            continue
        between = [line for line in found if before.at <= line.at <= after.at]
        match before.event, after.event:
            case _, _ if any(line.event == "claimed" for line in between):
                yield f"{pause:.2f} s around a change of homes"
            case "job refused", ("job accepted" | "job refused"):
                yield f"{pause:.2f} s until it was sent again after a refusal"
            case ("job accepted" | "home not told"), "job taken on":
                yield f"{pause:.2f} s until the home heard of it"
            case _, "start" if any(line.values.get("limited_by") for line in between):
                yield f"{pause:.2f} s until the next start: its account was at its maximum"
            case "job taken on", "start":
                yield f"{pause:.2f} s until its first start: room or advice was waited for"
            case ("task ended" | "stop"), "start":
                yield f"{pause:.2f} s until the next start: room, advice or a lease was waited for"
            case "task ended", "job ended":
                yield f"{pause:.2f} s until its end was durable: the store was slow or away"


def _find_repeats(found):
    stops = [line for line in found if line.event == "stop"]
    for why in dict.fromkeys(line.values["why"] for line in stops):
        n_stops = sum(line.values["why"] == why for line in stops)
        yield f"{n_stops} runs were stopped: {why}"
    ends = [line for line in found if line.event == "task ended"]
    n_failed = sum(line.values["how"] == "failed" for line in ends)
    if n_failed:
        yield f"{n_failed} runs failed"
