"""Choice of the instances that relay the leader's commands to workers."""

from ..decisions import choose_owner
from ..exceptions import NotReadyError, PeerTimeoutError
from ._leader_eligibility import can_lead
from ._worker_commands import LATE, LEAVING

#: Time added to the timeout of a relayed command: the round trip between the leader and the relay,
#: and the time queued at the relay. Unit: seconds.
RELAY_OVERHEAD_S = 0.3

#: Time for which a relay gets no commands after one that it did not answer or did not execute. It
#: doubles up to the maximum, and is reset once the relay has worked without a back-off for as long
#: as the maximum. Unit: seconds.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 16.0

#: Share of the link in use, in either direction, from which commands are relayed. It is low because
#: bursts are several times the usual load, and on a full link all calls are late.
BUSY_LINK_SHARE = 0.25

#: Time for which commands are still relayed after the link was busy. Unit: seconds.
MIN_RELAYED_S = 10.0

#: Time for which the list of relays is cached. Commands to a relay that has disconnected meanwhile
#: are not sent, and go to the next relay. Unit: seconds.
RELAY_LIST_TTL_S = 0.1


class RelayDispatcher:
    """Chooses a relay for each command, and sends the command to it.

    Starts go to the gateway that accepted the job, which has the job's payload. All other commands
    to a worker go to the relay that the worker is assigned to. Workers are assigned by rendezvous
    hashing, so that few of them are reassigned when an instance joins or leaves.

    Parameters
    ----------
    context : CellContext
    log : Logger
    token : int
        Token of the leader's claim.

    Notes
    -----
    Relays make no decisions. The leader controls tokens, leases, timeouts, retries and the number
    of starts in flight. A command without an answer from the relay is treated like a call to a
    worker without an answer.
    """

    def __init__(self, *, context, log, token):
        self.context = context
        self.log = log
        self.token = token
        self._gateways = {}
        self._names = ()
        self._names_until = float("-inf")
        self._n_peers = 0
        self._relay_by_worker = {}
        self._back_offs = {}
        self._leaving_links = {}
        self._busy_until = float("-inf")

    # Use of relays

    @property
    def relays_in_use(self):
        """Whether commands are relayed because the leader is short of link or processor.

        For the processor, the configured size counts and not the lag: switching to relays while the
        leader lags would make it lag more.
        """
        settings = self.context.settings
        if not can_lead(settings.link_mbps, settings.cpu_milli):
            return True
        return self.context.clock.seconds() < self._busy_until

    def measure(self):
        """Measure the link utilization; relay commands for a while if the link is busy."""
        now = self.context.clock.seconds()
        utilization = self.context.link_utilization
        utilization.measure(now)
        if utilization.share >= BUSY_LINK_SHARE:
            if not self.relays_in_use:
                self.log.info("orders are carried", link_share=round(utilization.share, 2))
            self._busy_until = now + MIN_RELAYED_S

    # Assignment of commands to relays

    def note_gateway(self, job_id, name):
        """Record the gateway that accepted a job and has its payload."""
        if name:
            self._gateways[job_id] = name

    def remove_worker(self, worker_id):
        """Remove a worker that has ended."""
        self._relay_by_worker.pop(worker_id, None)

    def remove_job(self, job_id):
        """Remove an ended job."""
        self._gateways.pop(job_id, None)

    def relay_for_worker(self, worker_id):
        """Return the relay that a worker is assigned to; None if the leader calls it directly."""
        names = self._relay_names()
        if not names:
            return None
        relay = self._relay_by_worker.get(worker_id)
        if relay is None:
            relay = self._relay_by_worker[worker_id] = choose_owner(names, worker_id)
        return relay

    def relay_for_start(self, worker_id, job_id):
        """Return the relay for the starts of a job on a worker; None if the leader sends them."""
        names = self._relay_names()
        gateway = self._gateways.get(job_id)
        return gateway if gateway in names else self.relay_for_worker(worker_id)

    def _relay_names(self):
        if not self.relays_in_use or self.context.links is None:
            return ()
        now = self.context.clock.seconds()
        peers = self.context.links.peers
        is_cached = now < self._names_until and len(peers) == self._n_peers
        if is_cached and (self._names or not peers):
            return self._names
        self._names_until, self._n_peers = now + RELAY_LIST_TTL_S, len(peers)
        names = tuple(
            name
            for name, link in peers.items()
            if link.peer.carries
            and link.peer.checks_incarnations
            and self._leaving_links.get(name) is not link
            and self._is_available(name, now)
        )
        if names != self._names:
            self.log.info("shares of workers", carriers=len(names))
            self._names = names
            self._relay_by_worker = {}
        return names

    def _is_available(self, name, now):
        back_off = self._back_offs.get(name)
        return back_off is None or back_off[0] <= now

    # Commands

    def send_command(self, name, verb, limit_s, *, held_s=0.0, **values):
        """Send a command to a relay; return a Deferred of the :class:`WorkerAnswer`.

        Parameters
        ----------
        name : str
            Name of the relay.
        verb : Verb
        limit_s : float
            Timeout of the worker's answer, beyond `held_s`. Unit: seconds.
        held_s : float, default=0.0
            Time for which the worker may delay its answer. Unit: seconds.
        **values
            Further fields of the :class:`WorkerOrder`.

        Raises
        ------
        NotReadyError
            AF204, the command was not sent to the relay.
        PeerTimeoutError
            AF502, the relay did not answer; the command may have been executed.
        """
        done = self.context.links.call_relay(
            name,
            limit_s + held_s + RELAY_OVERHEAD_S,
            verb=verb,
            limit_ms=round(1000 * limit_s),
            sent_ms=round(1000 * self.context.clock.seconds()),
            home_token=self.token,
            **values,
        )
        return done.addErrback(self._call_failed, name)

    def _call_failed(self, failure, name):
        failure.trap(NotReadyError, PeerTimeoutError)
        self.back_off(name, "silent")
        return failure

    def command_not_sent(self, name, why):
        """Record why a relay did not send a command, and back off from the relay if needed."""
        if why == LEAVING:
            self._leaving_links[name] = self.context.links.peers.get(name)
            self._names_until = float("-inf")
        elif why != LATE:
            self.back_off(name, why)

    def back_off(self, name, why):
        """Send no commands to a relay for a while."""
        now = self.context.clock.seconds()
        until, length_s = self._back_offs.get(name, (float("-inf"), 0.0))
        if now < until:
            return
        is_again = now - until < MAX_BACKOFF_S
        length_s = min(MAX_BACKOFF_S, 2 * length_s) if is_again else BACKOFF_S
        self._back_offs[name] = (now + length_s, length_s)
        self._names_until = float("-inf")
        self.log.info("carrier rests", carrier=name, why=why, rest_s=length_s)
