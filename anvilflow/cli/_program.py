"""The commands of ``anvilflow``."""

import os
import signal
import sys

import fire
from fire.decorators import SetParseFn
from logbook import StderrHandler, lookup_level

from ..exceptions import AnvilflowError, CallError, RequestError
from ..logs import explain_job, read_log
from ..settings import load_settings, parse_address
from ..utils import decode
from ._api import Api
from ._declared import find_declarations, plan_changes
from ._output import check_output, complain, show

_ENDED = {"completed", "failed", "cancelled"}
_ADDRESS_MISSING = "name an instance with {} or the variable {}; allowed: IP:PORT[,IP:PORT...]"


def _run(make_deferred):
    """Run a Deferred-returning function on the reactor; return its result or raise its failure.

    The reactor is imported here because importing installs it, and commands without network need
    none.
    """
    from twisted.internet import reactor
    from twisted.internet.defer import maybeDeferred

    results = []

    def begin():
        done = maybeDeferred(make_deferred, reactor)
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    result = results[0] if results else None
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


class Program:
    """Anvilflow: a scheduler for mixed workloads on one shared cluster.

    Exit status: 0 done; 3 bad settings; 4 bad declaration or call; 5 not found; 6 conflict;
    7 revision gone; 8 not ready; 9 not run; 10 platform; 12 a part kept failing.
    """

    def run(self, settings):
        """Run an instance until SIGTERM, then drain it. Example: anvilflow run a1.json"""
        checked = load_settings(str(settings))
        StderrHandler(level=lookup_level(checked.log.level.upper())).push_application()
        _run(lambda reactor: _run_daemon(reactor, checked))

    def check(self, settings):
        """Check a settings file. Example: anvilflow check examples/lonestar.settings.json"""
        checked = load_settings(str(settings))
        print(f"{settings}: good; instance {checked.instance.name}")

    # Keeps fire from parsing an id such as 00000000000000e1 as a number.
    @SetParseFn(str)
    def explain(self, job, *logs):
        """Explain what happened to a job, from the logs of instances.

        Example: anvilflow explain 5c0e7a21d94b36f8 a1.log a2.log
        """
        if not logs:
            raise CallError("name at least one log file")
        lines = []
        for path in logs:
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines += read_log(file)
            except OSError as exc:
                raise CallError(f"{path}: cannot be read: {exc.strerror}") from exc
        for line in explain_job(str(job), lines):
            print(line)

    def apply(self, *paths, operators=None, dry_run=False, output="table"):
        """Apply declarations and print what changes.

        Example: anvilflow apply examples/lonestar --operators 127.0.0.1:7201 --dry-run
        """
        check_output(output)
        if not paths:
            raise CallError("name at least one file or folder of declarations")
        resources = find_declarations(map(str, paths))
        address = operators or os.environ.get("ANVILFLOW_OPERATORS")
        if address is None and dry_run:
            _show_plan(plan_changes(resources, {}), output)
            print("No cell was named: compared with an empty one.", file=sys.stderr)
            return
        api = Api(addresses=_address(operators, "operators"))
        plan = _run(lambda _: _apply(api, resources, dry_run))
        _show_plan(plan, output)

    def get(self, kind, name=None, *, customer="", operators=None, output="table"):
        """List the resources of a kind, or show one. Example: anvilflow get Workload lookup"""
        check_output(output)
        api = Api(addresses=_address(operators, "operators"))
        if name is not None:
            item = _run(lambda _: api.call("GET", f"/v1/resources/{kind}/{name}"))
            show([{**item, **item["value"]}], ["key", "revision"], output)
            return
        if kind in ("Worker", "Instance"):
            page = _run(lambda _: api.call("GET", f"/v1/resources/{kind}"))
            show(page["items"], list(page["items"][0]) if page["items"] else ["name"], output)
            return
        found, _ = _run(lambda _: api.list_all(kind, customer=customer))
        rows = [
            {
                "key": key,
                "revision": revision,
                "phase": value.get("phase", ""),
                "value": value,
            }
            for key, (revision, value) in found.items()
        ]
        show(rows, ["key", "revision", "phase"], output)

    def delete(self, kind, name, *, revision=None, operators=None):
        """Delete a resource. Example: anvilflow delete Customer showrooms --revision 12"""
        api = Api(addresses=_address(operators, "operators"))
        params = {"revision": str(revision)} if revision is not None else None
        path = f"/v1/resources/{kind}/{name}"
        answer = _run(lambda _: api.call("DELETE", path, params=params))
        print(f"{kind}/{name} deleted at revision {answer['revision']}")

    def watch(self, *, after=None, count=None, operators=None):
        """Print each change as it comes, one JSON object a line. Example: anvilflow watch"""
        api = Api(addresses=_address(operators, "operators"))
        _run(lambda _: _watch(api, after, count))

    def submit(self, path, *, callers=None, wait=False):
        """Submit the job in a JSON file. Example: anvilflow submit job.json --wait"""
        api = Api(addresses=_address(callers, "callers"))
        try:
            with open(path, "rb") as file:
                job = decode(file.read(), dict)
        except OSError as exc:
            raise CallError(f"{path}: cannot be read: {exc.strerror}") from exc
        answer = _run(lambda reactor: _submit(reactor, api, job, wait))
        show([answer], list(answer), "table")

    def cancel(self, customer, job, *, callers=None):
        """Cancel a job and wait until no task of it runs. Example: anvilflow cancel big job-7"""
        api = Api(addresses=_address(callers, "callers"))
        answer = _run(lambda reactor: _cancel(reactor, api, customer, job))
        print(f"{customer}/{job} {answer['phase']}")

    def status(self, customer=None, job=None, *, operators=None, callers=None, output="table"):
        """Show the instances, the oldest configuration first; or a job and why it waits.

        Example: anvilflow status --operators 127.0.0.1:7201,127.0.0.1:7202
        """
        check_output(output)
        if customer is not None and job is not None:
            api = Api(addresses=_address(callers, "callers"))
            answer = _run(lambda _: api.call("GET", f"/v1/jobs/{customer}/{job}"))
            now = answer.get("now") or {}
            row = {**answer, "why": now.get("why", answer["reason"])}
            columns = ["customer", "name", "phase", "n_tasks", "n_done", "n_failed", "why"]
            show([row], columns, output)
            return
        addresses = _address(operators, "operators").split(",")
        for address in addresses:
            parse_address(address, "--operators")
        rows = _run(lambda _: _fetch_statuses(addresses))
        show(rows, ["instance", "revision", "ready", "leaving", "workers", "error"], output)

    def dump(self, instance):
        """Print the state of every part of an instance. Example: anvilflow dump 127.0.0.1:7201"""
        api = Api(addresses=str(instance))
        show(_run(lambda _: api.call("GET", "/dump")), [], "json")

    def demo(self, *, deployment="lonestar", seconds=20.0, random_state=0):
        """Run a whole cell in this process and check its invariants. Example: anvilflow demo"""
        from ..demo import run_demo

        all_passed = _run(
            lambda reactor: run_demo(
                reactor, deployment=deployment, seconds=seconds, random_state=random_state
            )
        )
        if not all_passed:
            raise RequestError("a check failed; see the lines marked BROKEN above")


def _address(given, name):
    variable = f"ANVILFLOW_{name.upper()}"
    address = given or os.environ.get(variable)
    if not address:
        raise CallError(_ADDRESS_MISSING.format(f"--{name}", variable))
    return ",".join(map(str, address)) if isinstance(address, tuple | list) else str(address)


def _run_daemon(reactor, settings):
    from twisted.internet.defer import Deferred

    from ..parts import make_daemon

    ended = Deferred()
    daemon = make_daemon(settings, reactor=reactor, give_up=ended.errback)

    def drain(*_):
        reactor.callFromThread(lambda: daemon.drain().chainDeferred(ended))

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, drain)
    daemon.start()
    return ended


async def _apply_plan(api, plan):
    for item in plan:
        if item.action != "unchanged":
            params = {"revision": str(item.revision)}
            path = f"/v1/resources/{item.key}"
            await api.call("PUT", path, value=item.value, params=params)


def _apply(api, resources, dry_run):
    from twisted.internet.defer import ensureDeferred

    async def steps():
        current = {}
        for kind in sorted({key.split("/")[0] for key in resources}):
            found, _ = await api.list_all(kind)
            current.update(found)
        plan = plan_changes(resources, current)
        if not dry_run:
            await _apply_plan(api, plan)
        return plan

    return ensureDeferred(steps())


def _show_plan(plan, output):
    rows = [
        {
            "action": item.action,
            "key": item.key,
            "changes": "; ".join(
                f"{name}: {old} -> {new}" for name, (old, new) in item.changed.items()
            ),
        }
        for item in plan
    ]
    show(rows, ["action", "key", "changes"], output)


def _watch(api, after, count):
    from twisted.internet.defer import ensureDeferred

    async def steps():
        revision, n_printed = after, 0
        while count is None or n_printed < count:
            params = {
                "timeout_s": "10",
                **({"after": str(revision)} if revision is not None else {}),
            }
            answer = await api.call("GET", "/v1/watch", params=params, timeout=20)
            for change in answer["changes"]:
                show([change], [], "json")
                n_printed += 1
            revision = answer["revision"]

    return ensureDeferred(steps())


def _sleep(reactor, seconds):
    from twisted.internet.task import deferLater

    return deferLater(reactor, seconds, lambda: None)


async def _wait_until_ended(reactor, api, customer, name):
    while True:
        answer = await api.call("GET", f"/v1/jobs/{customer}/{name}")
        now = (answer.get("now") or {}).get("tasks", {})
        print(f"{customer}/{name} {answer['phase']} {now}", file=sys.stderr)
        if answer["phase"] in _ENDED:
            return answer
        await _sleep(reactor, 0.5)


def _submit(reactor, api, job, wait):
    from twisted.internet.defer import ensureDeferred

    async def steps():
        answer = await api.call("POST", "/v1/jobs", value=job)
        if wait:
            answer = await _wait_until_ended(reactor, api, answer["customer"], answer["name"])
        return answer

    return ensureDeferred(steps())


def _cancel(reactor, api, customer, name):
    from twisted.internet.defer import ensureDeferred

    async def steps():
        await api.call("POST", f"/v1/jobs/{customer}/{name}/cancel")
        return await _wait_until_ended(reactor, api, customer, name)

    return ensureDeferred(steps())


def _fetch_statuses(addresses):
    from twisted.internet.defer import ensureDeferred

    async def steps():
        rows = []
        for address in addresses:
            try:
                rows.append(await Api(addresses=address).call("GET", "/v1/status"))
            except AnvilflowError as exc:
                rows.append({"instance": address, "revision": -1, "error": exc.code})
        return sorted(rows, key=lambda row: row["revision"])

    return ensureDeferred(steps())


def main(argv=None):
    """Run the command line; the exit status is that of the error, or 130 after an interrupt."""
    try:
        fire.Fire(Program(), command=argv, name="anvilflow")
    except AnvilflowError as exc:
        complain(exc)
        sys.exit(exc.exit_status)
    except KeyboardInterrupt:
        sys.exit(130)
