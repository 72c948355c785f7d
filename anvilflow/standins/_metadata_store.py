"""Stand-in for the platform's metadata store: rows, conditional transactions, feeds."""

import base64
from enum import StrEnum

from twisted.internet.defer import Deferred

from ..utils import decode_lenient, encode


class StoreCall(StrEnum):
    """URL paths of the store's protocol."""

    COMMIT = "/-/rows-tx"
    READ = "/-/rows-get"
    FEED = "/-/rows-feed"


class MetadataStore:
    """In-memory rows by table, part and key, with one version counter for all changes.

    Parameters
    ----------
    clock : Clock

    Notes
    -----
    Implements the part of the published protocol that anvilflow uses. `log` holds every change
    with its time, so that tests can check what was durable at a given time. `n_writes` and
    `n_reads` count the calls. A feed call that starts before the version `history_from` is
    answered with status 410.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.version = 0
        self.rows = {}
        self.log = []
        self.history_from = 0
        self.n_writes = 0
        self.n_reads = 0
        self._waiters = []

    def handle(self, method, path, query, body, headers):
        """Return the status and body of the response to a call, or a Deferred of them."""
        match path:
            case StoreCall.COMMIT:
                self.n_writes += 1
                return self._commit(decode_lenient(body))
            case StoreCall.READ:
                self.n_reads += 1
                return self._get(query)
            case StoreCall.FEED:
                self.n_reads += 1
                return self._feed(query)
            case _:
                return 404, b""

    def put(self, table, key, value, *, part=""):
        """Write a row as the operator or a worker does; return the new version."""
        return self._write([(table, part, key, encode(value))])

    def remove(self, table, key, *, part=""):
        """Remove a row; return the new version."""
        return self._write([(table, part, key, None)])

    def drop_history(self):
        """Drop the history of changes: feeds from earlier versions are answered with 410."""
        self.history_from = self.version

    def value(self, table, key, *, part=""):
        """Return a row's value, or None."""
        row = self.rows.get((table, part, key))
        return decode_lenient(row[1]) if row else None

    def _commit(self, call):
        for wanted in call["expected-rev"]:
            key = (wanted["table"], wanted["part"], wanted["key"])
            if self.rows.get(key, (0, b""))[0] != wanted["ver"]:
                rows = [self._wire(*_key(item)) for item in call["expected-rev"]]
                return 412, encode({"rows": [row for row in rows if row], "ver": self.version})
        parts = {item["part"] for item in call["writes"] + call["remove"] + call["expected-rev"]}
        if len(parts) > 1:
            return 400, b""
        writes = [(*_key(item), _decoded(item["value"])) for item in call["writes"]]
        writes += [(*_key(item), None) for item in call["remove"]]
        version = self._write(writes)
        return 200, encode({"ver": version, "now-ms": int(self.clock.seconds() * 1000)})

    def _write(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.log.append((self.clock.seconds(), self.version, table, part, key, value))
        for wake in self._waiters[:]:
            wake()
        return self.version

    def _get(self, query):
        first, end = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for table, part, key in self.rows
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (end is None or key < end)
        )
        limit = int(query.get("limit", 500))
        rows = [self._wire(query["table"], query.get("part", ""), key) for key in keys[:limit]]
        truncated = len(keys) > limit
        return 200, encode({"rows": rows, "truncated": truncated, "ver": self.version})

    def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        if after < self.history_from:
            return 410, b""
        changes = self._changes(table, after)
        if changes or not int(query.get("wait-ms", 0)):
            return 200, encode({"rows": changes, "ver": self.version})
        done = Deferred()

        def wake():
            changes = self._changes(table, after)
            if changes:
                finish(changes)

        def finish(changes):
            if not done.called:
                self._waiters.remove(wake)
                if timeout_call.active():
                    timeout_call.cancel()
                done.callback((200, encode({"rows": changes, "ver": self.version})))

        self._waiters.append(wake)
        timeout_call = self.clock.callLater(int(query["wait-ms"]) / 1000, finish, [])
        return done

    def _changes(self, table, after):
        keys = {}
        for _, version, name, part, key, value in self.log:
            if name == table and version > after:
                keys[part, key] = value
        changes = []
        for (part, key), value in keys.items():
            tombstone = {"table": table, "part": part, "key": key, "tombstone": True}
            changes.append(tombstone if value is None else self._wire(table, part, key))
        return changes

    def _wire(self, table, part, key):
        row = self.rows.get((table, part, key))
        if row is None:
            return None
        value = base64.b64encode(row[1]).decode()
        return {"table": table, "part": part, "key": key, "value": value, "ver": row[0]}


def _key(item):
    return item["table"], item["part"], item["key"]


def _decoded(value):
    return base64.b64decode(value)
