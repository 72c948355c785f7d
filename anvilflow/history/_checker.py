"""Verdicts on a recorded history, one for each promise."""

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

#: Time after which a leaving target gets no new work. Unit: seconds.
LEAVING_GRACE_S = 3.0


class Verdict(Struct, kw_only=True):
    """Whether a promise held.

    Parameters
    ----------
    promise : str
    n_checked : int
        Occasions on which the promise could have been broken; 0 shows nothing.
    broken : list of str
        The first occasions on which it was.
    """

    promise: str
    n_checked: int
    broken: list[str]

    @property
    def held(self):
        """Whether the promise was never broken."""
        return not self.broken

    @property
    def word(self):
        """What a report says: a run without an occasion shows nothing.

        Examples
        --------
        >>> Verdict(promise="no task in two places", n_checked=0, broken=[]).word
        'not checked'
        """
        if self.broken:
            return "BROKEN"
        return "held" if self.n_checked else "not checked"


def check_history(events, *, config_limit_s=5.0, instances=None, ended_at=None):
    """Return the verdicts on `events`, in the order of the brief's promises.

    Parameters
    ----------
    events : list of events
    config_limit_s : float, default=5.0
        Time within which an accepted revision is in force everywhere. Unit: seconds.
    instances : iterable of str, default=None
        Instances that must have every accepted revision in force; None: those that ever had one.
    ended_at : float, default=None
        End of the run; revisions accepted less than the limit before it are not judged.
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
    """No worker is given more than it holds."""
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
    """Return the task of an attempt's identity ``CUSTOMER/JOB/INDEX/ATTEMPT``."""
    return item.rsplit("/", 1)[0]


def _check_one_place(events):
    """A task never runs in two places at once."""
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
    """A caller gets the whole answer to its own request."""
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
    """A request that was answered "not run" did not run, before or after the answer.

    Of one that the caller repeated under its key another call may have run; it is not judged.
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
    """A non-idempotent request runs at most once."""
    once = {event.token for event in events if isinstance(event, Sent) and not event.idempotent}
    runs = defaultdict(int)
    for event in events:
        match event:
            case RunBegan(token=token) if token in once:
                runs[token] += 1
    broken = [f"{token} ran {count} times" for token, count in runs.items() if count > 1]
    return Verdict(promise="non-idempotent at most once", n_checked=len(runs), broken=broken)


def _check_leaving(events):
    """A leaving target gets no new work after a few seconds."""
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
    """No request in progress is cut off: each that was sent got exactly one final answer."""
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
    """An accepted revision is in force everywhere in time, and no instance goes back."""
    accepted = {}
    in_force = defaultdict(list)
    newest = {}
    broken = []
    n_checked = 0
    for event in events:
        match event:
            case ConfigAccepted(revision=revision):
                accepted.setdefault(revision, event.at)
            case ConfigInForce(instance=instance, incarnation=life, revision=revision):
                n_checked += 1
                if revision < newest.get((instance, life), 0):
                    broken.append(f"{instance} went back to revision {revision}")
                newest[instance, life] = revision
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
