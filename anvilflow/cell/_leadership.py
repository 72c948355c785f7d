"""Leader election of the cell: following the leader and claiming its row after a loss."""

from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PreconditionError
from ..peers.gen.ttypes import HomeBeat
from ..runtime import Part
from ..utils import decode, jitter
from ._backlog_message import read_report
from ._context import Claimed, Deposed, JobsRead, LeaderChanged
from ._leader_eligibility import can_lead
from ._leader_row_store import WriteOutcome, find_leader_row
from ._links import DIAL_TIMEOUT_S, LeaderLinkLost
from ._pending_jobs import PendingCounts
from ._pending_result import PendingResult
from ._tables import LEADER_TABLE, PART, LeaderRow

#: Period of the checks on the leader. Unit: seconds.
CHECK_S = 0.1

#: Time without a heartbeat after which the leader is suspected: two heartbeat periods and their
#: transmission. Shorter gaps come from a busy processor: a CPU quota can take away a tenth of a
#: second. Unit: seconds.
UNRESPONSIVE_S = 0.5

#: Multiple of the leader's reported lag (the delay of its periodic calls, see `_lag`) by which its
#: next heartbeat may be late. Without this allowance a leader with an eighth of a core fell behind
#: in a burst and was replaced, and so was each leader after it.
LAG_ALLOWANCE_FACTOR = 3

#: Least time for which the leader's row has to stay unchanged before its holder counts as no longer
#: writing: twice the period of the leader's writes. Unit: seconds.
MIN_UNCHANGED_S = 0.3

#: The same least time as a multiple of the duration of a read of the row; the longer of the two
#: applies. Where the store is slow, the leader's writes are slower, too.
MIN_UNCHANGED_READS = 3

#: Maximum number of doublings of the time for which the row may stay unchanged: one for each
#: consecutive claim after which no leader has begun to schedule. Without the doublings, where each
#: leader was late as soon as it had read its tables, the instances deposed each other for as long
#: as there was load.
MAX_DOUBLINGS = 3

#: Delay of a claim per rank among the successors, so that the claim of the first one is complete
#: before the next one begins: a claim takes one call of some 5 ms. Unit: seconds.
RANK_STEP_S = 0.06

#: The same delay as a multiple of the duration of a read of the row; the longer of the two applies.
#: Where the store is slow, a claim takes as long as two reads, and simultaneous claims of all
#: instances would overload the part of the store that the leader itself writes to.
RANK_STEP_READS = 2

#: Additional delay of a claim by an instance that is too small to lead (see `_leader_eligibility`)
#: and not a known successor, as after a restart of all instances. The start times of the instances
#: differ by a few tenths of a second, also where the store is slow; the delay leaves an eligible
#: instance that starts later time to claim first. Unit: seconds.
INELIGIBLE_DELAY_S = 0.48

#: Rank steps added to `INELIGIBLE_DELAY_S`: where the store is slow, the claims of the other
#: instances take longer. With ten steps callers waited for 11 s where all links were slow and each
#: answer of the store took 0.4 s.
INELIGIBLE_DELAY_STEPS = 2

#: Timeout of a claim as a multiple of the duration of a read of the row, and the least timeout of a
#: claim. Unit of `CLAIM_TIMEOUT_S`: seconds.
CLAIM_TIMEOUT_READS = 6
CLAIM_TIMEOUT_S = 0.8

#: Maximum number of consecutive attempts to claim from a leader that yields, that is, asks to be
#: replaced. Such a leader records ends of tasks until it is deposed. Each record changes its row,
#: so that a claim is refused if it is based on an earlier read of the row. Without further attempts
#: the leader was not deposed for 3.6 s in a rolling restart, until it stopped.
MAX_CLAIM_ATTEMPTS = 8

#: Tolerance of the comparison of two times: a shorter wait counts as over, because the clock cannot
#: distinguish it from zero. Unit: seconds.
_CLOCK_TOLERANCE_S = 1e-4

#: Maximum timeout of a connection to the leader. The timeout doubles with each failed attempt,
#: because every attempt adds work to a leader that is already late. Unit: seconds.
MAX_DIAL_TIMEOUT_S = 1.6

#: Delay before the store or an unreachable leader is tried again. Unit: seconds.
RETRY_S = 0.3


class LeadershipPart(Part):
    """Follows the leader, and claims the leader's row when the leader is lost.

    Safety rests on the row and on the workers: every write of the leader is conditional on the row
    being as the leader last wrote it, and every worker refuses commands with a token lower than one
    it has received. A leader's token is the version of the row that its claim wrote. The decision
    to claim may therefore be wrong: a needless claim costs a take-over and no more.

    Two instances that cannot reach each other would depose each other in turn; therefore a leader
    that is unreachable but continues to write its row is not replaced.
    """

    prefix = "leadership"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.row = None
        self.row_version = 0
        self._newest_row_version = 0
        self.is_leader = False
        self._stopped = False
        self._found_row = None
        self._successor_addresses = ()
        self._leader_yields = False
        self._last_heartbeat_at = 0.0
        self._lag_allowance_s = 0.0
        self._has_invalid_report = False
        self._is_checking = False
        self._read_duration_s = 0.0
        self._dial_timeout_s = DIAL_TIMEOUT_S

    def start(self):
        """Start the periodic checks on the leader."""
        self.on(HomeBeat, self._heartbeat)
        self.on(LeaderLinkLost, lambda *_: self._check_if_due())
        self.on(Deposed, self._deposed)
        self.every(CHECK_S, self._check_if_due)

    def stop(self):
        """Give up leading: a restarted part does not know that this instance has claimed."""
        self._stopped = True
        super().stop()
        if self.is_leader:
            self.context.claimed = None
            self.post(Deposed())

    # Messages and events

    def _heartbeat(self, source, heartbeat):
        self._last_heartbeat_at = self.now
        self._lag_allowance_s = LAG_ALLOWANCE_FACTOR * (heartbeat.lag_ms or 0) / 1000
        self.context.successors = tuple(heartbeat.successors)
        self._successor_addresses = tuple(heartbeat.addresses or ())
        if heartbeat.yielding and not self._leader_yields:
            self.log.info("home yields", home=source, term=heartbeat.term)
        self._leader_yields = heartbeat.yielding
        self.context.uses_relays = bool(heartbeat.carried)
        if heartbeat.waiting is not None:
            pending_counts = PendingCounts(
                counts=heartbeat.waiting, version=heartbeat.jobs_version or 0
            )
            self.context.pending_job_counts.record_report(pending_counts)
            self._record_backlog(heartbeat)
        if heartbeat.jobs_read_version is not None:
            self.post(JobsRead(version=heartbeat.jobs_read_version))
        config = self.context.config
        if config is None or heartbeat.config_version > config.version:
            self.context.config_part.hint(heartbeat.config_version)

    def _record_backlog(self, heartbeat):
        report, error = read_report(heartbeat)
        if error is not None and not self._has_invalid_report:
            self.log.warning("home's report not understood", error=str(error))
        self._has_invalid_report = error is not None
        sent_ms = heartbeat.sent_ms
        self.context.admission.record_report(
            report,
            leader=heartbeat.term,
            sent_s=sent_ms / 1000 if sent_ms is not None else None,
        )

    def _deposed(self, _, __):
        if self.is_leader:
            self.is_leader = False
            self.context.claimed = None
            self._successor_addresses = tuple(self.context.links.successor_addresses)
            self.log.warning("deposed", row_version=self.row_version)
            self._check_if_due()

    # Checks

    def _check_if_due(self):
        if self.is_leader or self._is_checking or self.context.leaving:
            return
        is_linked = self.context.links is not None and self.context.links.leader_link is not None
        elapsed_s = self.now - self._last_heartbeat_at
        if (
            is_linked
            and elapsed_s < UNRESPONSIVE_S + self._lag_allowance_s
            and not self._leader_yields
        ):
            return
        self._is_checking = True
        done = self._check_leader(is_linked)
        done.addErrback(lambda failure: failure.trap(PlatformError))
        done.addErrback(self.fail_with)
        done.addBoth(self._check_ended)

    def _check_ended(self, _):
        self._is_checking = False

    @inlineCallbacks
    def _check_leader(self, is_linked):
        """Find out whether there is a leader; claim when there is none.

        Only claims are delayed, not checks, so that all instances find a new leader at once.
        """
        try:
            changed = yield self._read_row()
        except PlatformError as exc:
            self.context.store_health.record_failure()
            self.log.info("home not looked up", error=str(exc))
            if not (yield self._ask_successors()):
                yield self._sleep(jitter(self.context.random_state, RETRY_S))
            return
        if self.row is None or (self._leader_yields and not changed):
            yield self._claim_in_turn("no home" if self.row is None else "home yields")
            return
        # An open connection without heartbeats already shows that the leader is unresponsive. A new
        # connection would show it only after its timeout.
        yield self._watch_row(None if is_linked and not changed else PendingResult(self._dial()))

    @inlineCallbacks
    def _ask_successors(self):
        """Ask the former leader's successors for the new leader; return whether one was found.

        An instance that is cut off only from the store cannot read which instance is the leader.
        Without this request it refused all jobs after a change of leader for as long as it was cut
        off. A refused client retries a second later: 18 of 31 late quick jobs of a scenario had
        waited for that.
        """
        requests = [
            self.context.links.ask_for_leader(address) for address in self._successor_addresses
        ]
        replies = yield gatherResults(requests)
        known_term = self.row.term if self.row is not None else 0
        replies = [reply for reply in replies if reply is not None]
        leaders = [
            reply
            for reply in replies
            if reply.heartbeat.term >= known_term and not reply.heartbeat.yielding
        ]
        leader = max(leaders, key=lambda reply: reply.heartbeat.term, default=None)
        for reply in replies:
            if reply is not leader:
                reply.link.abort()
        if leader is None or self.is_leader:
            return False
        self._follow(leader.link, leader.heartbeat.term)
        return True

    def _follow(self, link, term):
        self._dial_timeout_s = DIAL_TIMEOUT_S
        self.context.links.follow_leader(link)
        self._last_heartbeat_at = self.now
        self._leader_yields = False
        self.log.info("home found", home=link.peer.instance, term=term)
        self.post(LeaderChanged())

    def _rank(self):
        """Return this instance's rank among the successors; a random one if it is not listed."""
        name = self.context.name
        if name in self.context.successors:
            return self.context.successors.index(name)
        return self.context.random_state.random() * max(3, len(self.context.successors))

    @property
    def _should_defer(self):
        """Whether this instance should let instances that are eligible to lead claim first.

        A known successor does not defer: its rank already takes eligibility into account.
        """
        settings = self.context.settings
        is_known = self.context.name in self.context.successors
        return not is_known and not can_lead(settings.link_mbps, settings.cpu_milli)

    def _unchanged_limit_s(self):
        """Return the time for which the leader's row may stay unchanged. Unit: seconds."""
        n_doublings = min(MAX_DOUBLINGS, self.row.n_loads)
        return max(MIN_UNCHANGED_S, MIN_UNCHANGED_READS * self._read_duration_s) * 2**n_doublings

    def _claim_delay_s(self):
        """Return the delay of this instance's claim. Unit: seconds."""
        step_s = max(RANK_STEP_S, RANK_STEP_READS * self._read_duration_s)
        delay_s = self._rank() * step_s
        return (
            delay_s + INELIGIBLE_DELAY_S + INELIGIBLE_DELAY_STEPS * step_s
            if self._should_defer
            else delay_s
        )

    def _sleep(self, delay):
        return deferLater(self.context.clock, delay, lambda: None)

    @inlineCallbacks
    def _read_row(self):
        """Read the leader's row; return whether it is of another term than before."""
        began = self.now
        rows, _ = yield self.context.store.read(LEADER_TABLE, PART)
        self._read_duration_s = self.now - began
        self.context.store_health.answer_s = self._read_duration_s
        before = self._term_of(self.row)
        found = self._found_row = find_leader_row(rows)
        self.row = decode(found.value, LeaderRow, error=PlatformError) if found else None
        self.row_version = found.version if found else 0
        # A leader that still loads its tables does not rewrite the leader's row. It shows that it
        # is active by writing the loading row, which is part of the same read.
        self._newest_row_version = max((row.version for row in rows), default=0)
        changed = self.row is not None and self._term_of(self.row) != before
        if changed:
            self._leader_yields = False
            self._lag_allowance_s = 0.0
            self.context.successors = ()
        return changed

    @staticmethod
    def _term_of(row):
        """Return what identifies a leader's term: one process may lead more than once."""
        return (row.incarnation, row.term) if row is not None else None

    @inlineCallbacks
    def _dial(self):
        """Connect to the holder of the leader's row.

        The Deferred fires with ``home`` (connected to the leader), ``not home`` (the holder is not
        the leader any more) or ``not reached``.
        """
        row = self.row
        if row.incarnation == self.context.incarnation:
            return "not home"
        try:
            link = yield self.context.links.dial(row.address, self._dial_timeout_s)
        except Exception as exc:  # every failure of a connection counts as "not reached"
            self._dial_timeout_s = min(MAX_DIAL_TIMEOUT_S, 2 * self._dial_timeout_s)
            self.log.info(
                "connection to the leader failed", home=row.holder, error=type(exc).__name__
            )
            return "not reached"
        known_incarnation = self.row.incarnation if self.row is not None else None
        if link.peer.incarnation != row.incarnation or known_incarnation != row.incarnation:
            link.abort()
            return "not home"
        self._follow(link, row.term)
        return "home"

    @inlineCallbacks
    def _watch_row(self, dialling):
        """Read the leader's row until the leader is connected, replaced or no longer writing.

        In the last case this instance claims. A leader that continues to write is not replaced: a
        network partition, too, can make it unreachable or cause connections to be refused. The row
        is read while the connection attempt is still pending: the attempt takes 0.4 s to time out
        on an unresponsive leader, and an instance that starts would find the next leader that much
        later.

        Parameters
        ----------
        dialling : PendingResult or None
            Result of the pending connection attempt; None if the leader is already known to be
            unreachable.
        """
        before = self._newest_row_version
        wait_s = self._unchanged_limit_s() + self._lag_allowance_s + self._claim_delay_s()
        until = self.now + wait_s
        while True:
            pause = min(CHECK_S, max(_CLOCK_TOLERANCE_S, until - self.now))
            yield (
                self._sleep(pause) if dialling is None else dialling.wait(self.context.clock, pause)
            )
            if dialling is not None and dialling.is_known:
                reached, dialling = dialling.get(), None
                if reached == "home":
                    return
                if reached == "not home":
                    yield self._claim_in_turn("home gone")
                    return
            if (yield self._read_row()):
                yield self._dial()
                return
            if self._newest_row_version == before:
                if self.now >= until - _CLOCK_TOLERANCE_S:
                    yield self._claim("home does not write")
                    return
                continue
            before, until = self._newest_row_version, self.now + wait_s
            if dialling is None:
                self.log.info("home writes but is not reached", home=self.row.holder)
                self.context.links.leave_leader()
                yield self._sleep(jitter(self.context.random_state, RETRY_S))
                return

    # Claiming

    @inlineCallbacks
    def _claim_in_turn(self, why):
        """Claim after this instance's delay, unless another instance has claimed by then."""
        delay = self._claim_delay_s()
        if delay > 0:
            yield self._sleep(delay)
            if (yield self._read_row()):
                yield self._dial()
                return
        yield self._claim(why)

    @inlineCallbacks
    def _claim(self, why):
        for _ in range(MAX_CLAIM_ATTEMPTS):
            current_row = yield self._try_to_claim(why)
            if current_row is None or why != "home yields":
                return
            holder = decode(current_row.value, LeaderRow, error=PlatformError)
            if self._term_of(holder) != self._term_of(self.row):
                yield self._read_row()
                return
            self.row, self.row_version = holder, current_row.version

    @inlineCallbacks
    def _try_to_claim(self, why):
        """Try to claim once.

        The Deferred fires with the leader's row if the row has been written since it was read, so
        that the claim was refused; else with None.
        """
        if self.context.leaving or self._stopped:
            return None
        former = self.row
        row = LeaderRow(
            holder=self.context.name,
            incarnation=self.context.incarnation,
            address=self.context.settings.listen.peers_address,
            term=1,
        )
        if former is not None:
            # The former leader's data about its workers stays in the row until the workers have
            # responded to this leader.
            row.term = former.term + 1
            row.handover = former.handover
            row.registry_version = former.registry_version
            row.n_workers = former.n_workers
            row.missing = former.missing
            row.nameless = former.nameless
            row.unanswered_starts = former.unanswered_starts
            row.n_loads = former.n_loads + 1
        claim = self.context.leader_row.prepare(row, self.row_version)
        known_by = "answer"
        confirmed_at = self.now
        try:
            version = yield self.context.leader_row.commit(
                claim,
                timeout=max(CLAIM_TIMEOUT_S, CLAIM_TIMEOUT_READS * self._read_duration_s),
            )
        except PreconditionError as exc:
            current_row = find_leader_row(exc.details["rows"])
            if current_row is None:
                yield self._read_row()
            return current_row
        except PlatformError as exc:
            self.log.info("store did not answer the claim", error=str(exc))
            yield self._sleep(jitter(self.context.random_state, RETRY_S))
            confirmed_at = self.now
            yield self._read_row()
            if claim.outcome(self._found_row) is not WriteOutcome.COMMITTED:
                return None
            version, known_by = self.row_version, "read"
        if self._stopped:
            return None
        self.row, self.row_version = row, version
        self.is_leader = True
        self._leader_yields = False
        self.context.links.leave_leader()
        self.context.meters.count("takeovers", why)
        self.log.info("claimed", why=why, token=version, term=row.term, known_by=known_by)
        claimed = Claimed(
            token=version,
            term=row.term,
            row_version=version,
            confirmed_at=confirmed_at,
            former=former,
        )
        self.context.claimed = claimed
        self.post(claimed)
        return None
