"""API keys of accounts: which calls are served, and what one account learns of another's jobs."""

import json

import pytest

from anvilflow.cell import _gateway
from anvilflow.jobs import ApiKeys, CellConfig, ClientAccount
from anvilflow.platform import _front, decode_config
from anvilflow.standins import make_platform_config
from anvilflow.utils import encode

from ._helpers import JOB, STEP, make_cell

KEY = "first-key-0123456789"
OTHER_KEY = "other-key-0123456789"
NO_KEY = "no-accounts-key"


def make_accounts(**keys):
    """Return accounts in the wire format, each with the given list of keys."""
    return [{"name": name, "api-keys": each, "weight": 2} for name, each in keys.items()]


def make_config(version=1, **keys):
    """Return a configuration with a queue that needs keys, one that does not, and accounts."""
    queues = [
        {"name": "urgent", "prefix": "/urgent/", "public": False},
        {"name": "open", "prefix": "/open/", "public": True},
    ]
    accounts = make_accounts(**(keys or {"a": [KEY], "b": [OTHER_KEY]}))
    return make_platform_config(version, queues=queues, tenants=accounts)


def call(cell, method="GET", path="/urgent/", **values):
    """Make a call and return its status, after a second at most."""
    answers = cell.call(cell.other(), method, path, **values)
    for _ in range(20):
        if not answers:
            cell.advance(0.05)
    return answers[0][0] if answers else None


@pytest.fixture
def cell():
    """Return a started cell with two accounts."""
    return make_cell(config=make_config())


@pytest.mark.parametrize("safeguard", [True, False])
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_call_with_a_key_that_no_account_has_is_refused(cell, monkeypatch, method, safeguard):
    if not safeguard:
        account = ClientAccount(name="a")
        monkeypatch.setattr(CellConfig, "account_with_key", lambda self, key: account)
    body = encode({"spec": "", "steps": [STEP]})
    status = call(cell, method, f"/urgent/{JOB}", body=body, key=NO_KEY)
    assert (status == 401) is safeguard
    cell.advance(1.0)
    assert (cell.spans == []) or not safeguard


@pytest.mark.parametrize(
    "values",
    [
        ["Basic " + KEY],
        [KEY],
        ["Bearer"],
        ["Bearer "],
        [""],
        ["Bearer " + "x" * 600],
        [f"Bearer {KEY}", f"Bearer {KEY}"],
        [f"Bearer {KEY} {KEY}"],
        [b"Bearer \xff\xfe"],
    ],
)
@pytest.mark.parametrize("queue", ["urgent", "open"])
def test_malformed_authorization_is_refused(cell, values, queue):
    answers = cell.call(cell.other(), "GET", f"/{queue}/", headers={"Authorization": values})
    assert answers[0][0] == 401
    assert answers[0][1]["error"]["code"] == "AF308"
    assert answers[0][2][b"www-authenticate"] == b"Bearer"


def test_scheme_is_not_case_sensitive(cell):
    assert call(cell, headers={"authorization": [f"bearer  {KEY} "]}) == 200


def test_checks_are_made_in_order(cell):
    """Guards against telling a caller without a key what a job or a body would be answered."""
    assert call(cell, "POST", f"/nowhere/{JOB}", key=NO_KEY) == 404
    assert call(cell, "PATCH", "/urgent/x") == 401
    assert call(cell, "POST", "/urgent/x", body=b"{") == 401
    assert call(cell, "PATCH", "/urgent/x", key=KEY) == 400
    empty = make_cell(config=False)
    assert empty.call(empty.other(), "GET", "/urgent/", key=NO_KEY)[0][0] == 503


def test_public_queue_needs_no_key(cell):
    assert call(cell, path="/open/") == 200
    assert call(cell, path="/open/", key=NO_KEY) == 401


def test_cell_without_accounts_ignores_keys():
    cell = make_cell()
    assert call(cell) == call(cell, key=NO_KEY) == 200
    assert call(cell, headers={"authorization": ["Basic x"]}) == 200


def test_missing_accounts_do_not_open_a_cell_whose_settings_demand_keys(cell):
    for daemon in cell.daemons.values():
        daemon.context.settings.contracts = ["base", "tenants"]
    cell.store.put("op", "config", make_platform_config(2))
    cell.advance(1.0)
    assert call(cell) == call(cell, key=KEY) == 401


@pytest.mark.parametrize("safeguard", [True, False])
def test_account_learns_nothing_of_the_job_of_another(cell, monkeypatch, safeguard):
    """Guards against an account that reads or cancels the jobs of another."""
    if not safeguard:
        monkeypatch.setattr(_gateway, "_name_of", lambda account: None)
    cell.submit(cell.other(), JOB, STEP, key=KEY, spec="9.0 done 1000")
    cell.advance(0.5)
    assert cell.state(cell.other(), JOB, key=KEY) == "running"
    assert (cell.state(cell.other(), JOB, key=OTHER_KEY) == 410) is safeguard
    assert (cell.state(cell.other(), JOB, queue="open") == 410) is safeguard
    if safeguard:
        name = cell.other()
        assert call(cell, "DELETE", f"/urgent/{JOB}", key=OTHER_KEY) == 410
        cell.isolate(name)
        cell.advance(0.6)
        assert cell.call(name, "DELETE", f"/urgent/{JOB}", key=OTHER_KEY) == []
        cell.advance(2.0)
        assert cell.state(name, JOB, key=OTHER_KEY) == 410
        assert cell.state(name, JOB, key=KEY) == "running"


def test_account_learns_nothing_of_an_ended_job_of_another(cell):
    cell.submit(cell.other(), JOB, STEP, key=KEY, spec="0.1 done 1000")
    cell.advance(2.0)
    for _ in range(2):
        assert cell.state(cell.other(), JOB, key=OTHER_KEY) == 410
        assert cell.state(cell.other(), JOB, key=KEY) == "completed"
        cell.kill(cell.leader())
        cell.start_instance("a9")
        cell.advance(6.0)


def test_job_id_of_another_account_is_not_accepted(cell):
    """Guards against the answer that a job was accepted before, while it is another account's."""
    cell.submit(cell.other(), JOB, STEP, key=KEY, spec="9.0 done 1000")
    cell.advance(0.5)
    for name in cell.daemons:
        [answer] = _submit(cell, name, OTHER_KEY)
        assert answer[0] == 409
        [answer] = _submit(cell, name, KEY)
        assert answer[0] == 200


def _submit(cell, name, key):
    answers = cell.submit(name, JOB, STEP, key=key, spec="9.0 done 1000")
    cell.advance(0.5)
    return answers


def make_limited_config(version, cpu):
    """Return a configuration whose first account has a maximum of processor."""
    config = make_config(version)
    config["tenants"][0]["maximum"] = {"cpu": cpu}
    return config


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("safeguard", [True, False])
def test_job_above_the_maximum_by_itself_is_refused_at_once(monkeypatch, gang, safeguard):
    """Guards against an accepted job that can never run."""
    if not safeguard:
        monkeypatch.setattr(ClientAccount, "can_ever_run", lambda self, step: True)
    cell = make_cell(config=make_limited_config(1, 3000))
    step = {"count": 4, "cpu": 1000, "gang": True} if gang else {"count": 1, "cpu": 3001}
    answers = cell.submit(cell.other(), JOB, step, key=KEY)
    cell.advance(0.5)
    assert (answers[0][0] == 429) is safeguard
    assert cell.spans == []
    other = cell.submit(cell.other(), "f" * 16, step, key=OTHER_KEY)
    cell.advance(0.5)
    assert other[0][0] == 200


def test_copy_of_an_accepted_job_is_not_refused_after_its_maximum_was_lowered(cell):
    """Guards against the answer that a job never runs, for one that was accepted and runs."""
    cell.submit(cell.other(), JOB, STEP, key=KEY, spec="9.0 done 1000")
    cell.advance(0.5)
    cell.store.put("op", "config", make_limited_config(2, 500))
    cell.advance(1.0)
    assert _submit(cell, cell.other(), KEY)[0][0] == 200
    assert len(cell.spans) == STEP["count"]


def test_rows_of_earlier_releases_have_no_account():
    """Guards against jobs that nobody can read after an upgrade to a release with accounts."""
    cell = make_cell()
    cell.submit(cell.other(), JOB, STEP, spec="9.0 done 1000")
    cell.advance(0.5)
    cell.store.put("op", "config", make_config(2))
    cell.advance(1.0)
    assert cell.state(cell.other(), JOB, key=KEY) == "running"
    assert cell.state(cell.other(), JOB) == 401


def test_keys_stand_in_no_row_log_metric_dump_or_frame(cell, monkeypatch):
    logged = []
    frames = []
    for daemon in cell.daemons.values():
        for part in ("config", "entry", "home"):
            log = daemon.supervisor.part(part).log
            for level in ("info", "warning"):
                monkeypatch.setattr(log, level, lambda *a, **v: logged.append((a, v)))
        for link in daemon.context.links.peers.values():
            send = link.send
            monkeypatch.setattr(link, "send", lambda m, send=send: (frames.append(m), send(m)))
    cell.store.put("op", "config", make_config(2, a=[KEY, "new" + KEY], b=[OTHER_KEY]))
    cell.submit(cell.other(), JOB, STEP, key=KEY)
    call(cell, key=NO_KEY)
    cell.advance(2.0)
    daemons = cell.daemons.values()
    pages = [daemon.context.meters.page() for daemon in daemons]
    dumps = [encode(daemon.dump()) for daemon in daemons]
    configs = [repr(daemon.context.config) for daemon in daemons]
    rows = [value for (table, *_), (_, value) in cell.store.rows.items() if table != "op"]
    seen = repr((logged, [repr(vars_of(frame)) for frame in frames], pages, dumps, configs, rows))
    assert logged and frames
    assert not any(key in seen for key in (KEY, OTHER_KEY, NO_KEY))


def vars_of(message):
    """Return the fields of a message."""
    return {name: getattr(message, name) for name in message.__slots__}


@pytest.mark.parametrize(
    "accounts",
    [
        [{"name": ""}],
        [{"api-keys": ["x"]}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "weight": -1}],
        [{"name": "a", "weight": 1e300}],
        [{"name": "a", "maximum": {"cpu": -1}}],
        [{"name": "a", "maximum": {"mem-mb": 10**18}}],
        [{"name": "a", "api-keys": [7]}],
        [{"name": "a", "api-keys": "abc"}],
        {"a": {}},
    ],
)
def test_malformed_accounts_leave_the_last_configuration_in_force(cell, accounts):
    config = {**make_platform_config(2), "tenants": accounts}
    cell.store.put("op", "config", config)
    cell.advance(1.0)
    assert {daemon.context.config.version for daemon in cell.daemons.values()} == {1}
    assert call(cell, key=KEY) == 200
    assert call(cell, key=NO_KEY) == 401


def test_error_of_a_malformed_configuration_does_not_show_keys():
    body = json.dumps({"version": 1, "tenants": [{"name": "a", "api-keys": [KEY, 7]}]}).encode()
    with pytest.raises(Exception, match="AF401") as caught:
        decode_config(body)
    assert KEY not in str(caught.value)


def test_key_of_two_accounts_identifies_neither():
    keys = ApiKeys([("a", [KEY, "x"]), ("b", [KEY]), ("c", []), ("d", [KEY + "d", KEY + "d"])])
    assert [keys.owner_of(key) for key in (KEY, "x", KEY + "d")] == [None, "a", "d"]
    assert keys.ambiguous_owners == ["a", "b"]


def test_thousands_of_keys_are_decoded():
    accounts = [
        {"name": f"t{n}", "api-keys": [f"key-{n}-{i}" for i in range(40)]} for n in range(250)
    ]
    config = decode_config(encode(make_platform_config(tenants=accounts)))
    assert len(config.keys) == 10_000
    assert config.account_with_key("key-249-39").name == "t249"
    assert config.account_with_key("key-250-0") is None


def test_longest_key_is_checked_at_the_boundary(cell):
    longest = "k" * _front.MAX_KEY_CHARS
    cell.store.put("op", "config", make_config(2, a=[longest, ""], b=[longest + "k"]))
    cell.advance(1.0)
    assert call(cell, key=longest) == 200
    assert call(cell, key=longest + "k") == 401
