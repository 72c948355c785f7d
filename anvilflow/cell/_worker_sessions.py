"""The leader's sessions with the present incarnations of all workers."""

from ..exceptions import StartTimeError
from ._fault_isolation import FaultIsolation, IsolatedCalls
from ._incarnations import Incarnations
from ._registry import MAX_LOGGED_TEXT, Registry
from ._session import WorkerSession
from ._worker_call_router import WorkerCallRouter

#: Length of the leases sent to workers. Leases are renewed every half second. A take-over from an
#: unresponsive leader takes about 1 s, and a start of all instances after a power loss 2 s, so
#: leases outlast both. With a longer lease, the tasks of a lost worker would wait longer to be
#: restarted. Unit: seconds.
LEASE_S = 3.0


class WorkerSessions:
    """Opens and closes the sessions with workers, from the registry and from their answers.

    Base of :class:`Fleet`, which sends the commands and processes the answers.

    Parameters
    ----------
    context : CellContext
    log : Logger
    scheduler : Scheduler
    token : int
        Token of the leader's claim; :meth:`raise_token` adds higher ones.
    relay_dispatcher : RelayDispatcher
    events : object
        As for :class:`Fleet`.

    Notes
    -----
    Each incarnation of a worker gets a session of its own. The next incarnation under the same id
    has seen no token, so that it would execute late commands to the former one. Its session
    therefore has a higher token. The runs of the former incarnation keep their tasks until
    the next one has answered under that token: late starts have arrived by then, or are refused.
    """

    def __init__(self, *, context, log, scheduler, token, relay_dispatcher, events):
        self.context = context
        self.log = log
        self.scheduler = scheduler
        self.token = token
        self._claim_token = token
        self.relay_dispatcher = relay_dispatcher
        self.events = events
        self._faults = FaultIsolation(log=log, meters=context.meters)
        self._registry = Registry(log=log, scheduler=scheduler, faults=self._faults)
        self._incarnations = Incarnations()
        self._sessions = {}
        self._unlisted_at = {}
        self._opened_at = {}
        self._responded_at = {}
        self._last_tokens = {}
        self._awaiting_token = {}
        # Ids in the registry under which earlier incarnations are kept, besides the present one.
        self._superseded_ids = set()

    def close(self):
        """Close all sessions."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()
        self._awaiting_token.clear()

    def resume_renewals(self):
        """Resume the sessions whose reported ends have been recorded."""
        for session in self._sessions.values():
            session.resume_renewals()

    def _now(self):
        return self.context.clock.seconds()

    # Registry

    def registry_ids(self):
        """Return the ids of the workers in the registry, and of the entries that are ignored."""
        ids = {worker.info.registry_id for worker in self.scheduler.workers.values()}
        return ids.union(row.key for row in self._registry.ignored_rows)

    def take_registry_entry(self, row):
        """Process a row of the registry: an entry of a worker is new, changed or removed."""
        if row.value is None:
            self.registry_entry_removed(row.key)
            return
        info = self._registry.read(row)
        if info is None:
            self._registry_entry_unlisted(row.key)
            return
        former = self._incarnations.present(info.registry_id)
        try:
            info = self._incarnations.resolve_entry(info)
        except StartTimeError as exc:
            self._registry.log_start_time(row.key, exc)
            return
        if former is not None and former.worker_id != info.worker_id:
            self._supersede(former, info, "registry")
        self._list_worker(info, version=row.version)

    def _list_worker(self, info, *, version=0):
        self._unlisted_at.pop(info.worker_id, None)
        if self.scheduler.worker_listed(info, self._now(), version=version):
            self.log.info(
                "worker found",
                worker=info.worker_id,
                address=info.address,
                rack=info.rack[:MAX_LOGGED_TEXT],
            )
            self._open_session(info)
            return
        self._note_listed_address(info)
        if info.draining:
            self.log.info("worker drains", worker=info.worker_id, left_s=info.leaves_in_s)

    def _note_listed_address(self, info):
        """Let a worker's session call it at another address, if its entry names one."""
        session = self._sessions.get(info.worker_id)
        if session is None or session.listed_address == info.address:
            return
        self.log.info(
            "worker's address changed",
            worker=info.worker_id,
            address=info.address,
            former=session.listed_address,
        )
        _, token = self._last_tokens[info.registry_id]
        session.set_listed_calls(self._make_calls(info, token))

    def adopt_worker(self, handover):
        """Adopt a worker named in the former leader's row; it may be unregistered by now.

        A row of an older release states no start time: it is taken to mean the incarnation in the
        registry. If that is a later one, its list of runs does not have those of the row.
        """
        info = handover.info
        present = self._incarnations.present(info.registry_id)
        if present is not None and info.born_ms in (None, present.born_ms):
            info = present
        elif present is not None and (present.born_ms or 0) > info.born_ms:
            self.scheduler.worker_listed(info, self._now())
            self.scheduler.worker_superseded(info.worker_id, self._now())
            self._superseded_ids.add(info.registry_id)
        else:
            if present is not None:
                self._supersede(present, info, "handover")
            else:
                self._registry.removed(info.registry_id)
            self._incarnations.note_present(info)
            self.scheduler.worker_listed(info, self._now())
            self._open_session(info)
            self._registry_entry_unlisted(info.registry_id)
        if handover.runs is not None:
            worker = self.scheduler.workers[info.worker_id]
            worker.answered_address = handover.info.address
            self.scheduler.adopt_unconfirmed_runs(info.worker_id, handover.runs, self._now())
            fresh = [handover.runs[index] for index in handover.fresh]
            self.scheduler.note_fresh_runs(info.worker_id, fresh)
        self.log.info(
            "worker taken on",
            worker=info.worker_id,
            runs=len(handover.runs) if handover.runs is not None else None,
        )

    def reread_ignored_entries(self):
        """Process the ignored registry entries again after a change of configuration."""
        for row in self._registry.ignored_rows:
            self.take_registry_entry(row)

    def registry_entry_removed(self, registry_id):
        """Process the removal of a worker's registry entry."""
        self._registry.removed(registry_id)
        self._incarnations.entry_removed(registry_id)
        self._registry_entry_unlisted(registry_id)

    def _registry_entry_unlisted(self, registry_id):
        """Give a worker no new work: its entry is removed, or no longer describes a worker.

        The leases of its runs are still renewed. The leader's row names the worker for the next
        leader, as it does for workers that have left.
        """
        present = self._incarnations.present(registry_id)
        # An id without an incarnation may equal the identity of another worker's.
        if present is None:
            return
        worker_id = present.worker_id
        if worker_id not in self.scheduler.workers or worker_id in self._unlisted_at:
            return
        self.log.info("worker's entry gone", worker=worker_id)
        self.scheduler.worker_unlisted(worker_id)
        self._unlisted_at[worker_id] = self._now()

    # Incarnations

    def _supersede(self, former, info, known_by, error=None):
        """Note that a worker has started again: `info` is its present incarnation."""
        worker = self.scheduler.workers.get(former.worker_id)
        self.context.meters.count("worker_restarts", known_by)
        self.log.warning(
            "worker started again",
            worker=info.worker_id,
            former=former.worker_id,
            known_by=known_by,
            tasks=sorted(worker.runs) if worker is not None else [],
            error=error,
        )
        self._forget(former.worker_id)
        self.scheduler.worker_superseded(former.worker_id, self._now())
        self._superseded_ids.add(info.registry_id)
        earlier = self.scheduler.workers.get(info.worker_id)
        if earlier is not None and earlier.is_superseded:
            # The entry had a wrong start time, or the worker states none any more.
            self.scheduler.worker_reinstated(info.worker_id)
            self._open_session(info)
        self.events.changed()

    def incarnation_ended(self, worker_id, exc):
        """Process an answer of another incarnation under the same id."""
        worker = self.scheduler.workers.get(worker_id)
        if worker is None:
            self._forget(worker_id)
            return
        former = worker.info
        info, is_listed = self._incarnations.restarted(former.registry_id, exc.details["born_ms"])
        self._supersede(former, info, "answer", str(exc))
        self._list_worker(info)
        if not is_listed:
            self._registry_entry_unlisted(info.registry_id)

    def _predecessors(self, info):
        return [
            worker
            for worker in self.scheduler.workers.values()
            if worker.is_superseded and worker.info.registry_id == info.registry_id
        ]

    def _end_predecessors(self, info, *, is_replaced):
        """Remove the former incarnations of a worker, see :meth:`Scheduler.worker_ended`."""
        for worker in self._predecessors(info):
            self._end_worker(worker.info.worker_id, is_replaced=is_replaced)
        self._superseded_ids.discard(info.registry_id)

    def _are_leases_over(self, worker):
        """Whether all leases of a worker and of its former incarnations are certainly over."""
        workers = [worker, *self._predecessors(worker.info)]
        return all(self._now() >= each.lease_over_at for each in workers)

    def worker_gone(self, worker_id):
        """Remove a lost worker whose entry remains absent and whose leases are over."""
        worker = self.scheduler.workers.get(worker_id)
        if worker is not None:
            self._end_predecessors(worker.info, is_replaced=False)
            self._incarnations.remove(worker_id, worker.info.registry_id)
            self._awaiting_token.pop(worker.info.registry_id, None)
        self._forget(worker_id)
        self._end_worker(worker_id, is_replaced=False)

    def _end_worker(self, worker_id, *, is_replaced):
        self.log.info("worker gone", worker=worker_id, replaced=is_replaced)
        self.events.act(
            self.scheduler.worker_ended(worker_id, self._now(), is_replaced=is_replaced)
        )
        self.events.changed()

    # Sessions

    def _open_session(self, info):
        # The scheduler may have removed a worker whose session is still open when the worker
        # registers again.
        previous = self._sessions.pop(info.worker_id, None)
        if previous is not None:
            previous.close()
        last_id, token = self._last_tokens.get(
            info.registry_id, (info.worker_id, self._claim_token)
        )
        if last_id != info.worker_id:
            if token >= self.token:
                self._awaiting_token[info.registry_id] = info
                return
            token += 1
        self._last_tokens[info.registry_id] = (info.worker_id, token)
        calls = self._make_calls(info, token)
        session = WorkerSession(clock=self.context.clock, calls=calls, fleet=self)
        self._sessions[info.worker_id] = session
        self._opened_at[info.worker_id] = self._now()
        session.run().addErrback(self.events.fail_with)

    def _make_calls(self, info, token):
        router = WorkerCallRouter(
            direct=self.context.make_worker(info, token),
            info=info,
            relay_dispatcher=self.relay_dispatcher,
            context=self.context,
        )
        return IsolatedCalls(calls=router, faults=self._faults)

    def raise_token(self, version):
        """Note the version of the leader's row after its last write: the highest token to use.

        Tokens between those of the claim and of the last write are this leader's own: the claim of
        the next leader is a later write of the row.
        """
        self.token = max(self.token, version)
        awaiting, self._awaiting_token = self._awaiting_token, {}
        for info in awaiting.values():
            if info.worker_id in self.scheduler.workers:
                self._open_session(info)

    def _forget(self, worker_id):
        """Close the session of an incarnation that is over."""
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            session.close()
        self._unlisted_at.pop(worker_id, None)
        self._opened_at.pop(worker_id, None)
        self._responded_at.pop(worker_id, None)
        self.relay_dispatcher.remove_worker(worker_id)
