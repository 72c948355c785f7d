"""Complete cell in virtual time, with the real parts and in-memory stand-ins."""

from random import Random

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import Clock

from ..clients import MemberInfo, ResourceStore
from ..decisions import Outcome
from ..exceptions import AnvilflowError
from ..history import Answered, History, Sent, TargetLeaving
from ..parts import Bus, Context, Daemon, RequestAnswer, RequestCall
from ..settings import InstanceSettings, ListenSettings, PlatformSettings, Settings
from ..utils import decode_lenient, encode
from ._faults import Faults
from ._membership import MembershipState
from ._network import MemoryNetwork
from ._objects import MemoryObjects, ObjectState
from ._pausable_clock import PausableClock
from ._table import MemoryTable, TableState
from ._worker import MemoryWorker, WorkerState

#: Step of the virtual clock. Unit: seconds.
STEP_S = 0.005

#: Pause between reads of the membership list above which the list must have been unreadable, and
#: time after which every instance has read a change of the list. Unit: seconds.
_LIST_GAP_S = 0.6
_LIST_KNOWN_S = 1.0

_UNUSED_ADDRESS = "127.0.0.1:0"


class _MemoryMembership:
    """Client with the interface of :class:`MembershipClient`.

    Reads a :class:`MembershipState` in the same process.
    """

    def __init__(self, *, state, faults, history):
        self.state = state
        self.faults = faults
        self.history = history
        self._leaving = set()
        self._leaving_since = {}
        self._read_at = 0.0

    def read(self):
        """Return the membership list."""
        return self.faults.around(self._read)

    def _read(self):
        """Return the membership list, and record the workers that all instances know to leave.

        Instances can be expected to know that a worker leaves once the list has shown this, and has
        been readable, for longer than the period at which every instance reads it.
        """
        listing = self.state.read()
        now = self.history.clock.seconds()
        if now - self._read_at > _LIST_GAP_S:
            self._leaving_since.clear()
        self._read_at = now
        for member in listing.members:
            if member.state == "leaving" and member.name not in self._leaving:
                since = self._leaving_since.setdefault(member.name, now)
                if now - since >= _LIST_KNOWN_S:
                    self._leaving.add(member.name)
                    self.history.add(TargetLeaving, worker=member.name)
        return listing


class VirtualCell:
    """Instances, workers and the platform in one process and virtual time.

    Parameters
    ----------
    n_instances, n_workers : int
    capacity : Amounts
        Capacity of each worker.
    declarations : list of resources
        Initial content of the table.
    random_state : int, default=0
        Seed; the same seed gives the same sequence of events.
    sections : dict, default=None
        Settings sections that differ from the defaults.
    """

    def __init__(
        self, *, n_instances, n_workers, capacity, declarations, random_state=0, sections=None
    ):
        self.n_instances = n_instances
        self.n_workers = n_workers
        self.capacity = capacity
        self.declarations = declarations
        self.random_state = Random(random_state)
        self.sections = sections or {}
        self.clock = Clock()
        self.history = History(clock=self.clock)
        self.network = MemoryNetwork(clock=self.clock, random_state=self.random_state)
        self.table = TableState()
        self.table_faults = Faults(clock=self.clock)
        self.objects = ObjectState()
        self.objects_faults = Faults(clock=self.clock)
        self.membership = MembershipState(clock=self.clock)
        self.membership_faults = Faults(clock=self.clock)
        self._list = _MemoryMembership(
            state=self.membership, faults=self.membership_faults, history=self.history
        )
        self.daemons = {}
        self.workers = {}
        self.clocks = {}
        self.errors = []
        self._n_tokens = 0
        self._n_calls = 0
        self._open_requests = {}

    def start(self):
        """Start all workers and instances and give the cell time to stabilize."""
        self.table.declare(self.declarations)
        for number in range(self.n_workers):
            self._start_worker(f"w{number + 1:02d}")
        for number in range(self.n_instances):
            self.start_instance(f"a{number + 1}")
        self.membership.settle()
        self.advance(2.0)

    def start_instance(self, name):
        """Start an instance and add it to the membership list; return its daemon."""
        settings = Settings(
            instance=InstanceSettings(name=name, failure_domain="d1"),
            listen=ListenSettings(
                callers=_UNUSED_ADDRESS, operators=_UNUSED_ADDRESS, peers=_UNUSED_ADDRESS
            ),
            platform=PlatformSettings(
                table=_UNUSED_ADDRESS, objects=_UNUSED_ADDRESS, membership=_UNUSED_ADDRESS
            ),
            **self.sections,
        )
        clock = PausableClock(inner=self.clock)
        table = MemoryTable(state=self.table, faults=self.table_faults, clock=clock)
        self.clocks[name] = clock
        self.network.add_clock(name, clock)
        context = Context(
            settings=settings,
            clock=clock,
            bus=Bus(on_failure=None),
            network=self.network.at(name),
            table=table,
            objects=MemoryObjects(state=self.objects, faults=self.objects_faults, clock=clock),
            membership=self._list,
            resources=ResourceStore(table=table),
            make_worker=lambda member: MemoryWorker(state=self.workers[member.name], clock=clock),
            random_state=Random(self.random_state.getrandbits(64)),
            history=self.history,
        )
        daemon = Daemon(context=context, give_up=self.errors.append)
        daemon.start()
        self.daemons[name] = daemon
        self.list_instance(name)
        return daemon

    def list_instance(self, name):
        """Add an instance to the membership list."""
        self.membership.put(
            MemberInfo(name=name, role="instance", address=name, failure_domain="d1")
        )

    def crash_instance(self, name):
        """Kill an instance and close its connections; the membership list shows this late."""
        self.daemons.pop(name)
        self.clocks[name].kill()
        self.network.cut(name)
        self.membership.remove(name)
        for call in [call for call in self._open_requests if call[0] == name]:
            # The caller loses its connection and cannot determine the outcome of its request.
            token = self._open_requests.pop(call)
            self.history.add(Answered, token=token, outcome="unknown")

    def pause_instance(self, name):
        """Pause an instance, as SIGSTOP does."""
        self.clocks[name].pause()

    def resume_instance(self, name):
        """Resume a paused instance; the instance is not informed of the pause."""
        self.clocks[name].resume()

    def worker_leaves(self, name):
        """Mark a worker as leaving in the membership list."""
        member = self._worker_info(name)
        member.state = "leaving"
        self.membership.put(member)

    def advance(self, seconds):
        """Advance virtual time."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def owner_of(self, worker):
        """Return the name of the instance whose epoch the worker accepts."""
        return self.workers[worker].owner

    def part(self, instance, name):
        """Return a part of an instance."""
        return self.daemons[instance].supervisor.part(name)

    def request(self, gateway, customer, workload, *, seconds=0.01, token=None, **values):
        """Send a request to the instance `gateway`; return a list that receives the answer."""
        if token is None:
            self._n_tokens += 1
            token = f"t{self._n_tokens}"
        payload = encode({"token": token, "seconds": seconds}).decode()
        call = RequestCall(customer=customer, workload=workload, payload=payload, **values)
        idempotent = values.get("idempotent", True)
        self.history.add(Sent, token=token, idempotent=idempotent)
        answers = []
        self._n_calls += 1
        call_id = (gateway, self._n_calls)
        self._open_requests[call_id] = token
        done = maybeDeferred(self.part(gateway, "entry").serve, call)
        done.addErrback(_answer_of_error)
        done.addCallback(self._answered, call_id, answers)
        return answers

    def request_keyed(self, gateway, customer, workload, key, **values):
        """Send a non-idempotent request with an idempotency key, which is also its token."""
        return self.request(
            gateway,
            customer,
            workload,
            token=key,
            idempotent=False,
            idempotency_key=key,
            **values,
        )

    def submit(self, gateway, job):
        """Submit a job to the instance `gateway`; return a list that receives answer or error."""
        answers = []
        self.part(gateway, "entry").submit(job).addBoth(answers.append)
        return answers

    def job(self, customer, name):
        """Return a job from the catalog of the first instance."""
        daemon = next(iter(self.daemons.values()))
        return daemon.context.catalog.get(f"Job/{customer}/{name}")

    def _answered(self, answer, call_id, answers):
        token = self._open_requests.pop(call_id, None)
        if token is None:
            return
        echoed = decode_lenient(answer.result)["token"] if answer.outcome == "completed" else ""
        self.history.add(Answered, token=token, outcome=answer.outcome, echoed=echoed)
        answers.append(answer)

    def _start_worker(self, name):
        self.workers[name] = WorkerState(
            clock=self.clock,
            name=name,
            capacity=self.capacity,
            faults=Faults(clock=self.clock),
            history=self.history,
        )
        self.membership.put(self._worker_info(name))

    def _worker_info(self, name):
        return MemberInfo(
            name=name, role="worker", address=name, failure_domain="d1", capacity=self.capacity
        )


def _answer_of_error(failure):
    """Return the answer that a caller derives from an error with a code."""
    failure.trap(AnvilflowError)
    return RequestAnswer(request_id="", outcome=Outcome.NOT_RUN.value, code=failure.value.code)
