"""Tests of the HTTP APIs for callers and operators, without sockets and in virtual time."""

import json

import pytest
from treq.testing import StubTreq

from anvilflow.resources import Amounts
from anvilflow.standins import make_declarations

from ._helpers import make_cell, make_job


class HttpCaller:
    """Makes HTTP calls to one part of an instance in virtual time."""

    def __init__(self, cell, instance, part):
        self.cell = cell
        self.stub = StubTreq(cell.part(instance, part).app.resource())

    def call(self, method, path, body=None, *, seconds=0.5):
        """Return status and decoded answer, or None when there is no answer after `seconds`."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        results = []
        done = self.stub.request(method, f"http://a{path}", data=data if body is not None else None)
        done.addCallback(
            lambda response: response.json().addCallback(self._status_and_value, response)
        )
        done.addBoth(results.append)
        for _ in range(10):
            self.stub.flush()
            self.cell.advance(seconds / 10)
        self.stub.flush()
        return results[0] if results else None

    @staticmethod
    def _status_and_value(value, response):
        return response.code, value


def operators_api(cell, instance="a1"):
    """Return a client of the HTTP API for operators."""
    return HttpCaller(cell, instance, "operators")


def callers_api(cell, instance="a1"):
    """Return a client of the HTTP API for callers."""
    return HttpCaller(cell, instance, "entry")


def customer(**values):
    """Return the body that declares the customer `small`."""
    return {"kind": "Customer", "name": "small", **values}


def test_concurrent_writes_of_two_operators_conflict():
    """Two operators read revision R of a resource and both write to it.

    The second write must be refused, with the current revision R+1 in the answer, instead of
    overwriting the first.
    """
    cell = make_cell()
    path = "/v1/resources/Customer/small"
    _, shown = operators_api(cell, "a1").call("GET", path)
    at = shown["revision"]
    first = operators_api(cell, "a1").call("PUT", f"{path}?revision={at}", customer(priority=1))
    second = operators_api(cell, "a2").call("PUT", f"{path}?revision={at}", customer(priority=2))
    assert first[0] == 200 and first[1]["changed"]
    assert second[0] == 409
    assert second[1]["error"]["code"] == "AF202"
    assert second[1]["error"]["details"]["revision"] == first[1]["revision"]
    assert cell.daemons["a3"].context.catalog.customer("small").priority == 1


def test_repeated_write_changes_nothing():
    cell = make_cell()
    path = "/v1/resources/Customer/small?revision=0"
    new = {"kind": "Customer", "name": "fresh"}
    first = operators_api(cell).call("PUT", "/v1/resources/Customer/fresh?revision=0", new)
    again = operators_api(cell, "a2").call("PUT", "/v1/resources/Customer/fresh?revision=0", new)
    assert first[1]["changed"] and not again[1]["changed"]
    assert first[1]["revision"] == again[1]["revision"]
    assert operators_api(cell).call("PUT", path, customer(priority=5))[0] == 409


def test_watch_resumes_at_another_instance_without_losing_changes():
    cell = make_cell()
    start = operators_api(cell).call("GET", "/v1/resources/Customer")[1]["revision"]
    for priority in (11, 12, 13):
        assert operators_api(cell).call(
            "PUT", "/v1/resources/Customer/small", customer(priority=priority)
        )
    at, seen = start, []
    for instance in ("a1", "a2", "a3"):
        status, page = operators_api(cell, instance).call("GET", f"/v1/watch?after={at}")
        assert status == 200
        changes = page["changes"][:1]
        seen += [change["value"]["priority"] for change in changes]
        at = changes[-1]["revision"]
    assert seen == [11, 12, 13]


def test_watch_without_changes_is_answered_at_its_timeout():
    cell = make_cell()
    at = cell.daemons["a1"].context.catalog.revision
    watcher = operators_api(cell)
    assert watcher.call("GET", f"/v1/watch?after={at}&timeout_s=30", seconds=2.0) is None
    answer = watcher.call("GET", f"/v1/watch?after={at}&timeout_s=1", seconds=2.0)
    assert answer == (200, {"revision": at, "changes": []})


def test_watch_from_an_old_revision_is_answered_with_410():
    cell = make_cell()
    status, answer = operators_api(cell).call("GET", "/v1/watch?after=1")
    assert status == 410
    assert answer["error"]["code"] == "AF203"


def test_list_is_paged_in_order():
    names = [f"c{number:02d}" for number in range(25)]
    cell = make_cell(declarations=make_declarations(names))
    seen, after = [], ""
    while after is not None:
        path = f"/v1/resources/Customer?limit=10&after={after}"
        _, page = operators_api(cell).call("GET", path)
        seen += [item["value"]["name"] for item in page["items"]]
        after = page["next"]
    assert seen == names


def test_resource_in_use_is_not_deleted():
    cell = make_cell()
    status, answer = operators_api(cell).call("DELETE", "/v1/resources/Policy/interactive")
    assert (status, answer["error"]["code"]) == (400, "AF102")
    assert "Workload/lookup" in answer["error"]["message"]


@pytest.mark.parametrize(
    "body, code",
    [
        (b"", "AF301"),
        (b"{", "AF301"),
        (b"\xff\xfe", "AF301"),
        (b"[1]", "AF301"),
        (b'{"customer": "small"}', "AF301"),
        (b'{"customer": "small", "workload": "lookup", "priority": 1}', "AF301"),
        (b'{"customer": "small", "workload": "lookup", "deadline_s": -1}', "AF301"),
        (b'{"customer": "nobody", "workload": "lookup"}', "AF301"),
        (b'{"customer": "small", "workload": "refresh"}', "AF301"),
        (b'{"payload": "' + b"x" * 300_000 + b'"}', "AF303"),
    ],
)
def test_malformed_request_is_answered_with_an_error_code(body, code):
    cell = make_cell()
    status, answer = callers_api(cell).call("POST", "/v1/requests", body)
    assert 400 <= status < 500
    assert answer["error"]["code"] == code
    assert cell.part("a1", "entry").n_in_progress == 0


def test_unknown_path_is_answered_with_an_error_code():
    cell = make_cell(n_instances=1, n_workers=1)
    status, answer = callers_api(cell).call("GET", "/v1/nothing/here")
    assert (status, answer["error"]["code"]) == (404, "AF201")


def test_job_that_fits_no_worker_is_refused_with_the_reason():
    declarations = make_declarations()
    big = Amounts(cpu_milli=64_000, memory_mb=1024)
    declarations[-1].needs = big
    cell = make_cell(declarations=declarations)
    job = make_job("j1", "assembly", 2)
    call = {"name": "j1", "customer": "large", "workload": "assembly", "tasks": job.tasks}
    status, answer = callers_api(cell).call("POST", "/v1/jobs", call)
    assert (status, answer["error"]["code"]) == (400, "AF102")
    assert "cpu_milli 64000" in answer["error"]["message"]


def test_status_reports_why_a_job_waits():
    quota = Amounts(cpu_milli=3000, memory_mb=100_000, slots=50)
    cell = make_cell(declarations=make_declarations(quota=quota))
    cell.submit("a1", make_job("j1", "refresh", 10, seconds=30.0))
    cell.advance(2.0)
    for instance in ("a1", "a2", "a3"):
        _, answer = callers_api(cell, instance).call("GET", "/v1/jobs/large/j1")
        assert answer["now"]["tasks"]["started"] == 3
        assert "quota of customer large is used up: cpu_milli 3000 of 3000" in answer["now"]["why"]


def test_instance_without_a_configuration_is_not_ready():
    """An instance starts while the table is unavailable, and so has no configuration.

    It must answer its dump, fail its health check and refuse requests until the table is back.
    """
    cell = make_cell(n_instances=1)
    cell.table_faults.down = True
    cell.crash_instance("a1")
    cell.start_instance("a2")
    cell.advance(3.0)
    assert operators_api(cell, "a2").call("GET", "/health")[0] == 503
    assert operators_api(cell, "a2").call("GET", "/dump")[0] == 200
    status, answer = callers_api(cell, "a2").call(
        "POST", "/v1/requests", {"customer": "small", "workload": "lookup"}
    )
    assert (status, answer["error"]["code"]) == (503, "AF204")
    cell.table_faults.down = False
    cell.advance(5.0)
    assert operators_api(cell, "a2").call("GET", "/health")[0] == 200
