"""Complete cell in virtual time, with the real parts, stand-ins of the platform, and faults."""

from random import Random

from twisted.internet.defer import maybeDeferred

from ..cell import Bounds, CellContext, CellDaemon, CellSettings
from ..cell import ListenSettings as CellListen
from ..jobs import SchedulingPolicy
from ..platform import AdviceClient, StoreClient, WorkerCalls
from ..runtime import Bus
from ..utils import encode
from ._end_audit import EndAudit
from ._front_call import FrontCall
from ._metadata_store import MetadataStore
from ._network import MemoryNetwork
from ._pausable_clock import PausableClock
from ._platform_worker import PlatformWorker
from ._virtual_clock import VirtualClock
from ._wire import WireNetwork

STORE = "store:1"
ADVICE = "advice:1"

#: Step of virtual time. Unit: seconds.
STEP_S = 0.005

#: Bandwidth of the links of instances. Unit: Mbit/s.
SLOW_LINK_MBPS = 5
FAST_LINK_MBPS = 1000
BYTES_PER_MBIT = 125_000

#: Delays from a worker's crash to the removal of its registry entry and to its restart. Unit:
#: seconds.
ENTRY_REMOVAL_DELAY_S = 1.0
RESTART_DELAY_S = 3.0

#: Time after a capacity reduction during which starts may still use the old capacity. Unit:
#: seconds.
CAPACITY_CHANGE_DELAY_S = 0.1

#: Share of a core of the instances in `weak`.
LOW_CPU_SHARE = 0.12

#: Unix time at the start of virtual time. Unit: seconds.
EPOCH_S = 1_700_000_000.0


def make_platform_config(version=1, *, queues=None, advice=None, attempts=3, tenants=None):
    """Return an operator's configuration, by default with an urgent queue and a bulk queue.

    Parameters
    ----------
    version : int
    queues : list of dict, default=None
        Routes that replace the default queues.
    advice : dict, default=None
        Advice rules of the default queues.
    attempts : int
        Maximum attempts per task.
    tenants : list of dict, default=None
        Tenants; None for a cell without any.
    """
    if queues is None:
        extra = {"advice": advice} if advice else {}
        queues = [
            {"name": name, "prefix": f"/{name}/", "priority": priority, **extra}
            for name, priority in (("urgent", 0), ("bulk", 2))
        ]
    routes = [
        {
            "host": "desk.example",
            "service": "desk",
            "max-attempts": attempts,
            "stretch": 2.0,
            "target-latency-ms": 250,
            **queue,
        }
        for queue in queues
    ]
    config = {"version": version, "routes": routes, "services": [{"name": "desk"}]}
    return config if tenants is None else {**config, "tenants": tenants}


def make_job_body(*steps, **values):
    """Return the body of a client's submission; each step is a dict in the wire format."""
    return encode({"spec": values.pop("spec", ""), "steps": list(steps), **values})


class PlatformCell:
    """Instances, workers, metadata store and advice service in one process.

    Parameters
    ----------
    n_instances, n_workers : int
    cpu : int, default=16000
        Of each worker. Unit: thousandths of a core.
    config : dict, default=None
    sizes : callable, default=None
        Returns ``(seconds, how, cpu)`` of a run for the task's name and payload; the default parses
        the payload as ``SECONDS HOW CPU``.
    advice : AdviceServer, default=None
    random_state : int, default=0
    slow : sequence of str, default=()
        Names of the instances on slow links.
    weak : sequence of str, default=()
        Names of the instances whose settings give only `LOW_CPU_SHARE` of a core.
    policy : SchedulingPolicy, default=None
        Policy of all instances.
    bounds : Bounds, default=None
        Bounds in the settings of all instances.
    has_start_times : bool, default=True
        Whether workers state the start times of their incarnations.
    """

    def __init__(
        self,
        *,
        n_instances=3,
        n_workers=4,
        cpu=16000,
        config=None,
        sizes=None,
        advice=None,
        random_state=0,
        slow=(),
        weak=(),
        policy=None,
        bounds=None,
        has_start_times=True,
    ):
        self.has_start_times = has_start_times
        self.policy = policy or SchedulingPolicy()
        self.bounds = bounds or Bounds()
        self.slow = frozenset(slow)
        self.weak = frozenset(weak)
        self.n_instances = n_instances
        self.random_state = Random(random_state)
        self.clock = VirtualClock()
        self.wire = WireNetwork(clock=self.clock)
        self.network = MemoryNetwork(
            clock=self.clock, random_state=self.random_state, blocked_dials_time_out=True
        )
        self.store = MetadataStore(clock=self.clock)
        self.store_faults = self.wire.serve(STORE, self.store)
        self.spans = []
        self.refuses_after_crash = False
        self._n_restarts = 0
        self.workers = {}
        self.former_workers = []
        self.worker_faults = {}
        self.daemons = {}
        self.clocks = {}
        self.errors = []
        self._end_audit = None
        self.sizes = sizes or _parse_payload
        self.advice = advice
        if advice is not None:
            advice.clock = self.clock
            advice.workers = self.workers
            advice.allowed = advice.allowed or {f"i-{number}" for number in range(n_workers)}
            self.wire.serve(ADVICE, advice)
        if config is not False:
            self.store.put("op", "config", config or make_platform_config())
        for number in range(n_workers):
            self.add_worker(f"i-{number}", f"w{number}:1", cpu=cpu, rack=f"r{number % 2}")

    # Setup

    def add_worker(self, worker_id, address, *, cpu=16000, rack="r0", is_registered=True, **values):
        """Start a worker and write its registry entry; return the worker."""
        worker = PlatformWorker(
            clock=self.clock,
            worker_id=worker_id,
            address=address,
            cpu=cpu,
            rack=rack,
            spans=self.spans,
            sizes=self.sizes,
            **{"born_ms": self._wall_clock_ms() if self.has_start_times else None, **values},
        )
        if worker_id in self.workers:
            self.former_workers.append(self.workers[worker_id])
        self.workers[worker_id] = worker
        self.worker_faults[worker_id] = self.wire.serve(address, worker)
        if is_registered:
            self.store.put("servers", worker_id, worker.entry())
        worker.on_crash = lambda: self.worker_crashed(worker_id)
        worker.on_ends_dropped = self._ends_dropped
        return worker

    def _wall_clock_ms(self):
        return round(1000 * (EPOCH_S + self.clock.seconds()))

    def start(self):
        """Start all instances and give them time to elect a leader."""
        for number in range(self.n_instances):
            self.start_instance(f"a{number}")
        self.advance(1.5)

    def start_instance(self, name):
        """Start or restart an instance without any state; return its daemon."""
        clock = PausableClock(inner=self.clock)
        self.clocks[name] = clock
        self.network.add_clock(name, clock)
        http = self.wire.client(name, clock)
        settings = CellSettings(
            instance=name,
            failure_domain="z1",
            listen=CellListen(front="f:1", ready="r:1", peers=name),
            store=STORE,
            advice=ADVICE,
            link_mbps=SLOW_LINK_MBPS if name in self.slow else FAST_LINK_MBPS,
            cpu_share=LOW_CPU_SHARE if name in self.weak else 1.0,
            cores=1.0,
            scheduling=self.policy,
            bounds=self.bounds,
        )
        if name in self.slow:
            self.wire.slow_link(name, SLOW_LINK_MBPS * BYTES_PER_MBIT)
        context = CellContext(
            settings=settings,
            clock=clock,
            wall_clock=lambda: EPOCH_S + self.clock.seconds(),
            bus=Bus(on_failure=None),
            network=self.network.at(name),
            store=StoreClient(http=http, address=STORE, timeout=0.8),
            advice=AdviceClient(http=http, address=ADVICE, timeout=2.8),
            make_worker=lambda info, token: WorkerCalls(
                http=http,
                info=info,
                token=token,
                timeout=0.4,
            ),
            random_state=Random(self.random_state.getrandbits(64)),
            count_bytes=lambda: {"calls": (http.n_bytes_out, http.n_bytes_in)},
        )
        daemon = CellDaemon(context=context, give_up=self.errors.append)
        self.daemons[name] = daemon
        daemon.start()
        return daemon

    def limit_links(self, name, bytes_per_s):
        """Limit an instance's link both ways, for HTTP calls and for messages between instances."""
        self.wire.narrow_link(name, bytes_per_s)
        self.network.links[name] = self.wire.links[name]
        self.network.send_links[name] = self.wire.send_links[name]

    # Faults

    def crash_worker(self, worker_id, **values):
        """Crash a worker independently of its tasks; see :meth:`worker_crashed`."""
        self.workers[worker_id].crash()
        self.worker_crashed(worker_id, **values)

    def worker_crashed(self, worker_id, *, restart_delay_s=RESTART_DELAY_S):
        """Make a crashed worker unreachable, remove its registry entry and restart it later.

        With `refuses_after_crash`, connections to its address are refused, else calls are not
        answered. The worker restarts under a new id, or not at all with `restart_delay_s` None.
        """
        faults = self.worker_faults[worker_id]
        faults.silent = not self.refuses_after_crash
        faults.refuses = self.refuses_after_crash
        self.clock.callLater(ENTRY_REMOVAL_DELAY_S, self.store.remove, "servers", worker_id)
        if restart_delay_s is not None:
            self.clock.callLater(restart_delay_s, self._restart_worker, self.workers[worker_id])

    def _restart_worker(self, crashed):
        self.worker_faults[crashed.worker_id].clear()
        self._n_restarts += 1
        worker_id = f"{crashed.worker_id.partition('.')[0]}.{self._n_restarts}"
        self.add_worker(worker_id, crashed.address, cpu=crashed.cpu, rack=crashed.rack)

    def drain_worker(self, worker_id, remaining_s):
        """Let a worker announce in the registry that it will leave. Unit: seconds."""
        self.workers[worker_id].remaining_s = remaining_s
        self.store.put("servers", worker_id, self.workers[worker_id].entry())

    def stop_listening(self, worker_id):
        """Close a worker's listening socket; its open connections are served on."""
        worker = self.workers[worker_id]
        self.wire.stop_listening(worker.address, worker)

    def listen_again(self, worker_id):
        """Let a worker accept new connections again."""
        worker = self.workers[worker_id]
        self.wire.serve(worker.address, worker)

    def end_leaving_worker(self, worker_id):
        """End the process of a worker that leaves, with all that runs on it."""
        worker = self.workers[worker_id]
        worker.crash(how="left")
        self.wire.end_server(worker.address, worker)

    def end_worker_process(self, worker_id):
        """End a worker's process; its host resets the connections."""
        self.workers[worker_id].crash()
        self.wire.reset_connections(self.workers[worker_id])

    def restart_worker(self, worker_id, **values):
        """End a worker and start its next incarnation under the same id at once; return it.

        The new incarnation knows no runs, ends, stops or tokens, and its clock begins anew. With
        `is_registered` False, the registry entry of the former one stays. Further `values` replace
        its attributes, see :class:`PlatformWorker`.
        """
        former = self.workers[worker_id]
        if former.alive:
            self.end_worker_process(worker_id)
        self.worker_faults[worker_id].clear()
        values = {
            "cpu": former.cpu,
            "rack": former.rack,
            "offset_s": -self.clock.seconds(),
            **values,
        }
        worker = self.add_worker(worker_id, former.address, **values)
        former.successor = worker
        worker.draw_delay = former.draw_delay
        return worker

    def set_capacity(self, worker_id, cpu):
        """Change a worker's capacity at run time and update its registry entry."""
        worker = self.workers[worker_id]
        worker.set_capacity(cpu)
        self.store.put("servers", worker_id, worker.entry())

    def kill(self, name):
        """Kill an instance; its connections close."""
        self.daemons.pop(name)
        self.clocks[name].kill()
        self.network.cut(name)

    def power_off(self, name):
        """Stop an instance without closing its connections, as a power failure does."""
        self.daemons.pop(name)
        self.clocks[name].kill()
        self.isolate(name)

    def power_on(self, name):
        """Restart an instance after a power failure and connect it to the running instances."""
        for other in self.daemons:
            self.network.unblock(name, other)
            self.network.unblock(other, name)
        return self.start_instance(name)

    def isolate(self, name):
        """Block all messages between an instance and the others, without closing connections."""
        for other in self.clocks:
            self.network.block(name, other)
            self.network.block(other, name)

    def pause(self, name):
        """Pause an instance, as SIGSTOP does."""
        self.clocks[name].pause()

    def resume(self, name):
        """Resume a paused instance."""
        self.clocks[name].resume()

    # Use

    def advance(self, seconds):
        """Advance virtual time."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def leader(self):
        """Return the name of the instance that the leader row in the store names."""
        return self.store.value("home", "home", part="cell")["holder"]

    def leaders(self):
        """Return the names of the instances that currently act as leader."""
        return [name for name, daemon in self.daemons.items() if daemon.context.leader is not None]

    def other(self):
        """Return the name of an instance that is not the leader."""
        return next(name for name in self.daemons if name != self.leader())

    def call(self, instance, method, path, body=b"", *, key=None, headers=()):
        """Make a client's call, with an API key if one is given.

        Returns a list that receives ``(status, value, headers)``.
        """
        gateway = self.daemons[instance].supervisor.part("entry")
        headers = {"authorization": [f"Bearer {key}"]} if key is not None else headers
        request = FrontCall(
            method=method, host="desk.example", path=path, body=body, headers=headers
        )
        maybeDeferred(gateway.front.render, request)
        return request.answers

    def submit(self, instance, job_id, *steps, queue="urgent", key=None, **values):
        """Submit a job; return a list that receives ``(status, value, headers)``."""
        body = make_job_body(*steps, **values)
        return self.call(instance, "POST", f"/{queue}/{job_id}", body, key=key)

    def state(self, instance, job_id, *, queue="urgent", key=None):
        """Return the job state that a client gets, an error status, or None without an answer."""
        answers = self.call(instance, "GET", f"/{queue}/{job_id}", key=key)
        self.advance(1.0)
        if not answers:
            return None
        status, value, _ = answers[0]
        return value["state"] if status == 200 else status

    # Results

    def runs_of(self, task):
        """Return the :class:`RunSpan` records of a task."""
        return [span for span in self.spans if span.task == task]

    def check(self):
        """Return the violated invariants of all runs; see :func:`find_violations`."""
        return find_violations(self.spans, self.all_workers())

    def audit_ends(self):
        """Compare ends that workers drop from now on with the store; see :class:`EndAudit`.

        Returns the audit, whose `violations` method lists what it has found.
        """
        self._end_audit = EndAudit(store=self.store)
        return self._end_audit

    def _ends_dropped(self, worker, ends):
        if self._end_audit is not None:
            self._end_audit.ends_dropped(worker, ends)

    def all_workers(self):
        """Return the workers of all incarnations."""
        return [*self.workers.values(), *self.former_workers]

    def n_refused_tickets(self):
        """Return the number of starts that workers refused because of their tickets."""
        return sum(worker.n_refused_tickets for worker in self.all_workers())

    def mark_unacknowledged_ends(self):
        """Mark completed runs whose end no leader acknowledged: their tasks may start again."""
        unacknowledged = {
            (worker.worker_id, worker.born_ms, *run)
            for worker in self.all_workers()
            for run in worker.unacknowledged_ends
        }
        for span in self.spans:
            key = (span.worker, span.born_ms, span.task, span.run_id)
            if span.how == "done" and key in unacknowledged:
                span.how = "untold"


def _parse_payload(task, payload):
    seconds, how, cpu = (payload or "1.0 done 1000").split()
    return float(seconds), how, int(cpu)


def find_violations(spans, workers, *, capacity_delay_s=CAPACITY_CHANGE_DELAY_S):
    """Return a text for each violated invariant of the runs in `spans`.

    A task has at most one active run, it does not run again after a run that ended as done, and the
    runs of a worker do not exceed its capacity. Starts may use the old capacity until
    `capacity_delay_s` seconds after a reduction. `workers` are the workers of all incarnations.
    """
    return _overlaps(spans) + _over_capacity(spans, workers, capacity_delay_s)


def _overlaps(spans):
    violations = []
    by_task = {}
    for span in spans:
        for earlier in by_task.setdefault(span.task, []):
            if earlier.ended_at is None or earlier.ended_at > span.began_at:
                violations.append(f"{span.task} runs on {earlier.worker} and {span.worker}")
            if earlier.how == "done":
                violations.append(f"{span.task} runs again after it was done")
        by_task[span.task].append(span)
    return violations


def _over_capacity(spans, workers, delay_s):
    violations = []
    for worker in workers:
        worker_id = worker.worker_id
        moments = []
        for span in spans:
            if span.worker == worker_id and span.born_ms == worker.born_ms:
                moments.append((span.began_at, 1, span.cpu))
                if span.ended_at is not None:
                    moments.append((span.ended_at, 0, -span.cpu))
        used = 0
        for at, _, cpu in sorted(moments):
            used += cpu
            allowed = worker.max_capacity(at, delay_s)
            if cpu > 0 and used > allowed:
                violations.append(f"{worker_id} has {used} of {allowed} in use at {at:.3f}")
    return violations
