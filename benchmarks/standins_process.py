"""Stand-ins for the platform and workers of a cell in one process, for daemons in other processes.

The process writes the settings files of the daemons, lists the daemons as members and generates
load once they are ready: batches of long tasks, tasks at a rate, or requests and jobs whose history
is checked. `make idle` and `make processes` start it. Without `load_s` it runs until it is killed.
"""

import sys
from pathlib import Path

import fire
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

from anvilflow.clients import MemberInfo
from anvilflow.decisions import Outcome
from anvilflow.history import Answered, History, Sent, check_history
from anvilflow.resources import Amounts
from anvilflow.standins import Cell, make_client, make_declarations
from anvilflow.utils import decode_lenient, encode

HOST = "127.0.0.1"

#: Time until the daemons are ready, and time from the end of the load until all jobs must have
#: ended. Unit: seconds.
READY_S = 8
SETTLE_S = 25

SETTINGS = """{{
  "instance": {{"name": "a{n}", "failure_domain": "d{domain}"}},
  "listen": {{"callers": "{host}:{callers}", "operators": "{host}:{operators}",
             "peers": "{host}:{peers}"}},
  "platform": {{"table": "{table}", "objects": "{objects}",
               "membership": "{membership}"}},
  "log": {{"level": "warning"}},
}}
"""


class StandInProcess:
    """Stand-ins and load for daemons in other processes."""

    def __init__(self, *, folder, n_instances, n_workers, n_customers, base_port, slots):
        self.folder = Path(folder)
        self.n_instances = n_instances
        self.base_port = base_port
        self.history = History(clock=reactor)
        customers = [f"c{number}" for number in range(n_customers)]
        self.cell = Cell(
            reactor=reactor,
            domains=["d1", "d2", "d3"],
            n_instances=0,
            n_workers=n_workers,
            workers_per_rack=8,
            capacity=Amounts(cpu_milli=10**8, memory_mb=10**8, slots=slots),
            declarations=make_declarations(customers),
            history=self.history,
        )
        self.http = make_client(reactor)
        self.n_submitted = 0
        self.n_sent = 0
        self.outcomes = {}

    def start(self):
        """Start the stand-ins, write the settings of the daemons and list these as members."""
        self.cell.start_standins()
        self.folder.mkdir(parents=True, exist_ok=True)
        for number in range(1, self.n_instances + 1):
            callers, operators, peers = (self.port(number, kind) for kind in range(3))
            text = SETTINGS.format(
                n=number,
                domain=1 + number % 3,
                host=HOST,
                callers=callers,
                operators=operators,
                peers=peers,
                table=self.cell.table_address,
                objects=self.cell.objects_address,
                membership=self.cell.membership_address,
            )
            (self.folder / f"a{number}.json").write_text(text)
            self.cell.membership.put(
                MemberInfo(
                    name=f"a{number}",
                    role="instance",
                    address=f"{HOST}:{peers}",
                    failure_domain=f"d{1 + number % 3}",
                )
            )
        self.cell.membership.settle()

    def port(self, number, kind):
        """Return the port of a daemon for callers (`kind` 0), operators (1) or peers (2)."""
        return self.base_port + 10 * number + kind

    async def submit(self, n_tasks, seconds):
        """Submit a batch of tasks, and retry until an instance accepts it."""
        self.n_submitted += 1
        tasks = [encode({"seconds": seconds}).decode() for _ in range(n_tasks)]
        call = {
            "name": f"j{self.n_submitted}",
            "customer": f"c{self.n_submitted % 8}",
            "workload": "refresh",
            "tasks": tasks,
        }
        while True:
            try:
                url = f"http://{HOST}:{self.port(1, 0)}/v1/jobs"
                status, response = await self.http.post_json(url, call, timeout=5)
                if status in (200, 201):
                    return
                print(status, response[:200], file=sys.stderr)
            except Exception as exc:
                print(repr(exc), file=sys.stderr)
            await deferLater(reactor, 0.5, lambda: None)

    async def request(self):
        """Send a request to the next instance, round robin.

        If the connection breaks, the outcome is recorded as unknown.
        """
        self.n_sent += 1
        number = 1 + self.n_sent % self.n_instances
        token = f"t{self.n_sent}"
        idempotent = self.n_sent % 3 > 0
        call = {
            "customer": f"c{self.n_sent % 8}",
            "workload": "lookup",
            "payload": encode({"token": token, "seconds": 0.02}).decode(),
            "deadline_s": 4.0,
            "idempotent": idempotent,
        }
        self.history.add(Sent, token=token, idempotent=idempotent)
        outcome, echoed = Outcome.UNKNOWN.value, ""
        try:
            url = f"http://{HOST}:{self.port(number, 0)}/v1/requests"
            _, body = await self.http.post_json(url, call, timeout=5)
            response = decode_lenient(body)
            outcome = response.get("outcome", Outcome.NOT_RUN.value)
            if outcome == Outcome.COMPLETED:
                echoed = decode_lenient(response["result"])["token"]
        except Exception as exc:
            outcome = "refused" if "Refused" in repr(exc) else outcome
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.history.add(Answered, token=token, outcome=outcome, echoed=echoed)

    def check_load(self):
        """Print the verdicts; return whether all invariants held and all jobs are completed."""
        verdicts = check_history(self.history.events, instances=[])
        print(f"requests by outcome: {self.outcomes}; jobs submitted: {self.n_submitted}")
        rows = [
            row for key, row in self.cell.table.rows.items() if key.startswith("config/item/Job")
        ]
        phases = [value["value"]["phase"] for _, value in rows]
        n_by_phase = {phase: phases.count(phase) for phase in sorted(set(phases))}
        print(f"jobs by phase: {n_by_phase}")
        for verdict in verdicts:
            line = f"{verdict.status_text:11} {verdict.promise} ({verdict.n_checked} checked)"
            print(line, verdict.broken[:2])
        return all(verdict.held for verdict in verdicts) and set(phases) == {"completed"}


def main(
    folder,
    instances=1,
    workers=8,
    customers=8,
    slots=100_000,
    running=0,
    rate=0,
    base_port=21000,
    load_s=0,
):
    """Run the stand-ins until killed; with `load_s`, send load for that time, check it and exit."""
    process = StandInProcess(
        folder=folder,
        n_instances=instances,
        n_workers=workers,
        n_customers=customers,
        base_port=base_port,
        slots=slots,
    )

    def begin():
        process.start()
        for _ in range(running // 200):
            reactor.callLater(4.0, lambda: ensureDeferred(process.submit(200, 600.0)))
        if rate:
            submissions = LoopingCall(lambda: ensureDeferred(process.submit(int(rate), 0.2)))
            reactor.callLater(4.0, submissions.start, 1.0)

    results = []

    def send_load():
        requests = LoopingCall(lambda: ensureDeferred(process.request()))
        jobs = LoopingCall(lambda: ensureDeferred(process.submit(12, 1.5)))
        requests.start(1 / 50)
        jobs.start(1.0)
        reactor.callLater(load_s, requests.stop)
        reactor.callLater(load_s, jobs.stop)
        reactor.callLater(load_s + SETTLE_S, lambda: results.append(process.check_load()))
        reactor.callLater(load_s + SETTLE_S + 0.1, reactor.stop)

    reactor.callWhenRunning(begin)
    if load_s:
        reactor.callLater(READY_S, send_load)
    reactor.run()
    sys.exit(0 if not results or results[0] else 1)


if __name__ == "__main__":
    fire.Fire(main)
