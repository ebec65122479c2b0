"""The platform's metadata store, in memory, over HTTP/1.1.

It loses nothing and answers linearizably. Each instance gets a listener of its
own (a "door"), so that a case can cut off or refuse single machines.
"""
import asyncio
import base64
import urllib.parse

from wire import pack, unpack

ANSWER_S = 0.004
RETENTION_S = 20.0
HEARTBEAT_S = 1.2


class Door:
    """A listener of the store for one machine. Modes: ok, busy (503), many
    (429), reset, silent (no answer)."""

    def __init__(self, store, name):
        self.store, self.name, self.mode = store, name, "ok"
        self.port, self.server, self.open = 0, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        """Switches the mode; waiting watches are cut as the mode says."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self.open):
                writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        method, target = head[0].split(" ")[:2]
        size = 0
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                size = int(value)
        body = unpack(await reader.readexactly(size)) if size else {}
        self.store.calls += 1
        status, answer = await self.call(method, target, body, writer)
        if status is None:
            return
        data = pack(answer)
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\n"
                     b"Content-Length: %d\r\nConnection: close\r\n\r\n" % (status, len(data)) + data)
        await writer.drain()

    async def blocked(self, writer):
        if self.mode == "silent":
            # The connection hangs, like one through a partition.
            while self.mode == "silent" and not writer.is_closing():
                await asyncio.sleep(0.05)
            writer.transport.abort()
            return None, None
        if self.mode == "reset":
            writer.transport.abort()
            return None, None
        if self.mode in ("busy", "many"):
            return (503 if self.mode == "busy" else 429), {}
        return False

    async def call(self, method, target, body, writer):
        await asyncio.sleep(ANSWER_S)
        blocked = await self.blocked(writer)
        if blocked:
            return blocked
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = await self.store.handle(method, path, query, body)
        if status == 200 and path == "/-/kv-txn":
            for put in body.get("puts", []):
                self.store.writers[put["key"]] = self.name
                self.store.note("written by=%s key=%s value=%s", self.name, put["key"],
                                unpack(base64.b64decode(put["value"])))
        blocked = await self.blocked(writer)  # the link may have gone meanwhile
        return blocked if blocked else (status, answer)


class Store:
    """Keys, revisions, history and leases."""

    def __init__(self, now):
        self.now, self.note = now, lambda *values: None
        self.items, self.history, self.revision = {}, [], 100
        self.leases, self.next_lease = {}, 7000
        self.dropped = 0  # history up to this revision is gone
        self.changed = asyncio.Event()
        self.calls = 0
        self.is_down, self.down_s = False, 0.0
        self.writers = {}  # the machine that last wrote a key under a condition

    async def door(self, name):
        door = Door(self, name)
        await door.start()
        return door

    def record(self, event):
        self.history.append((self.now(), event))
        while self.history and self.history[0][0] < self.now() - RETENTION_S:
            self.dropped = self.history.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a key; value is bytes."""
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.record(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def stop(self):
        self.is_down, self.down_s = True, self.now()

    def go_on(self):
        """Ends an outage; leases run on from where they were. Returns its length."""
        paused_s = self.now() - self.down_s
        self.is_down = False
        self.leases = {k: (end + paused_s, ttl) for k, (end, ttl) in self.leases.items()}
        return paused_s

    def expire(self):
        if self.is_down:
            return
        for lease, (end, ttl) in list(self.leases.items()):
            if self.now() >= end:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.remove(key)

    async def run(self):
        while True:
            self.expire()
            await asyncio.sleep(0.05)

    async def handle(self, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, **{"as-of": self.revision})) if item else (404, {})
        if path == "/-/kv-range":
            return self.range(query)
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.txn(body)
        if path == "/-/kv-lease":
            ttl = min(max(int(body["ttl-ms"]), 1000), 600000)
            self.next_lease += 1
            self.leases[self.next_lease] = (self.now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        name = int(path.rsplit("/", 1)[1])
        if name not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl = self.leases[name][1]
            self.leases[name] = (self.now() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}
        self.leases[name] = (0, 0)
        self.expire()
        return 200, {}

    def range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
        return 200, {"items": [self.items[k] for k in keys[:500]], "truncated": len(keys) > 500,
                     "as-of": self.revision}

    def events(self, prefix, after):
        return [e for _, e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = self.now() + min(int(query["wait-ms"]), 30000) / 1000
        if after < self.dropped or after > self.revision:
            return 410, {}
        while not self.events(prefix, after) and self.now() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(end - self.now(), 0.001))
            except asyncio.TimeoutError:
                pass
        return 200, {"events": self.events(prefix, after), "as-of": self.revision}

    def txn(self, body):
        expected = body.get("expect-rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items.get(r["key"], {"key": r["key"], "revision": 0})
                                       for r in expected]}
        puts = body.get("puts", [])
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
