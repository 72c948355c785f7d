"""Tests that a client's call with odd content is refused and has no other effect."""

import pytest

from anvilflow.utils import decode_lenient, encode

from ._helpers import JOB, make_cell

OTHER_JOB = "00000000000000b2"

NESTED = "[" * 20_000 + "]" * 20_000

#: Numbers as JSON text; the first two are whole numbers that a 64-bit field does not hold.
NUMBERS = {
    "25 digits": "9" * 25,
    "400 digits": "9" * 400,
    "1e308": "1e308",
    "negative": "-1",
    "nested": NESTED,
    "text": '"1"',
}

STEP_FIELDS = (
    "count",
    "cpu",
    "mem-mb",
    "gpu",
    "estimate-ms",
    "anti-affinity",
    "target-ms",
    "may-miss",
)
JOB_FIELDS = ("repeat-count", "first-ms", "interval-ms")


def _body(*, step="", job=""):
    """Return the body of a job of one task with further fields, given as JSON text."""
    return f'{{"spec":"0.3 done 1000","steps":[{{"cpu":1000{step}}}]{job}}}'.encode()


MALFORMED = {
    **{
        f"{field}: {name}": _body(step=f',"{field}":{number}')
        for field in STEP_FIELDS
        for name, number in NUMBERS.items()
    },
    **{
        f"{field}: {name}": _body(job=f',"{field}":{number}')
        for field in JOB_FIELDS
        for name, number in NUMBERS.items()
    },
    "after: 400 digits": _body(step=f',"after":[{"9" * 400}]'),
    "after: nested": _body(step=f',"after":{NESTED}'),
    "nested in an unknown field": _body(job=f',"extra":{NESTED}'),
    "nested": NESTED.encode(),
    "lone surrogate": _body(step=',"image":"\\ud800"'),
    "not UTF-8": b"\xff\xfe{",
    "spec too long": encode({"spec": "x" * 4001, "steps": [{}]}),
    "too many occurrences": _body(job=',"repeat-count":5001'),
    "too many tasks in all occurrences": _body(step=',"count":11', job=',"repeat-count":5000'),
}


def _play(call):
    """Make an odd call, then check that its job may be submitted and that nothing has ended."""
    cell = make_cell(n_instances=3, n_workers=2)
    answers = call(cell)
    cell.advance(1.0)
    assert cell.store.value("jobs", JOB, part="jobs-00") is None
    cell.submit("a0", JOB, {"count": 1, "cpu": 1000}, spec="0.3 done 1000")
    cell.submit("a1", OTHER_JOB, {"count": 2, "cpu": 1000}, spec="0.3 done 1000")
    cell.advance(2.0)
    assert [cell.state("a2", job_id) for job_id in (JOB, OTHER_JOB)] == ["completed"] * 2
    assert cell.store.value("home", "home", part="cell")["term"] == 1
    assert not cell.errors
    return answers


@pytest.mark.parametrize("body", MALFORMED.values(), ids=MALFORMED)
def test_malformed_job_is_refused(body):
    """Guards against one client's body that fails inside, or that takes all memory of an instance.

    With 10**25 occurrences that were due, the leader created steps until its memory was used up.
    """
    answers = _play(lambda cell: cell.call("a0", "POST", f"/urgent/{JOB}", body))
    assert [(status, value["error"]["code"]) for status, value, _ in answers] == [(400, "AF301")]


@pytest.mark.parametrize(
    "body",
    [_body(step=f',"image":"{"x" * 70_000}"'), _body(step=f',"requires":"{"x" * 300_000}"')],
    ids=["row too large", "body too large"],
)
def test_job_that_is_too_large_is_refused(body):
    """Guards against a job whose row the store refuses each time."""
    answers = _play(lambda cell: cell.call("a0", "POST", f"/urgent/{JOB}", body))
    assert [(status, value["error"]["code"]) for status, value, _ in answers] == [(413, "AF303")]


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize(
    "job_id",
    [
        "../../x",
        "0" * 17,
        "A" * 16,
        "0" * 100_000,
        "%00" * 5,
        "hôte",
        "\ud800".encode("utf-8", "surrogatepass").decode("latin-1"),
        f"{JOB}/x",
        "0" * 15 + "\n",
    ],
    ids=[
        "path",
        "17 digits",
        "capitals",
        "100,000 digits",
        "escapes",
        "not ASCII",
        "surrogate",
        "further path",
        "line break",
    ],
)
def test_odd_job_id_is_refused(method, job_id):
    """Guards against an id that reaches the store or fails inside."""
    answers = _play(lambda cell: cell.call("a0", method, f"/urgent/{job_id}", _body()))
    assert [(status, value["error"]["code"]) for status, value, _ in answers] == [(400, "AF301")]


@pytest.mark.parametrize("method", ["PATCH", "GÉT", "X" * 10_000])
def test_odd_method_is_refused(method):
    """Guards against a method that is not ASCII and fails inside."""
    answers = _play(lambda cell: cell.call("a0", method, f"/urgent/{JOB}", _body()))
    assert [(status, value["error"]["code"]) for status, value, _ in answers] == [(400, "AF301")]
    assert len(answers[0][1]["error"]["message"]) < 200


def test_largest_job_is_accepted():
    """Every field may have its largest value; the job is stored and waits."""
    step = {"count": 5000, "gang": True}
    step |= dict.fromkeys(("cpu", "mem-mb", "gpu", "anti-affinity", "may-miss"), 2**31 - 1)
    step |= dict.fromkeys(("estimate-ms", "target-ms"), 10 * 365 * 86_400_000)
    times = {"repeat-count": 10, "first-ms": 2**53 - 1, "interval-ms": 10 * 365 * 86_400_000}
    bodies = [encode({"steps": [step]}), encode({"steps": [step], **times})]
    cell = make_cell(n_instances=3, n_workers=2)
    ids = [JOB, OTHER_JOB]
    answers = [
        cell.call("a0", "POST", f"/urgent/{job_id}", body)
        for job_id, body in zip(ids, bodies, strict=True)
    ]
    cell.advance(1.0)
    assert [each[0][0] for each in answers] == [200, 200]
    cell.kill(cell.leader())
    cell.advance(5.0)
    assert decode_lenient(encode(cell.store.value("home", "home", part="cell")))["term"] == 2
    assert [cell.state(cell.other(), job_id) for job_id in ids] == ["queued", "queued"]
