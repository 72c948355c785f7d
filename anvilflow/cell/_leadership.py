"""Which instance is the leader of the cell, and when another takes over."""

from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PreconditionError
from ..peers.gen.ttypes import HomeBeat
from ..runtime import Part
from ..utils import decode, jitter
from ._context import Claimed, Deposed, LeaderChanged
from ._leader_eligibility import can_lead
from ._links import DIAL_TIMEOUT_S, LeaderLinkLost
from ._pending_jobs import PendingCounts
from ._pending_result import PendingResult
from ._tables import LEADER_KEY, LEADER_TABLE, PART, LeaderRow, condition, write

#: Period of looking at the leader. Unit: seconds.
LOOK_S = 0.1

#: Silence of the leader after which it is suspected: two of its beats and their way. Shorter
#: silences come from a busy processor: the tenth of a second that a quota can take away. Unit:
#: seconds.
UNRESPONSIVE_S = 0.5

#: Times the lag of which a leader tells that it is waited for beyond what any other one is. One
#: with an eighth of a core fell behind in a burst and was taken for dead, and so was each after it.
LAG_TIMES = 3

#: Least time between two readings of the leader's row after which a row that has not changed tells
#: that its holder does not write: twice the period of its writes. Unit: seconds.
STILL_S = 0.3

#: The same in readings of the row: where the store is slow the leader's writes take as much longer.
STILL_READS = 3

#: Doublings of the time for which a row may stand still, at the most: one for each claim in a row
#: after which no leader has begun. Where each leader is late as soon as it has read its tables, all
#: of them took each other's place for as long as there was load.
MAX_DOUBLINGS = 3

#: Steps by which the successors hold back, so that the first one's claim is done before the next
#: one begins: a claim takes one call of some 5 ms. Unit: seconds.
RANK_STEP_S = 0.06

#: The same in readings of the row: where the store is slow a claim takes two of them, and claims of
#: all instances at once would fill the part of the store that the leader itself writes to.
RANK_STEP_READS = 2

#: How long an instance that bears a leader badly holds back where it does not know the order, as
#: after the end of all instances: the others need a few tenths of a second more or less to start,
#: also where the store is slow. Unit: seconds.
WEAK_S = 0.48

#: Steps that it holds back besides: the claims of the others take as long as the store is slow. Ten
#: made callers wait for 11 s where all links were slow, and answers of the store took 0.4 s.
WEAK_RANKS = 2

#: Longest wait for the answer to a claim in readings of the row, and at the least. Unit: seconds.
CLAIM_READS = 6
CLAIM_TIMEOUT_S = 0.8

#: Claims in a row of the place of a leader that yields. It records ends until it is deposed, and
#: each record between the reading of its row and the claim had the claim refused: the leader of a
#: rolling restart kept its place for 3.6 s, until it stopped.
CLAIM_TRIES = 8

#: Shorter waits than this are over: the clock does not tell them from none. Unit: seconds.
_TICK_S = 1e-4

#: Longest wait for a connection to the leader; it doubles with each that comes too late, since a
#: leader that is late has the more to do the more often it is dialled. Unit: seconds.
MAX_DIAL_S = 1.6

#: Wait before the store or an unreachable leader is tried again. Unit: seconds.
AGAIN_S = 0.3


class LeadershipPart(Part):
    """Follows the leader, and claims its row when it is gone.

    Safety rests on the row and on the workers: every write of the leader is made on the condition
    that the row is as it left it, and every worker refuses orders under a token lower than one it
    has seen. When to claim is a guess, and a wrong one costs a take-over, no more. Two instances
    that cannot see each other would take turns; therefore a leader that is not reached, but goes on
    writing its row, is left alone.
    """

    prefix = "leadership"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.row = None
        self.row_version = 0
        self._newest_version = 0
        self.is_leader = False
        self._addresses = ()
        self._yielding = False
        self._heard_at = 0.0
        self._patience_s = 0.0
        self._busy = False
        self._read_s = 0.0
        self._dial_s = DIAL_TIMEOUT_S

    def start(self):
        """Look for the leader."""
        self.on(HomeBeat, self._heartbeat)
        self.on(LeaderLinkLost, lambda *_: self._look())
        self.on(Deposed, self._deposed)
        self.every(LOOK_S, self._look)

    # What the leader says

    def _heartbeat(self, source, heartbeat):
        self._heard_at = self.now
        self._patience_s = LAG_TIMES * (heartbeat.lag_ms or 0) / 1000
        self.context.successors = tuple(heartbeat.successors)
        self._addresses = tuple(heartbeat.addresses or ())
        if heartbeat.yielding and not self._yielding:
            self.log.info("home yields", home=source, term=heartbeat.term)
        self._yielding = heartbeat.yielding
        self.context.uses_relays = bool(heartbeat.carried)
        if heartbeat.waiting is not None:
            waiting = PendingCounts(counts=heartbeat.waiting, version=heartbeat.jobs_version or 0)
            self.context.waiting.record_report(waiting)
            waits = heartbeat.start_waits or {}
            self.context.start_waits.record_report({key: ms / 1000 for key, ms in waits.items()})
        config = self.context.config
        if config is None or heartbeat.config_version > config.version:
            self.context.config_part.hint(heartbeat.config_version)

    def _deposed(self, _, __):
        if self.is_leader:
            self.is_leader = False
            self._addresses = tuple(self.context.links.successor_addresses)
            self.log.warning("deposed", row_version=self.row_version)
            self._look()

    # Looking

    def _look(self):
        if self.is_leader or self._busy or self.context.leaving:
            return
        linked = self.context.links is not None and self.context.links.leader_link is not None
        silent = self.now - self._heard_at
        if linked and silent < UNRESPONSIVE_S + self._patience_s and not self._yielding:
            return
        self._busy = True
        done = self._check(linked)
        done.addErrback(lambda failure: failure.trap(PlatformError))
        done.addErrback(self.fail_with)
        done.addBoth(self._checked)

    def _checked(self, _):
        self._busy = False

    @inlineCallbacks
    def _check(self, linked):
        """Find out whether there is a leader; claim when there is none.

        Looking is not held back, only claiming: a leader that has just begun is found by all at
        once.
        """
        try:
            changed = yield self._read_row()
        except PlatformError as exc:
            self.context.store_health.bad()
            self.log.info("home not looked up", error=str(exc))
            if not (yield self._ask_successors()):
                yield self._sleep(jitter(self.context.random_state, AGAIN_S))
            return
        if self.row is None or (self._yielding and not changed):
            yield self._claim_in_turn("no home" if self.row is None else "home yields")
            return
        # A connection that is open but silent says what a new one would only say after its time.
        yield self._watch(None if linked and not changed else PendingResult(self._dial()))

    @inlineCallbacks
    def _ask_successors(self):
        """Look for a leader among the successors of the last one; return whether there is one.

        An instance that is cut off from the store alone cannot read who the leader is. Without this
        it refused all jobs after a change of leaders, for as long as it was cut off: a client comes
        back a second later, and 18 of 31 late quick jobs of a day had waited for that.
        """
        asked = [self.context.links.ask_for_leader(address) for address in self._addresses]
        words = yield gatherResults(asked)
        known_term = self.row.term if self.row is not None else 0
        words = [word for word in words if word is not None]
        leaders = [
            word
            for word in words
            if word.heartbeat.term >= known_term and not word.heartbeat.yielding
        ]
        leader = max(leaders, key=lambda word: word.heartbeat.term, default=None)
        for word in words:
            if word is not leader:
                word.link.abort()
        if leader is None or self.is_leader:
            return False
        self._follow(leader.link, leader.heartbeat.term)
        return True

    def _follow(self, link, term):
        self._dial_s = DIAL_TIMEOUT_S
        self.context.links.follow_leader(link)
        self._heard_at = self.now
        self._yielding = False
        self.log.info("home found", home=link.peer.instance, term=term)
        self.post(LeaderChanged())

    def _rank(self):
        name = self.context.name
        if name in self.context.successors:
            return self.context.successors.index(name)
        return self.context.random_state.random() * max(3, len(self.context.successors))

    @property
    def _holds_back(self):
        """Whether other instances should claim first, as far as this one knows."""
        settings = self.context.settings
        is_known = self.context.name in self.context.successors
        return not is_known and not can_lead(settings.link_mbps, settings.cpu_milli)

    def _still_s(self):
        """Return for how long the leader's row may stand still."""
        n_doublings = min(MAX_DOUBLINGS, self.row.n_loads)
        return max(STILL_S, STILL_READS * self._read_s) * 2**n_doublings

    def _turn_s(self):
        """Return how long this instance holds back before it claims."""
        step_s = max(RANK_STEP_S, RANK_STEP_READS * self._read_s)
        turn_s = self._rank() * step_s
        return turn_s + WEAK_S + WEAK_RANKS * step_s if self._holds_back else turn_s

    def _sleep(self, delay):
        return deferLater(self.context.clock, delay, lambda: None)

    @inlineCallbacks
    def _read_row(self):
        """Read the leader's row; return whether another life of an instance holds it now."""
        began = self.now
        rows, _ = yield self.context.store.read(LEADER_TABLE, PART)
        self._read_s = self.now - began
        self.context.store_health.answer_s = self._read_s
        before = self.row.incarnation if self.row is not None else None
        found = next((row for row in rows if row.key == LEADER_KEY), None)
        self.row = decode(found.value, LeaderRow, error=PlatformError) if found else None
        self.row_version = found.version if found else 0
        # A leader that loads does not write its own row yet, but another one beside it.
        self._newest_version = max((row.version for row in rows), default=0)
        changed = self.row is not None and self.row.incarnation != before
        if changed:
            self._yielding = False
            self._patience_s = 0.0
            self.context.successors = ()
        return changed

    @inlineCallbacks
    def _dial(self):
        """Connect to the holder; return ``leader``, ``not leader`` or ``not reached``."""
        row = self.row
        if row.incarnation == self.context.incarnation:
            return "not home"
        try:
            link = yield self.context.links.dial(row.address, self._dial_s)
        except Exception as exc:  # every way in which a connection can fail is an answer here
            self._dial_s = min(MAX_DIAL_S, 2 * self._dial_s)
            self.log.info("home not reached", home=row.holder, error=type(exc).__name__)
            return "not reached"
        known = self.row.incarnation if self.row is not None else None
        if link.peer.incarnation != row.incarnation or known != row.incarnation:
            link.abort()
            return "not home"
        self._follow(link, row.term)
        return "home"

    @inlineCallbacks
    def _watch(self, dialling):
        """Look at a leader's row until it is reached, has a successor, or writes no more.

        A leader that goes on writing is left alone: that it cannot be reached, or that a connection
        to it is refused, a cut may do, too. A dark leader is not waited for: it takes the dial 0.4
        s to find that out, and an instance that starts would see its successor that much later.

        Parameters
        ----------
        dialling : PendingResult or None
            Of the connection that is being made to it; None: it is not reached.
        """
        before = self._newest_version
        wait_s = self._still_s() + self._patience_s + self._turn_s()
        until = self.now + wait_s
        while True:
            pause = min(LOOK_S, max(_TICK_S, until - self.now))
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
            if self._newest_version == before:
                if self.now >= until - _TICK_S:
                    yield self._claim("home does not write")
                    return
                continue
            before, until = self._newest_version, self.now + wait_s
            if dialling is None:
                self.log.info("home writes but is not reached", home=self.row.holder)
                self.context.links.leave_leader()
                yield self._sleep(jitter(self.context.random_state, AGAIN_S))
                return

    # Claiming

    @inlineCallbacks
    def _claim_in_turn(self, why):
        """Claim unless another instance, whose turn comes first, has done so meanwhile."""
        delay = self._turn_s()
        if delay > 0:
            yield self._sleep(delay)
            if (yield self._read_row()):
                yield self._dial()
                return
        yield self._claim(why)

    @inlineCallbacks
    def _claim(self, why):
        for _ in range(CLAIM_TRIES):
            moved = yield self._claim_once(why)
            if moved is None or why != "home yields":
                return
            holder = decode(moved.value, LeaderRow, error=PlatformError)
            if holder.incarnation != self.row.incarnation:
                yield self._read_row()
                return
            self.row, self.row_version = holder, moved.version

    @inlineCallbacks
    def _claim_once(self, why):
        """Claim; return the leader's row if that has been written since it was read, or None."""
        if self.context.leaving:
            return None
        former = self.row
        row = LeaderRow(
            holder=self.context.name,
            incarnation=self.context.incarnation,
            address=self.context.settings.listen.peers_address,
            term=1,
        )
        if former is not None:
            # What it said of its workers stays true until this leader has heard them.
            row.term = former.term + 1
            row.handover = former.handover
            row.registry_version = former.registry_version
            row.n_workers = former.n_workers
            row.missing = former.missing
            row.nameless = former.nameless
            row.n_loads = former.n_loads + 1
        conditions = [condition(LEADER_TABLE, LEADER_KEY, self.row_version)]
        try:
            version = yield self.context.store.commit(
                conditions,
                [write(LEADER_TABLE, LEADER_KEY, row)],
                timeout=max(CLAIM_TIMEOUT_S, CLAIM_READS * self._read_s),
            )
        except PreconditionError as exc:
            found = (row for row in exc.details["rows"] if row.key == LEADER_KEY and row.value)
            moved = next(found, None)
            if moved is None:
                yield self._read_row()
            return moved
        except PlatformError as exc:
            # The claim may have been made, or may be made yet: the row will tell.
            self.log.info("claim unanswered", error=str(exc))
            yield self._sleep(jitter(self.context.random_state, AGAIN_S))
            yield self._read_row()
            if self.row is None or self.row.incarnation != self.context.incarnation:
                return None
            version = self.row_version
        self.row, self.row_version = row, version
        self.is_leader = True
        self._yielding = False
        self.context.links.leave_leader()
        self.context.meters.count("takeovers", why)
        self.log.info("claimed", why=why, token=version, term=row.term)
        self.post(Claimed(token=version, term=row.term, row_version=version, former=former))
        return None
