"""Checks of the invariants on a recorded history, with one verdict for each."""

from collections import defaultdict

from msgspec import Struct

from ..decisions import Outcome
from ..resources import RESOURCE_NAMES
from ._recorder import (
    Answered,
    ConfigAccepted,
    ConfigInForce,
    RunBegan,
    RunEnded,
    Sent,
    TargetLeaving,
    WorkerKnown,
)

#: Time after the notice of leaving from which a target must get no new work. Unit: seconds.
LEAVING_GRACE_S = 3.0


class Verdict(Struct, kw_only=True):
    """Result of the check of one invariant.

    Parameters
    ----------
    promise : str
        The invariant.
    n_checked : int
        Number of occasions on which the invariant could have been violated; 0 shows nothing.
    broken : list of str
        A line for each violation.
    """

    promise: str
    n_checked: int
    broken: list[str]

    @property
    def held(self):
        """Whether the invariant was never violated."""
        return not self.broken

    @property
    def status_text(self):
        """Verdict in a report: ``BROKEN``, ``held``, or ``not checked`` without an occasion.

        Examples
        --------
        >>> Verdict(promise="no task in two places", n_checked=0, broken=[]).status_text
        'not checked'
        """
        if self.broken:
            return "BROKEN"
        return "held" if self.n_checked else "not checked"


def check_history(events, *, config_limit_s=5.0, instances=None, ended_at=None):
    """Return one verdict for each invariant, in a fixed order.

    Parameters
    ----------
    events : list of events
        In the order in which they happened.
    config_limit_s : float, default=5.0
        Time within which an accepted revision must be in force everywhere. Unit: seconds.
    instances : iterable of str, default=None
        Instances on which every accepted revision must come into force. None stands for the
        instances on which any revision was in force.
    ended_at : float, default=None
        End of the run. Revisions accepted less than `config_limit_s` before it are not checked.
    """
    return [
        _check_capacity(events),
        _check_one_place(events),
        _check_whole_answers(events),
        _check_not_run(events),
        _check_at_most_once(events),
        _check_leaving(events),
        _check_nothing_cut_off(events),
        _check_config(events, config_limit_s, instances, ended_at),
    ]


def _check_capacity(events):
    """Check that the runs on a worker never need more than its capacity."""
    capacity = {}
    used = defaultdict(lambda: [0] * len(RESOURCE_NAMES))
    needs = {}
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case WorkerKnown(worker=worker):
                capacity[worker] = event.capacity
            case RunBegan(worker=worker, item=item):
                n_checked += 1
                needs[worker, item] = event.needs
                for number, name in enumerate(RESOURCE_NAMES):
                    used[worker][number] += getattr(event.needs, name)
                    if used[worker][number] > getattr(capacity[worker], name):
                        broken.append(f"{worker} over its {name} with {item} at {event.at:.3f}")
            case RunEnded(worker=worker, item=item):
                need = needs.pop((worker, item))
                for number, name in enumerate(RESOURCE_NAMES):
                    used[worker][number] -= getattr(need, name)
    return Verdict(promise="no worker over its capacity", n_checked=n_checked, broken=broken)


def _task_of(item):
    """Return the task in an attempt's identifier ``CUSTOMER/JOB/INDEX/ATTEMPT``."""
    return item.rsplit("/", 1)[0]


def _check_one_place(events):
    """Check that two attempts of a task never run at the same time."""
    running = defaultdict(set)
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case RunBegan(task=True, worker=worker, item=item):
                n_checked += 1
                others = running[_task_of(item)]
                if others:
                    broken.append(f"{item} on {worker} at {event.at:.3f} while on {sorted(others)}")
                others.add((worker, item))
            case RunEnded(worker=worker, item=item):
                running[_task_of(item)].discard((worker, item))
    return Verdict(promise="no task in two places", n_checked=n_checked, broken=broken)


def _check_whole_answers(events):
    """Check that each completed request gets its own complete answer, with the token sent."""
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case Answered(outcome=Outcome.COMPLETED, token=token, echoed=echoed):
                n_checked += 1
                if token != echoed:
                    broken.append(f"{token} was answered with {echoed!r} at {event.at:.3f}")
    return Verdict(promise="answers are whole and one's own", n_checked=n_checked, broken=broken)


def _check_not_run(events):
    """Check that a request answered "not run" did not run, before or after the answer.

    A request that was sent several times under one key is not checked: another call may have run.
    """
    refused = {}
    ran = set()
    n_sent = defaultdict(int)
    for event in events:
        match event:
            case Sent(token=token):
                n_sent[token] += 1
            case Answered(outcome=Outcome.NOT_RUN, token=token):
                refused[token] = event.at
            case RunBegan(token=token) if token:
                ran.add(token)
    refused = {token: at for token, at in refused.items() if n_sent[token] == 1}
    broken = [f"{token} ran although answered not run" for token in refused if token in ran]
    return Verdict(promise="not run is certain", n_checked=len(refused), broken=broken)


def _check_at_most_once(events):
    """Check that a non-idempotent request runs at most once."""
    once = {event.token for event in events if isinstance(event, Sent) and not event.idempotent}
    runs = defaultdict(int)
    for event in events:
        match event:
            case RunBegan(token=token) if token in once:
                runs[token] += 1
    broken = [f"{token} ran {count} times" for token, count in runs.items() if count > 1]
    return Verdict(promise="non-idempotent at most once", n_checked=len(runs), broken=broken)


def _check_leaving(events):
    """Check that a leaving target gets no new work once `LEAVING_GRACE_S` is over."""
    leaving = {}
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case TargetLeaving(worker=worker):
                n_checked += 1
                leaving.setdefault(worker, event.at)
            case RunBegan(worker=worker) if worker in leaving:
                if event.at > leaving[worker] + LEAVING_GRACE_S:
                    late = event.at - leaving[worker]
                    broken.append(f"{worker} got {event.item} {late:.1f} s after leaving")
    return Verdict(promise="leaving targets get no work", n_checked=n_checked, broken=broken)


def _check_nothing_cut_off(events):
    """Check that no request is cut off: each request sent gets exactly one final answer."""
    answers = defaultdict(int)
    n_sent = defaultdict(int)
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case Sent():
                n_checked += 1
                n_sent[event.token] += 1
            case Answered(token=token):
                answers[token] += 1
                if event.outcome == "cut":
                    broken.append(f"{token} was cut off at {event.at:.3f}")
    broken += [
        f"{token} was sent {count} times and answered {answers[token]} times"
        for token, count in n_sent.items()
        if answers[token] != count
    ]
    return Verdict(promise="no request is cut off", n_checked=n_checked, broken=broken)


def _check_config(events, limit, instances, ended_at):
    """Check that accepted revisions come into force in time, and that no instance goes back.

    Revisions are compared within one incarnation of an instance.
    """
    accepted = {}
    in_force = defaultdict(list)
    newest = {}
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case ConfigAccepted(revision=revision):
                accepted.setdefault(revision, event.at)
            case ConfigInForce(instance=instance, incarnation=incarnation_id, revision=revision):
                n_checked += 1
                if revision < newest.get((instance, incarnation_id), 0):
                    broken.append(f"{instance} went back to revision {revision}")
                newest[instance, incarnation_id] = revision
                in_force[instance].append((event.at, revision))
    names = set(in_force) if instances is None else set(instances)
    end = ended_at if ended_at is not None else max((event.at for event in events), default=0.0)
    for revision, at in accepted.items():
        if at + limit > end:
            continue
        for name in sorted(names):
            n_checked += 1
            if not any(then <= at + limit and seen >= revision for then, seen in in_force[name]):
                broken.append(f"{name} had not revision {revision} within {limit:g} s")
    return Verdict(promise="accepted configuration is in force", n_checked=n_checked, broken=broken)
