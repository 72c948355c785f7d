"""The operator's configuration, read from the store's feed of changes.

It is also read when the leader's heartbeat names a newer version (a hint).
"""

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PlatformUnavailableError, RevisionGoneError
from ..platform import CONFIG_KEY, OPERATOR_TABLE, decode_config
from ..runtime import Part
from ..utils import jitter
from ._context import ConfigChanged, StoreRecovered

#: Share of the time within which a change must be in force that one read of the feed may take. A
#: read without an answer is then abandoned, as its connection may have stopped responding just as
#: the read began; the rest of the time is left for another read. The leader's hints do not help if
#: the leader's own feed does not respond either.
READ_TIME_SHARE = 0.7

#: Part of the time of one read that is left for the answer after the wait for a change; and the
#: shortest and the longest wait for a change. Unit: seconds.
ANSWER_TIMEOUT_S = 0.8
MIN_WAIT_S = 0.2
MAX_WAIT_S = 2.0

#: Greatest factor by which the timeout of the answer grows after consecutive failed reads. Without
#: growth, a store that is late with a large configuration would be read repeatedly, and each
#: answer would come after its timeout.
MAX_TIMEOUT_FACTOR = 4

#: Shortest outage of the store after which a read that was sent during the outage is abandoned. A
#: store that is only late answers other calls sooner than this, and may still answer the read.
#: Unit: seconds.
MIN_OUTAGE_S = 0.6

#: Mean wait after a failed read. Unit: seconds.
RETRY_S = 0.25

#: Timeout of a read that a client's call waits for. Unit: seconds.
CONFIRM_TIMEOUT_S = 0.3


def feed_wait_s(apply_s):
    """Return the time for which one read of the feed should wait for a change. Unit: seconds.

    Parameters
    ----------
    apply_s : float
        Time within which a change must be in force. Unit: seconds.

    Examples
    --------
    >>> round(feed_wait_s(2.0), 3)
    0.6
    >>> feed_wait_s(17.0)
    2.0
    """
    return min(MAX_WAIT_S, max(MIN_WAIT_S, READ_TIME_SHARE * apply_s - ANSWER_TIMEOUT_S))


class ConfigPart(Part):
    """Keeps the newest configuration that this process has read; an older one never replaces it."""

    prefix = "config"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._version = None
        self._hinted = None
        self._confirming = []
        self._is_arriving = False
        self._is_unreadable = False
        self._failing_since = None
        self._n_failed = 0
        self._reading = None
        self._read_at = 0.0
        self._is_cancelled_for_retry = False

    def start(self):
        """Read the configuration and follow its changes."""
        self.context.config_part = self
        self.on(StoreRecovered, self._on_store_recovered)
        self.every(0.0, self._follow)

    def _on_store_recovered(self, _, recovered):
        """Cancel and repeat a read that was sent during an outage, as it will get no answer.

        The timeout of the read has grown with each failure. Until it expired, clients' calls were
        refused by an old configuration although the store was back and had a newer one.
        """
        # The outage began before it was detected, which takes the whole timeout of one call.
        was_sent_in_outage = self._read_at >= self.now - recovered.away_s - ANSWER_TIMEOUT_S
        if recovered.away_s < MIN_OUTAGE_S or not was_sent_in_outage or self._is_arriving:
            return
        if self._reading is not None:
            self._is_cancelled_for_retry = True
            self._reading.cancel()

    def hint(self, version):
        """Read the configuration at once if another instance has a newer version.

        The feed's connection may have stopped responding. Nothing is read while the feed's answer
        is arriving: a second answer would halve the bandwidth of the first, and on slow links both
        then came too late. Nothing is read either if the last configuration could not be decoded:
        it would be read again with each heartbeat of the leader.

        Parameters
        ----------
        version : int
            Version of the configuration that the other instance has.
        """
        config = self.context.config
        is_newer = config is None or version > config.version
        is_redundant = self._is_arriving or self._is_unreadable or self._hinted is not None
        if not is_newer or is_redundant:
            return
        self._hinted = reading = self._read_hinted()
        reading.addErrback(lambda failure: failure.trap(PlatformError))
        reading.addErrback(self.fail_with)
        reading.addBoth(self._hinted_read_finished)

    def _hinted_read_finished(self, _):
        self._hinted = None

    def confirm(self):
        """Read the configuration to prove that the one in force is the newest.

        Returns a Deferred that fires when the read has ended, successfully or not; the result is in
        the context's proof. All calls that wait at the same time share one read.
        """
        waiting = Deferred()
        self._confirming.append(waiting)
        if len(self._confirming) == 1:
            reading = self._read_whole("confirm", CONFIRM_TIMEOUT_S)
            reading.addErrback(self._confirm_failed)
            reading.addErrback(self.fail_with)
            reading.addBoth(self._confirm_ended)
        return waiting

    def _confirm_failed(self, failure):
        failure.trap(PlatformError)
        self.context.store_health.record_failure()
        self.log.info("configuration not confirmed", error=str(failure.value))

    def _confirm_ended(self, _):
        confirming, self._confirming = self._confirming, []
        for waiting in confirming:
            waiting.callback(None)

    def _on_answer_begun(self):
        """Cancel the read made for a hint, as the feed's answer has begun to arrive."""
        self._is_arriving = True
        if self._hinted is not None:
            self._hinted.cancel()

    @inlineCallbacks
    def _follow(self):
        self._read_at = sent_at = self.now
        self._reading = self._read_changes()
        try:
            rows, version = yield self._reading
        except RevisionGoneError:
            self.log.info("configuration history gone, reading anew", after=self._version)
            self._version = None
            return
        except PlatformError as exc:
            if self._is_cancelled_for_retry:
                return
            is_first = self._failing_since is None
            self._record_failed_read(exc)
            self.context.store_health.record_failure()
            # The version is kept, so that only later changes have to be transferred. There is no
            # pause after a first lost answer: it does not show that the store is unavailable, and
            # the read has already taken its whole timeout.
            if not (is_first and isinstance(exc, PlatformUnavailableError)):
                yield self._pause()
            return
        finally:
            self._reading = None
            self._is_cancelled_for_retry = False
        self._record_success()
        self.context.store_health.record_answer()
        source = "read" if self._version is None else "feed"
        self._apply_rows(rows, version, source, sent_at)
        self._version = version

    def _record_failed_read(self, error):
        # Logged once per outage: an outage of ten seconds wrote forty lines for each instance.
        self._n_failed += 1
        if self._failing_since is None:
            self._failing_since = self.now
            self.log.warning("configuration not read", error=str(error))

    def _record_success(self):
        if self._failing_since is not None:
            after_s = round(self.now - self._failing_since, 3)
            self.log.info("configuration read again", after_s=after_s, n_failed=self._n_failed)
        self._failing_since = None
        self._n_failed = 0

    @inlineCallbacks
    def _read_changes(self):
        """Return the rows that have changed, or all rows, and the version to continue from."""
        store = self.context.store
        try:
            if self._version is None:
                found = yield store.read(OPERATOR_TABLE, "", on_begin=self._on_answer_begun)
            else:
                found = yield store.follow(
                    OPERATOR_TABLE,
                    self._version,
                    wait_s=feed_wait_s(self.context.settings.bounds.config_apply_s),
                    answer_s=ANSWER_TIMEOUT_S * min(MAX_TIMEOUT_FACTOR, 2**self._n_failed),
                    on_begin=self._on_answer_begun,
                )
        finally:
            self._is_arriving = False
        return found

    def _read_hinted(self):
        return self._read_whole("hint")

    @inlineCallbacks
    def _read_whole(self, source, timeout=None):
        sent_at = self.now
        rows, version = yield self.context.store.read(OPERATOR_TABLE, "", timeout=timeout)
        self._apply_rows(rows, version, source, sent_at)

    def _apply_rows(self, rows, version, source, sent_at):
        """Apply the rows, as of `version`, of a read that was sent at `sent_at`. Unit: seconds."""
        proof = self.context.config_proof
        config_rows = [row for row in rows if row.key == CONFIG_KEY]
        for row in config_rows:
            if row.value is not None:
                proof.note_row(row.version, in_force=self._apply_row(row, source))
        is_removed = config_rows[-1].value is None if config_rows else source != "feed"
        if is_removed:
            proof.note_removal(version)
        proof.note_read(sent_at)

    def _apply_row(self, row, source):
        """Apply a configuration; one that cannot be decoded leaves the last one in force.

        Returns whether the row's configuration is in force now. When the error was raised as a
        fault of this part, all instances ended at the same time, and again after each restart.
        """
        try:
            in_force = self._apply_config(row.value, source)
        except PlatformError as exc:
            self._is_unreadable = True
            self.log.warning(
                "configuration not understood", row_version=row.version, error=str(exc)
            )
            return False
        self._is_unreadable = False
        return in_force

    def _pause(self):
        delay = jitter(self.context.random_state, RETRY_S)
        return deferLater(self.context.clock, delay, lambda: None)

    def _apply_config(self, body, source):
        config = decode_config(body)
        known = self.context.config
        if known is not None and config.version <= known.version:
            return config == known
        self.context.config = config
        self.context.config_at = self.now
        self.log.info(
            "configuration in force",
            version=config.version,
            source=source,
            bytes=len(body),
            accounts=len(config.accounts or ()),
            keys=len(config.keys),
        )
        if config.keys.ambiguous_owners:
            self.log.warning("API keys of several accounts", accounts=config.keys.ambiguous_owners)
        self.post(ConfigChanged(version=config.version))
        return True
