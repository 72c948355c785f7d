"""Follows the operator's configuration."""

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from ..exceptions import PlatformError, RevisionGoneError
from ..platform import CONFIG_KEY, OPERATOR_TABLE, decode_config
from ..runtime import Part
from ..utils import jitter
from ._context import ConfigChanged

#: How long one reading of the feed waits for a change. A connection that went silent shows only by
#: its time limit; the operator's changes must be in force within two seconds. Unit: seconds.
FOLLOW_S = 2.0

#: Wait after a reading that failed. Unit: seconds.
AGAIN_S = 0.25


class ConfigPart(Part):
    """Keeps the newest configuration that this process has seen; it never takes an older one."""

    prefix = "config"

    def __init__(self, *, context):
        super().__init__(context=context)
        self._version = None
        self._reading = False
        self._away = False

    def start(self):
        """Read the configuration, and follow its changes."""
        self.context.config_part = self
        self.every(0.0, self._follow)

    def hint(self, version):
        """Another instance has this version: read at once if ours is older."""
        config = self.context.config
        if (config is None or version > config.version) and not self._reading:
            self._reading = True
            done = self._read()
            done.addErrback(lambda failure: failure.trap(PlatformError))
            done.addErrback(self.fail_with)
            done.addBoth(self._read_done)

    def _read_done(self, _):
        self._reading = False

    @inlineCallbacks
    def _follow(self):
        store = self.context.store
        try:
            if self._version is None:
                self._version = yield self._read()
                self._away = False
                self.context.store_health.good()
                return
            rows, version = yield store.follow(OPERATOR_TABLE, self._version, wait_s=FOLLOW_S)
        except RevisionGoneError:
            self.log.info("configuration history gone, reading anew", after=self._version)
            self._version = None
            return
        except PlatformError as exc:
            # Said once: an outage of ten seconds wrote forty lines an instance.
            if not self._away:
                self.log.warning("configuration not read", error=str(exc))
            self._away = True
            self.context.store_health.bad()
            self._version = None
            yield self._pause()
            return
        self._away = False
        self.context.store_health.good()
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self._take(row.value)
        self._version = version

    @inlineCallbacks
    def _read(self):
        rows, version = yield self.context.store.read(OPERATOR_TABLE, "")
        for row in rows:
            if row.key == CONFIG_KEY:
                self._take(row.value)
        return version

    def _pause(self):
        delay = jitter(self.context.random_state, AGAIN_S)
        return deferLater(self.context.clock, delay, lambda: None)

    def _take(self, body):
        config = decode_config(body)
        known = self.context.config
        if known is not None and config.version <= known.version:
            return
        self.context.config = config
        self.log.info("configuration in force", version=config.version)
        self.post(ConfigChanged(version=config.version))
