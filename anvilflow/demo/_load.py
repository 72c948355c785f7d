"""Load on the demo's cell, sent through the balancer to the callers' API."""

from random import Random

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

from ..decisions import Outcome
from ..history import Answered, ConfigAccepted, Sent
from ..metrics import Metrics
from ..utils import decode_lenient, encode

#: Deadline of a request. Unit: seconds.
_DEADLINE_S = 5.0

#: Number of tasks of a gang job, and of a batch job.
_GANG_TASKS = 12
_BATCH_TASKS = 60

_HEALTH_PERIOD_S = 0.25


class Load:
    """Sends the calls of the demo's callers and operators.

    Parameters
    ----------
    cell : Cell
    deployment : Deployment
    http : HttpClient
    random_state : int
    """

    def __init__(self, *, cell, deployment, http, random_state):
        self.cell = cell
        self.deployment = deployment
        self.http = http
        self.random_state = Random(random_state)
        self.metrics = Metrics()
        self.outcomes = {}
        self.n_open = 0
        self.n_jobs = 0
        self.errors = []
        self._n_sent = 0
        self._n_changes = 0
        self._loops = []
        self._stopped = False

    def start(self):
        """Start sending requests, jobs and configuration changes."""
        deployment = self.deployment
        self._call_poisson(
            120.0, lambda: self._send_request(deployment.small, deployment.lookup, 0.02)
        )
        self._call_poisson(
            40.0, lambda: self._send_request(deployment.large, deployment.order, 0.05)
        )
        self._call_every(
            0.7, lambda: self._submit_job(deployment.large, deployment.assembly, _GANG_TASKS, 1.0)
        )
        self._call_every(
            1.3,
            lambda: self._submit_job(deployment.background, deployment.refresh, _BATCH_TASKS, 0.8),
        )
        self._call_every(_HEALTH_PERIOD_S, self._check_health)
        self._call_every(2.0, self._change_config)

    def stop(self):
        """Stop sending."""
        self._stopped = True
        for loop in self._loops:
            loop.stop()

    def _call_every(self, period, call):
        loop = LoopingCall(lambda: self._call_and_record_failure(call))
        loop.clock = self.cell.reactor
        self._loops.append(loop)
        loop.start(period)

    def _call_poisson(self, rate, call):
        """Call at random times, `rate` times a second on average."""
        if self._stopped:
            return
        self._call_and_record_failure(call)
        delay = self.random_state.expovariate(rate)
        self.cell.reactor.callLater(delay, self._call_poisson, rate, call)

    def _call_and_record_failure(self, call):
        done = ensureDeferred(call())
        done.addErrback(lambda failure: self.errors.append(failure.value))

    async def _send_request(self, customer, workload, seconds):
        chosen = self.cell.balancer.choose()
        if chosen is None:
            return
        self._n_sent += 1
        token = f"{customer}-{self._n_sent}"
        reactor = self.cell.reactor
        self.cell.history.add(Sent, token=token, idempotent=workload.idempotent)
        began = reactor.seconds()
        self.n_open += 1
        call = {
            "customer": customer,
            "workload": workload.name,
            "payload": encode({"token": token, "seconds": seconds}).decode(),
            "deadline_s": _DEADLINE_S,
        }
        outcome, echoed = "cut", ""
        try:
            url = f"http://{chosen[1]}/v1/requests"
            _, body = await self.http.post_json(url, call, timeout=_DEADLINE_S + 1)
            answer = decode_lenient(body)
            outcome = answer.get("outcome") or Outcome.NOT_RUN.value
            if outcome == Outcome.COMPLETED:
                echoed = decode_lenient(answer["result"])["token"]
                waited = max(0.0, reactor.seconds() - began - seconds)
                self.metrics.waited(customer, "service", waited)
        except Exception as exc:
            # Only the instance that the demo crashes may break a caller's connection.
            if chosen[0] in self.cell.daemons:
                self.errors.append(exc)
            else:
                outcome = Outcome.UNKNOWN.value
        finally:
            self.n_open -= 1
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.cell.history.add(Answered, token=token, outcome=outcome, echoed=echoed)

    async def _submit_job(self, customer, workload, n_tasks, seconds):
        self.n_jobs += 1
        name = f"job-{self.n_jobs}"
        tasks = [
            encode({"token": f"{name}-{index}", "seconds": seconds}).decode()
            for index in range(n_tasks)
        ]
        call = {"name": name, "customer": customer, "workload": workload.name, "tasks": tasks}
        # A submission is safe to repeat, also at another instance, so it is retried until accepted.
        while True:
            chosen = self.cell.balancer.choose()
            if chosen is not None:
                try:
                    url = f"http://{chosen[1]}/v1/jobs"
                    status, _ = await self.http.post_json(url, call, timeout=3)
                    if status in (200, 201):
                        return
                except Exception:
                    pass
            await deferLater(self.cell.reactor, 0.1, lambda: None)

    async def _check_health(self):
        """Pass the names of the healthy instances to the balancer."""
        healthy = []
        for name, daemon in list(self.cell.daemons.items()):
            if daemon.context.ready and not daemon.context.leaving:
                healthy.append(name)
        self.cell.balancer.set_healthy(healthy)

    async def _change_config(self):
        """Change the priority of a customer, as an operator does."""
        daemon = next(iter(self.cell.daemons.values()))
        self._n_changes += 1
        priority = 200 + self._n_changes
        name = self.deployment.small
        written = await daemon.context.resources.write(
            f"Customer/{name}", None, check=lambda stored: _with_priority(stored, priority)
        )
        self.cell.history.add(ConfigAccepted, revision=written.revision)


def _with_priority(customer, priority):
    customer.priority = priority
    return customer
