"""Stand-in for the platform's metadata store: ``python3 store.py PORT_FILE``.

Rows, conditional transactions and feeds as PROTOCOL.md states them, with the figures of a small
deployment. A transaction or a row beyond its limit is answered with 400 and not carried out. The
operator and the workers write through ``/standin/put`` and ``/standin/remove``; an entry of a
worker that has not been written for three heartbeat intervals is removed.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

import wire

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
TX_S = 0.003
HEARTBEAT_S = 1.5
OWN_TABLES = ("op", "servers")


class Store:
    """Rows by table, part and key; `log` holds all changes, oldest first."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.log = []
        self.changed = asyncio.Condition()
        self.locks = {}
        self.written_at = {}
        self.n_refused = 0
        self.largest_value = 0

    async def handle(self, method, path, query, body, headers):
        """Answer a call."""
        match path:
            case "/-/rows-tx":
                return await self.commit(body)
            case "/-/rows-get":
                return self.get(query)
            case "/-/rows-feed":
                return await self.feed(query)
            case "/standin/put":
                call = json.loads(body)
                value = json.dumps(call["value"]).encode()
                if call["table"] == "servers":
                    self.written_at[call["key"]] = time.monotonic()
                return 200, {"ver": await self.write([(call["table"], "", call["key"], value)])}
            case "/standin/remove":
                call = json.loads(body)
                return 200, {"ver": await self.write([(call["table"], "", call["key"], None)])}
            case "/standin/refused":
                return 200, {"n": self.n_refused, "largest_value": self.largest_value}
        return 404, {}

    async def write(self, writes):
        """Apply writes as one transaction; return its version."""
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.log.append((self.version, table, part, key, value))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def commit(self, body):
        call = json.loads(body)
        conditions, writes = call.get("expected-rev", []), call.get("writes", [])
        removals = call.get("remove", [])
        entries = conditions + writes + removals
        values = [base64.b64decode(item["value"]) for item in writes]
        parts = {item["part"] for item in entries}
        is_valid = (
            len(entries) <= MAX_ENTRIES
            and len(body) <= MAX_CALL_BYTES
            and all(len(value) <= ROW_BYTES for value in values)
            and (len(parts) <= 1 or call.get("across"))
        )
        if not is_valid:
            self.n_refused += 1
            self.largest_value = max([self.largest_value, *map(len, values)])
            return 400, {}
        if any(item["table"] in OWN_TABLES for item in writes + removals):
            return 403, {}
        async with self.locks.setdefault(min(parts, default=""), asyncio.Lock()):
            await asyncio.sleep(TX_S)
            for item in conditions:
                version, _ = self.rows.get(_key(item), (0, b""))
                if version != item["ver"]:
                    rows = [self.wire(_key(each)) for each in conditions if _key(each) in self.rows]
                    return 412, {"rows": rows, "ver": self.version, "now-ms": _now_ms()}
            changes = [(*_key(item), value) for item, value in zip(writes, values, strict=True)]
            changes += [(*_key(item), None) for item in removals]
            version = await self.write(changes)
        return 200, {"ver": version, "now-ms": _now_ms()}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for in_table, in_part, key in self.rows
            if in_table == table and in_part == part and first <= key and (not end or key < end)
        )
        limit = min(500, int(query.get("limit", 500)))
        rows = [self.wire((table, part, key)) for key in keys[:limit]]
        answer = {"rows": rows, "truncated": len(keys) > limit}
        return 200, {**answer, "ver": self.version, "now-ms": _now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(30_000, int(query.get("wait-ms", 0))) / 1000
        while True:
            keys = {}
            for version, in_table, part, key, _ in reversed(self.log):
                if version <= after:
                    break
                if in_table == table:
                    keys.setdefault((table, part, key), version)
            left_s = until - time.monotonic()
            if keys or left_s <= 0:
                ordered = sorted(keys, key=keys.get)
                rows = [self.wire(key, keys[key]) for key in ordered]
                return 200, {"rows": rows, "ver": self.version, "now-ms": _now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    pass

    def wire(self, key, version=0):
        """Return a row as it is sent; a removed row has the version of its removal."""
        row = dict(zip(("table", "part", "key"), key, strict=True))
        if key not in self.rows:
            return {**row, "ver": version, "tombstone": True}
        version, value = self.rows[key]
        return {**row, "ver": version, "value": base64.b64encode(value).decode()}

    async def remove_silent_workers(self):
        """Remove the entries of workers that have been silent for three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.1)
            before = time.monotonic() - 3 * HEARTBEAT_S
            for key in [key for key, at in self.written_at.items() if at < before]:
                del self.written_at[key]
                await self.write([("servers", "", key, None)])


def _key(item):
    return item["table"], item["part"], item["key"]


def _now_ms():
    return int(time.monotonic() * 1000)


async def main(port_file):
    store = Store()
    server = await wire.serve(store.handle, "127.0.0.1")
    Path(port_file).write_text(str(server.sockets[0].getsockname()[1]))
    await store.remove_silent_workers()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
