"""Follows the operator's configuration."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, PlatformUnavailableError, RevisionGoneError
from ..platform import CONFIG_KEY, OPERATOR_TABLE, decode_config
from ..runtime import Part
from ..utils import jitter
from ._context import ConfigChanged, StoreRecovered

#: Part of the time in which a change must be in force after which a reading of the feed without an
#: answer is given up: its connection may have gone silent just as the reading began. What is left
#: is for reading anew. The leader's hints do not help where its own feed is silent, too.
GIVE_UP_SHARE = 0.7

#: The part of it that the answer may take once the wait is over; the rest is how long a reading
#: waits for a change, at the least and at the most. Unit: seconds.
ANSWER_S = 0.8
MIN_WAIT_S = 0.2
MAX_WAIT_S = 2.0

#: Most times that it is granted after readings that failed one after the other: a store that is
#: late with a large configuration would be asked for it again and again, and never be heard.
MAX_PATIENCE = 4

#: Outage of the store after which a reading that was made in it is given up. A store that is only
#: late may still answer it, and answers other calls sooner than this. Unit: seconds.
OUTAGE_S = 0.6

#: Wait after a reading that failed. Unit: seconds.
AGAIN_S = 0.25


def feed_wait_s(apply_s):
    """Return how long one reading of the feed should wait for a change.

    Parameters
    ----------
    apply_s : float
        Time in which a change must be in force. Unit: seconds.

    Examples
    --------
    >>> round(feed_wait_s(2.0), 3)
    0.6
    >>> feed_wait_s(17.0)
    2.0
    """
    return min(MAX_WAIT_S, max(MIN_WAIT_S, GIVE_UP_SHARE * apply_s - ANSWER_S))


class ConfigPart(Part):
    """Keeps the newest configuration that this process has seen; it never takes an older one."""

    prefix = "config"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._version = None
        self._hinted = None
        self._arriving = False
        self._not_understood = False
        self._away_since = None
        self._n_failed = 0
        self._reading = None
        self._read_at = 0.0
        self._is_read_anew = False

    def start(self):
        """Read the configuration, and follow its changes."""
        self.context.config_part = self
        self.on(StoreRecovered, self._store_answers)
        self.every(0.0, self._follow)

    def _store_answers(self, _, answers):
        """Read anew: what was asked in an outage has no answer, however long it is waited for.

        Each failure has made the wait longer. Until it was over, callers were refused by a
        configuration that had changed since the store returned.
        """
        # An outage is noticed by a call that was out for its whole time limit.
        was_asked_in_it = self._read_at >= self.now - answers.away_s - ANSWER_S
        if answers.away_s < OUTAGE_S or not was_asked_in_it or self._arriving:
            return
        if self._reading is not None:
            self._is_read_anew = True
            self._reading.cancel()

    def hint(self, version):
        """Another instance has this version: read at once if ours is older, and not on its way.

        The feed's connection may have gone silent. If its answer is arriving, a second one would
        halve the bandwidth of the first: on slow links both then came too late. And if what the
        store has is not understood here, it would be read again with each beat of the leader.
        """
        config = self.context.config
        is_news = config is None or version > config.version
        is_needless = self._arriving or self._not_understood or self._hinted is not None
        if not is_news or is_needless:
            return
        self._hinted = reading = self._read_hinted()
        reading.addErrback(lambda failure: failure.trap(PlatformError))
        reading.addErrback(self.fail_with)
        reading.addBoth(self._hint_done)

    def _hint_done(self, _):
        self._hinted = None

    def _begin(self):
        """The feed's answer begins to arrive: what was read for a hint is needless now."""
        self._arriving = True
        if self._hinted is not None:
            self._hinted.cancel()

    @inlineCallbacks
    def _follow(self):
        self._read_at = self.now
        self._reading = self._changes()
        try:
            rows, version = yield self._reading
        except RevisionGoneError:
            self.log.info("configuration history gone, reading anew", after=self._version)
            self._version = None
            return
        except PlatformError as exc:
            if self._is_read_anew:
                return
            is_first = self._away_since is None
            self._note_failed(exc)
            self.context.store_health.record_failure()
            # The version stays: what has changed since is all that has to come over the link. An
            # answer that was lost says nothing about the store, and took its time already.
            if not (is_first and isinstance(exc, PlatformUnavailableError)):
                yield self._pause()
            return
        finally:
            self._reading = None
            self._is_read_anew = False
        self._note_read()
        self.context.store_health.record_answer()
        self._take_rows(rows, "read" if self._version is None else "feed")
        self._version = version

    def _note_failed(self, error):
        # Said once: an outage of ten seconds wrote forty lines an instance.
        self._n_failed += 1
        if self._away_since is None:
            self._away_since = self.now
            self.log.warning("configuration not read", error=str(error))

    def _note_read(self):
        if self._away_since is not None:
            after_s = round(self.now - self._away_since, 3)
            self.log.info("configuration read again", after_s=after_s, n_failed=self._n_failed)
        self._away_since = None
        self._n_failed = 0

    @inlineCallbacks
    def _changes(self):
        """Return the rows that have changed, or all of them, and the version to go on from."""
        store = self.context.store
        try:
            if self._version is None:
                found = yield store.read(OPERATOR_TABLE, "", on_begin=self._begin)
            else:
                found = yield store.follow(
                    OPERATOR_TABLE,
                    self._version,
                    wait_s=feed_wait_s(self.context.settings.bounds.config_apply_s),
                    answer_s=ANSWER_S * min(MAX_PATIENCE, 2**self._n_failed),
                    on_begin=self._begin,
                )
        finally:
            self._arriving = False
        return found

    @inlineCallbacks
    def _read_hinted(self):
        rows, _ = yield self.context.store.read(OPERATOR_TABLE, "")
        self._take_rows(rows, "hint")

    def _take_rows(self, rows, source):
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self._take_row(row, source)

    def _take_row(self, row, source):
        """Take a configuration; one that is not understood leaves the last one in force.

        As a fault of this part it ended all instances at the same time, and again after each start.
        """
        try:
            self._take(row.value, source)
        except PlatformError as exc:
            self._not_understood = True
            self.log.warning(
                "configuration not understood", row_version=row.version, error=str(exc)
            )
        else:
            self._not_understood = False

    def _pause(self):
        delay = jitter(self.context.random_state, AGAIN_S)
        return deferLater(self.context.clock, delay, lambda: None)

    def _take(self, body, source):
        config = decode_config(body)
        known = self.context.config
        if known is not None and config.version <= known.version:
            return
        self.context.config = config
        self.context.config_at = self.now
        self.log.info(
            "configuration in force", version=config.version, source=source, bytes=len(body)
        )
        self.post(ConfigChanged(version=config.version))
