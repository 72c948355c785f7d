"""Stand-in for the platform's metadata store, with the operator's and the workers' writes."""

import asyncio
import base64
import contextlib
import json
import time

#: Largest value of a row and largest call, as in the sites' settings and PROTOCOL.md.
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
PAGE_ROWS = 500

#: Time of a transaction and of a read. Unit: seconds.
TX_S = 0.004
READ_S = 0.004

#: Three heartbeat intervals, after which the entry of a silent worker is removed. Unit: seconds.
SILENCE_S = 4.5

#: Tables that the system may not write to.
FOREIGN = {"op", "servers"}


class Store:
    """Rows, conditional transactions and feeds; workers' entries expire after silence."""

    def __init__(self, *, on_refused=lambda status, why: None):
        self.on_refused = on_refused
        self.version = 0
        self.rows = {}
        self.history = []
        self.heard_at = {}
        self._changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        self._apply([(table, part, key, json.dumps(value).encode())])

    def remove(self, table, key, part=""):
        """Remove a row as the operator or a worker does."""
        self._apply([(table, part, key, None)])

    def _apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.history.append((self.version, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, method, path, query, body, headers):
        """Answer one call."""
        match method, path:
            case "POST", "/-/rows-tx":
                return await self._commit(body)
            case "GET", "/-/rows-get":
                await asyncio.sleep(READ_S)
                return self._get(query)
            case "GET", "/-/rows-feed":
                return await self._feed(query)
            case "POST", "/standin/beat":
                return self._beat(json.loads(body))
            case "POST", "/-/advise":
                named = json.loads(body)["workers"]
                return 200, {"good": [[each, "t"] for each in named], "valid-ms": 60000}
            case _:
                return 404, {}

    async def _commit(self, body):
        await asyncio.sleep(TX_S)
        call = json.loads(body)
        wanted = call.get("expected-rev", [])
        writes = [
            (item["table"], item["part"], item["key"], base64.b64decode(item["value"]))
            for item in call.get("writes", [])
        ]
        writes += [(i["table"], i["part"], i["key"], None) for i in call.get("remove", [])]
        why = self._refusal(body, wanted, writes)
        if why is not None:
            self.on_refused(*why)
            return why[0], {}
        for item in wanted:
            row = self.rows.get((item["table"], item["part"], item["key"]), (0, b""))
            if row[0] != item["ver"]:
                rows = [self._wire(i["table"], i["part"], i["key"]) for i in wanted]
                return 412, {"rows": [row for row in rows if row], **self._stamp()}
        self._apply(writes)
        return 200, self._stamp()

    def _refusal(self, body, wanted, writes):
        if any(table in FOREIGN for table, _, _, _ in writes):
            return 403, "a table of others"
        if len(body) > CALL_BYTES or len(wanted) + len(writes) > CALL_ENTRIES:
            return 413, "a call too large"
        for table, _, key, value in writes:
            if value is not None and len(value) > ROW_BYTES:
                return 400, f"row {table}/{key} of {len(value)} bytes, over row-bytes {ROW_BYTES}"
        return None

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for t, p, key in self.rows
            if t == table and p == part and key >= first and (end is None or key < end)
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [self._wire(table, part, key) for key in keys[:limit]]
        return 200, {"rows": rows, "truncated": len(keys) > limit, **self._stamp()}

    async def _feed(self, query):
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changed = self._changed
            rows = self._changes(query["table"], int(query["after"]))
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._stamp()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _changes(self, table, after):
        latest = {}
        for version, t, part, key, value in reversed(self.history):
            if version <= after:
                break
            if t == table and (part, key) not in latest:
                latest[part, key] = (version, value)
        changes = []
        for (part, key), (version, value) in sorted(latest.items(), key=lambda i: i[1][0]):
            row = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                changes.append({**row, "tombstone": True})
            else:
                changes.append({**row, "value": base64.b64encode(value).decode()})
        return changes

    def _wire(self, table, part, key):
        row = self.rows.get((table, part, key))
        if row is None:
            return None
        value = base64.b64encode(row[1]).decode()
        return {"table": table, "part": part, "key": key, "value": value, "ver": row[0]}

    def _stamp(self):
        return {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    # Workers' entries

    def _beat(self, entry):
        """Take a worker's heartbeat; the row changes when more than `sequence` does."""
        key = entry.pop("id")
        self.heard_at[key] = time.monotonic()
        row = self.rows.get(("servers", "", key))
        before = json.loads(row[1]) if row else None
        if before is None or {**before, "sequence": 0} != {**entry, "sequence": 0}:
            self.put("servers", key, entry)
        return 200, {}

    async def expire(self):
        """Remove the entries of silent workers."""
        while True:
            await asyncio.sleep(0.2)
            for key, at in list(self.heard_at.items()):
                if time.monotonic() - at > SILENCE_S:
                    del self.heard_at[key]
                    self.remove("servers", key)
