"""Which instances make the leader's calls to workers."""

from ..decisions import choose_owner
from ..exceptions import NotReadyError, PeerTimeoutError
from ._leader_eligibility import can_lead
from ._worker_commands import LATE, LEAVING

#: Time beyond an order's own limit for which its answer is waited for: the way to the relay and
#: back, and its turn there. Unit: seconds.
HOP_S = 0.3

#: Time for which a relay gets no orders after one that it did not answer, or did not carry out:
#: doubled each time up to the longest, unless it carried out orders for as long. Unit: seconds.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 16.0

#: Share of the link, in either direction, from which orders are carried: bursts are several times
#: what is usual, and on a full link all calls are late.
BUSY_SHARE = 0.25

#: Time for which orders are carried after the link was short. Unit: seconds.
BUSY_KEPT_S = 10.0

#: Time for which the list of relays is kept: orders to one that has gone meanwhile are not sent,
#: and go to the next. Unit: seconds.
NAMES_KEPT_S = 0.1


class RelayDispatcher:
    """Chooses an instance for each order, and has the order carried out there.

    Starts go to the instance that accepted the job, which has its payload; what else goes to a
    worker, to the one that holds it: each instance holds a share of the workers, by rendezvous
    hashing, so that few workers change hands when one comes or goes.

    Parameters
    ----------
    context : CellContext
    log : Logger

    Notes
    -----
    Relays decide nothing. Tokens, leases, time limits, retries and the number of starts under way
    are the leader's, and an order that a relay did not answer means what a call without an answer
    means.
    """

    def __init__(self, *, context, log):
        self.context = context
        self.log = log
        self._gateways = {}
        self._names = ()
        self._names_until = float("-inf")
        self._n_peers = 0
        self._holders = {}
        self._rests = {}
        self._left = {}
        self._busy_until = float("-inf")

    # Whether orders are carried

    @property
    def are_used(self):
        """Whether the leader's own link or processor is short, so that others make its calls.

        Of the processor what the settings tell counts, not the lag: while a leader is late the
        change itself would make it later.
        """
        settings = self.context.settings
        if not can_lead(settings.link_mbps, settings.cpu_milli):
            return True
        return self.context.clock.seconds() < self._busy_until

    def measure(self):
        """Note whether the link is short now."""
        now = self.context.clock.seconds()
        use = self.context.link_utilization
        use.measure(now)
        if use.share >= BUSY_SHARE:
            if not self.are_used:
                self.log.info("orders are carried", link_share=round(use.share, 2))
            self._busy_until = now + BUSY_KEPT_S

    # Who carries what

    def note_gateway(self, job_id, name):
        """Note which instance has a job's payload."""
        if name:
            self._gateways[job_id] = name

    def forget_job(self, job_id):
        """Forget a job that has ended."""
        self._gateways.pop(job_id, None)

    def for_worker(self, worker_id):
        """Return the instance that holds a worker, or None: the leader itself does."""
        names = self._relay_names()
        if not names:
            return None
        holder = self._holders.get(worker_id)
        if holder is None:
            holder = self._holders[worker_id] = choose_owner(names, worker_id)
        return holder

    def for_start(self, worker_id, job_id):
        """Return the instance that sends the starts of a job to a worker, or None."""
        names = self._relay_names()
        gateway = self._gateways.get(job_id)
        return gateway if gateway in names else self.for_worker(worker_id)

    def _relay_names(self):
        if not self.are_used or self.context.links is None:
            return ()
        now = self.context.clock.seconds()
        peers = self.context.links.peers
        is_known = now < self._names_until and len(peers) == self._n_peers
        if is_known and (self._names or not peers):
            return self._names
        self._names_until, self._n_peers = now + NAMES_KEPT_S, len(peers)
        names = tuple(
            name
            for name, link in peers.items()
            if link.peer.carries and self._left.get(name) is not link and self._is_rested(name, now)
        )
        if names != self._names:
            self.log.info("shares of workers", carriers=len(names))
            self._names = names
            self._holders = {}
        return names

    def _is_rested(self, name, now):
        rest = self._rests.get(name)
        return rest is None or rest[0] <= now

    # Orders

    def ask(self, name, verb, limit_s, *, held_s=0.0, **values):
        """Have an order carried out; return a Deferred of the :class:`WorkerAnswer`.

        Parameters
        ----------
        name : str
        verb : Verb
        limit_s : float
            Longest wait for the worker's answer, beyond what it may hold that back. Unit: seconds.
        held_s : float, default=0.0
            How long the worker may hold its answer back. Unit: seconds.
        **values
            Further fields of the :class:`WorkerOrder`.

        Raises
        ------
        NotReadyError
            AF204, the order was not sent to the relay.
        PeerTimeoutError
            AF502, it may be carried out.
        """
        done = self.context.links.call_relay(
            name,
            limit_s + held_s + HOP_S,
            verb=verb,
            limit_ms=round(1000 * limit_s),
            sent_ms=round(1000 * self.context.clock.seconds()),
            **values,
        )
        return done.addErrback(self._silent, name)

    def _silent(self, failure, name):
        failure.trap(NotReadyError, PeerTimeoutError)
        self.rest(name, "silent")
        return failure

    def not_sent(self, name, why):
        """Note why an instance did not carry out an order."""
        if why == LEAVING:
            self._left[name] = self.context.links.peers.get(name)
            self._names_until = float("-inf")
        elif why != LATE:
            self.rest(name, why)

    def rest(self, name, why):
        """Give an instance no orders for a while."""
        now = self.context.clock.seconds()
        until, length_s = self._rests.get(name, (float("-inf"), 0.0))
        if now < until:
            return
        is_again = now - until < MAX_BACKOFF_S
        length_s = min(MAX_BACKOFF_S, 2 * length_s) if is_again else BACKOFF_S
        self._rests[name] = (now + length_s, length_s)
        self._names_until = float("-inf")
        self.log.info("carrier rests", carrier=name, why=why, rest_s=length_s)
