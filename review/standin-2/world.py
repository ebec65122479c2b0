"""Stand-ins for the platform of chervilmast, for the scripts of this review.

One process plays the store, the hosts, the requesters and the routers on
loopback addresses, and starts the project's own program as separate processes
with the command of the deploy file. The protocol is that of PROTOCOL.md; where
it is silent, the stand-ins behave like a sound store, host or requester.
Only the standard library is used.
"""
import asyncio
import base64
import ctypes
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SYN, ACK, FIN, RST = 1, 4, 8, 64
HEAD = struct.Struct(">BBIHIIIIIHH")
HEARTBEAT_S = 1.2
RUN_LIMIT_S = 110
PR_SET_PDEATHSIG = 1


# --- MessagePack ---------------------------------------------------------

def pack(value):
    """Encodes None, bool, int, float, str, list and dict as MessagePack."""
    if value is None:
        return b"\xc0"
    if value is True or value is False:
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 128:
            return bytes([value])
        return (b"\xcf" + struct.pack(">Q", value) if value >= 0
                else b"\xd3" + struct.pack(">q", value))
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return b"\xdb" + struct.pack(">I", len(data)) + data
    if isinstance(value, (list, tuple)):
        return (b"\xdd" + struct.pack(">I", len(value)) +
                b"".join(pack(item) for item in value))
    return (b"\xdf" + struct.pack(">I", len(value)) +
            b"".join(pack(k) + pack(v) for k, v in value.items()))


def unpack(data):
    """Decodes one MessagePack value."""
    return _unpack(data, 0)[0]


def _take(data, at, form):
    size = struct.calcsize(form)
    return struct.unpack(form, data[at:at + size])[0], at + size


def _text(data, at, size):
    return data[at:at + size].decode(), at + size


def _array(data, at, count):
    items = []
    for _ in range(count):
        item, at = _unpack(data, at)
        items.append(item)
    return items, at


def _map(data, at, count):
    items, at = _array(data, at, 2 * count)
    return dict(zip(items[::2], items[1::2])), at


_NUMBERS = {0xca: ">f", 0xcb: ">d", 0xcc: ">B", 0xcd: ">H", 0xce: ">I",
            0xcf: ">Q", 0xd0: ">b", 0xd1: ">h", 0xd2: ">i", 0xd3: ">q"}
_SIZED = {0xd9: (">B", _text), 0xda: (">H", _text), 0xdb: (">I", _text),
          0xdc: (">H", _array), 0xdd: (">I", _array),
          0xde: (">H", _map), 0xdf: (">I", _map)}


def _unpack(data, at):
    kind = data[at]
    at += 1
    if kind < 0x80:
        return kind, at
    if kind < 0x90:
        return _map(data, at, kind & 15)
    if kind < 0xa0:
        return _array(data, at, kind & 15)
    if kind < 0xc0:
        return _text(data, at, kind & 31)
    if kind >= 0xe0:
        return kind - 256, at
    if kind in _NUMBERS:
        return _take(data, at, _NUMBERS[kind])
    if kind in _SIZED:
        form, read = _SIZED[kind]
        size, at = _take(data, at, form)
        return read(data, at, size)
    return {0xc0: None, 0xc2: False, 0xc3: True}[kind], at


# --- the store -----------------------------------------------------------

class Item:
    def __init__(self, value, revision, created, lease):
        self.value, self.revision = value, revision
        self.created, self.lease = created, lease


class Store:
    """The platform's metadata store: keys, watches, conditions and leases."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.latency_s = 0.004
        self.mode = {}        # by instance: "ok", "silent", "reset", "busy"
        self.calls = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = Item(value, self.revision,
                    old.created if old else self.revision, lease)
        self.items[key] = item
        self._tell(key, item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._tell(key, None)

    def _tell(self, key, item):
        self.events.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key, item):
        return {"key": key, "value": base64.b64encode(item.value).decode(),
                "revision": item.revision, "created": item.created,
                "lease": item.lease}

    def expire_leases(self):
        now = time.monotonic()
        for lease in [k for k, v in self.leases.items() if v[1] <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v.lease == lease]:
            self.remove(key)

    async def handle(self, path, query, body):
        self.calls += 1
        self.expire_leases()
        await asyncio.sleep(self.latency_s)
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if not item:
                return 404, {}
            return 200, dict(self._row(query["key"], item),
                             **{"as-of": self.revision})
        if path == "/-/kv-range":
            return self._range(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._transaction(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttl-ms"])
            self.leases[self.next_lease] = [
                ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl-ms": int(lease[0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        rows = [self._row(k, self.items[k]) for k in keys[:500]]
        return 200, {"items": rows, "truncated": len(keys) > 500,
                     "as-of": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = []
            for revision, key, item in reversed(self.events):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    rows.append(self._row(key, item) if item else
                                {"key": key, "revision": revision,
                                 "deleted": True})
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows[::-1], "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body):
        rows = []
        held = True
        for row in body.get("expect-rev", []):
            item = self.items.get(row["key"])
            held &= (item.revision if item else 0) == row["revision"]
            if item:
                rows.append(self._row(row["key"], item))
        if not held:
            return 412, {"items": rows}
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def serve(self, name, ip, port):
        """Serves one instance at an address of its own."""
        self.mode[name] = "ok"
        return await asyncio.start_server(
            lambda r, w: self._connection(name, r, w), ip, port)

    async def _connection(self, name, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *headers = head.split("\r\n")
            _, target, _ = line.split(" ")
            length = 0
            for header in headers:
                if header.lower().startswith("content-length:"):
                    length = int(header.split(":")[1])
            data = await reader.readexactly(length) if length else b""
            path, _, text = target.partition("?")
            query = dict(part.split("=", 1) for part in text.split("&")
                         if "=" in part)
            query = {k: re.sub("%([0-9A-Fa-f]{2})",
                               lambda m: chr(int(m.group(1), 16)), v)
                     for k, v in query.items()}
            if self.mode[name] == "silent":
                await asyncio.sleep(30)
                return
            if self.mode[name] == "reset":
                writer.transport.abort()
                return
            if self.mode[name] == "busy":
                status, answer = 503, {}
            else:
                status, answer = await self.handle(
                    path, query, unpack(data) if data else {})
            if self.mode[name] == "silent":
                await asyncio.sleep(30)
                return
            payload = pack(answer)
            writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: "
                          "application/msgpack\r\nConnection: close\r\n"
                          f"Content-Length: {len(payload)}\r\n\r\n").encode()
                         + payload)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


# --- packets -------------------------------------------------------------

def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow; addresses are (ip, port)."""

    def __init__(self, flags, src, dst, seq=0, ack=0, echo=0, data=b"",
                 total=0x5eed):
        self.flags, self.src, self.dst = flags, src, dst
        self.seq, self.ack, self.echo = seq & 0xffffffff, ack & 0xffffffff, echo
        self.data, self.sum = data, total

    def write(self):
        return HEAD.pack(self.flags, 0, self.sum, len(self.data), self.seq,
                         self.ack, self.echo, ip_number(self.dst[0]),
                         ip_number(self.src[0]), self.src[1],
                         self.dst[1]) + self.data

    @staticmethod
    def read(data):
        (flags, _, total, length, seq, ack, echo, dst, src, sport,
         dport) = HEAD.unpack(data[:HEAD.size])
        if length != len(data) - HEAD.size:
            return None
        return Packet(flags, (ip_text(src), sport), (ip_text(dst), dport), seq,
                      ack, echo, data[HEAD.size:], total)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.receive(data, address)

    def error_received(self, error):
        pass


# --- hosts ---------------------------------------------------------------

class Host:
    """One boot of a host."""

    def __init__(self, world, number, service, zone, slots=4, work_s=0.005,
                 cold_s=0.0, host_id=None, address=None):
        self.world, self.service, self.zone = world, service, zone
        self.id = host_id or "%010x" % random.getrandbits(40)
        self.address = address or (world.ip(2, 10 + number), world.host_port)
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.state, self.sequence = "ready", 0
        self.flows = {}
        self.opened = []      # (time, flow) of each opening packet taken
        self.alive = True
        self.name = "%s@%s" % (self.id, zone)

    async def start(self, tcp=True):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Udp(self._receive), local_addr=self.address)
        self.tcp = await asyncio.start_server(self._probe, *self.address)
        self.slot = asyncio.Semaphore(self.slots)
        self.beats = asyncio.ensure_future(self._beat())
        return self

    def entry(self):
        left = max(0.0, self.cold_until - time.monotonic())
        return {"service": self.service, "zone": self.zone,
                "address": "%s:%d" % self.address, "version": "v1",
                "slots": self.slots, "state": self.state,
                "cold-left-ms": int(left * 1000), "sequence": self.sequence,
                "born": self.born}

    def report(self):
        self.sequence += 1
        self.world.store.put("servers/i-" + self.id, pack(self.entry()))

    async def _beat(self):
        while self.alive:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        self.report()
        self.world.record("host %s drains" % self.name)

    def leave(self):
        self.stop()
        self.world.store.remove("servers/i-" + self.id)
        self.world.record("host %s has left" % self.name)

    def stop(self):
        self.alive = False
        self.beats.cancel()
        self.udp.close()
        self.tcp.close()

    async def _probe(self, reader, writer):
        try:
            head = await asyncio.wait_for(reader.read(1024), 2)
            if head:
                status = 200 if self.state == "ready" else 503
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n"
                             % status)
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()

    def _send(self, flow, flags, seq, ack, data=b""):
        key, echo = flow
        caller, service = key
        packet = Packet(flags, service, caller, seq, ack, echo, data)
        self.udp.sendto(packet.write(), (caller[0], self.world.packet_port))

    def _receive(self, data, _):
        if len(data) < 8 + HEAD.size or not self.alive:
            return
        wanted = struct.unpack(">Q", data[:8])[0]
        if wanted not in (0, int(self.id, 16)):
            return
        packet = Packet.read(data[8:])
        if not packet:
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(key, flow, packet)
        elif flow is None:
            self._send((key, packet.echo), RST, packet.ack, 0)
        else:
            self._continue(key, flow, packet)

    def _open(self, key, flow, packet):
        if flow is None:
            flow = {"seq": random.getrandbits(32), "next": packet.seq + 1,
                    "open": False, "state": "new"}
            self.flows[key] = flow
            self.opened.append((time.monotonic(), key))
            self.world.host_took_syn(self, key)
        flow["echo"] = packet.echo
        self._send((key, packet.echo), SYN | ACK, flow["seq"], flow["next"])

    def _continue(self, key, flow, packet):
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow["open"] and packet.ack != (flow["seq"] + 1) & 0xffffffff:
            self._send((key, packet.echo), RST, packet.ack, 0)
            return
        flow["open"] = True
        flow["echo"] = packet.echo
        if packet.data and flow["state"] == "new":
            flow["state"] = "running"
            flow["next"] = packet.seq + len(packet.data)
            asyncio.ensure_future(self._run(key, flow, packet.data))
        elif packet.data and flow["state"] == "done":
            self._answer(key, flow)
        if packet.flags & FIN and flow["state"] == "done":
            self.flows.pop(key, None)

    async def _run(self, key, flow, data):
        async with self.slot:
            flow["request"] = data.decode(errors="replace").split()[1]
            self.world.host_runs(self, flow["request"])
            await asyncio.sleep(self.work_s)
        flow["state"] = "done"
        if self.alive:
            self._answer(key, flow)

    def _answer(self, key, flow):
        body = ("200 %s %s" % (flow["request"], self.id)).encode()
        self._send((key, flow["echo"]), ACK | FIN, flow["seq"] + 1,
                   flow["next"], body)


# --- requesters ----------------------------------------------------------

class Attempt:
    """A request attempt in a flow of its own."""

    SYN_AT = (0.2, 0.6)
    SYN_END = 1.4

    def __init__(self, group, request, route, budget_s):
        self.group, self.world = group, group.world
        self.request, self.route, self.budget_s = request, route, budget_s
        self.port = group.next_port()
        self.key = ((group.ip, self.port), route)
        self.seq = random.getrandbits(32)
        self.echo = 0
        self.state = "opening"
        self.begun = time.monotonic()
        self.timers = []

    def start(self):
        self.world.record("request %s sent on port %d" %
                          (self.request, self.port))
        self._send(SYN, 0)
        for i, at in enumerate(self.SYN_AT):
            self._later(at, self._repeat, i + 1)
        self._later(self.SYN_END, self._give_up_opening)
        self._later(self.budget_s, self.end, "no answer")

    def _later(self, delay, function, *arguments):
        loop = asyncio.get_running_loop()
        self.timers.append(loop.call_later(delay, function, *arguments))

    def _send(self, flags, ack, data=b""):
        packet = Packet(flags, self.key[0], self.key[1], self.seq, ack,
                        self.echo, data, 0xca11)
        self.group.send(self, packet)

    def _repeat(self, count):
        if self.state == "opening":
            self._send(SYN, count)

    def _give_up_opening(self):
        if self.state == "opening":
            self.end("not opened")

    def _resend(self, interval):
        if self.state == "open":
            self._send(ACK, self.peer, self.data)
            self._later(interval, self._resend, min(1.6, 2 * interval))

    def receive(self, packet):
        if packet.flags & RST:
            own = packet.sum == 0
            self.end(("reset by the system, " if own else "reset by a host, ")
                     + self.state)
            return
        if packet.flags & SYN:
            if self.state != "opening":
                return
            self.state = "open"
            self.seq += 1
            self.peer = packet.seq + 1
            self.echo = packet.echo
            self.data = ("POST %s" % self.request).encode()
            self._resend(0.2)
            return
        self.echo = packet.echo
        if self.state == "open" and packet.data:
            self.seq += len(self.data)
            self._send(ACK | FIN, packet.seq + len(packet.data))
            self.end("answered " + packet.data.decode())

    def end(self, outcome):
        if self.state == "ended":
            return
        self.state = "ended"
        for timer in self.timers:
            timer.cancel()
        self.group.attempts.pop(self.port, None)
        self.world.record("request %s ends: %s" % (self.request, outcome))
        self.world.ended(self, outcome)


class Requesters:
    """The requesters of one zone, and the routers between them and the
    instances."""

    def __init__(self, world, number, zone):
        self.world, self.zone = world, zone
        self.ip = world.ip(3, 10 + number)
        self.attempts = {}
        self.port = 1024

    def next_port(self):
        self.port = self.port + 1 if self.port < 60000 else 1024
        return self.port

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Udp(self._receive),
            local_addr=(self.ip, self.world.packet_port))
        return self

    def _receive(self, data, _):
        packet = Packet.read(data) if len(data) >= HEAD.size else None
        attempt = self.attempts.get(packet.dst[1]) if packet else None
        if attempt and packet.src == attempt.route:
            attempt.receive(packet)

    def send(self, attempt, packet):
        node = self.world.route_packet(self.zone, attempt.key)
        if node:
            self.udp.sendto(packet.write(), (node.ip, self.world.packet_port))

    def ask(self, route, budget_s=3.0):
        request = "r%d" % self.world.next_request()
        attempt = Attempt(self, request, route, budget_s)
        self.attempts[attempt.port] = attempt
        attempt.start()
        return attempt

    async def load(self, route, per_s, seconds, budget_s=3.0):
        """Asks at even intervals."""
        begin = time.monotonic()
        count = 0
        while time.monotonic() < begin + seconds:
            due = int((time.monotonic() - begin) * per_s)
            while count < due:
                self.ask(route, budget_s)
                count += 1
            await asyncio.sleep(0.002)


# --- instances -----------------------------------------------------------

def end_with_parent():
    """Called in the child: it is killed when this process ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Node:
    """A machine that runs `chervilmast steer`."""

    def __init__(self, world, number, zone):
        self.world, self.zone = world, zone
        self.name = "edge-%s-%d" % (zone, number + 1)
        self.ip = world.ip(1, 10 + number)
        self.store_port = world.store_port + number
        self.misses = 2
        self.process = None

    def settings(self):
        world = self.world
        with open(os.path.join(ROOT, "deploy", "settings.template")) as file:
            text = file.read()
        values = dict(world.bounds)
        values.update({
            "node-name": self.name, "zone": self.zone, "ip": self.ip,
            "listen.packet-addr": "%s:%d" % (self.ip, world.packet_port),
            "listen.ready-addr": "%s:%d" % (self.ip, world.ready_port),
            "listen.control": "%s:%d" % (self.ip, world.control_port),
            "platform.address": "%s:%d" % (world.ip(0, 1), self.store_port)})
        seeds = ",".join(json.dumps("%s:%d" % (n.ip, world.control_port))
                         for n in world.nodes[:3])
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}",
                      lambda m: seeds, text)
        text = re.sub(r"\{\{([\w.-]+)\|json\}\}",
                      lambda m: json.dumps(values[m.group(1)]), text)
        return re.sub(r"\{\{([\w.-]+)\}\}",
                      lambda m: str(values[m.group(1)]), text)

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["CHERVILMAST_CONFIG"] = path
        self.process = subprocess.Popen(
            self.world.command, cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env=environment,
            preexec_fn=end_with_parent)
        log.close()
        self.world.record("instance %s starts" % self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record("instance %s gets %s" %
                              (self.name, signal.Signals(number).name))

    async def watch(self):
        """GET /-/ready twice a second; out of rotation after two misses."""
        while True:
            begin = time.monotonic()
            self.misses = 0 if await self._is_ready() else self.misses + 1
            await asyncio.sleep(max(0, 0.5 - (time.monotonic() - begin)))

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    @property
    def in_rotation(self):
        return self.misses < 2


# --- the whole -----------------------------------------------------------

class World:
    """A small deployment on loopback."""

    def __init__(self, folder, trouble):
        self.case, self.trouble = folder, trouble
        self.folder = tempfile.mkdtemp(prefix="chervilmast-review-")
        self.lines = []
        self.begin = time.monotonic()
        self.nodes, self.hosts, self.groups = [], [], {}
        self.requests = 0
        self.outcomes = []
        self.runs = []
        self.net = self._free_net()
        self.command = self._command()
        self.bounds = {"bounds.drain-ms": 3000, "bounds.evacuate-ms": 5000,
                       "bounds.config-apply-ms": 3000,
                       "bounds.max-flow-s": 60, "bounds.grace-s": 6}
        self.store = Store(self)

    def _command(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        return run.split()

    def _free_net(self):
        for _ in range(200):
            net = "127.%d" % random.randint(20, 250)
            port = random.randrange(20000, 32000, 100)
            try:
                for offset in range(20):
                    with socket.socket() as probe:
                        probe.bind((net + ".0.1", port + offset))
            except OSError:
                continue
            self.packet_port, self.ready_port = port + 1, port + 2
            self.control_port, self.host_port = port + 3, port + 4
            self.store_port = port + 5
            return net
        raise OSError("no free ports")

    def ip(self, group, number):
        return "%s.%d.%d" % (self.net, group, number)

    def at(self):
        return time.monotonic() - self.begin

    def record(self, text):
        self.lines.append("%9.3f %s" % (self.at(), text))

    def next_request(self):
        self.requests += 1
        return self.requests

    def host_took_syn(self, host, key):
        self.record("host %s takes the opening packet of port %d" %
                    (host.name, key[0][1]))

    def host_runs(self, host, request):
        self.runs.append((time.monotonic(), host, request))
        self.record("host %s runs %s" % (host.name, request))

    def ended(self, attempt, outcome):
        self.outcomes.append((time.monotonic(), attempt, outcome))

    def route_packet(self, zone, key):
        """The instance that the platform's routers choose."""
        own = [n for n in self.nodes if n.zone == zone and n.process]
        used = [n for n in own if n.in_rotation]
        if not used:
            used = [n for n in self.nodes if n.in_rotation] or own
        elif 2 * len(used) < len(own):
            used = own
        return max(used, default=None, key=lambda n: hashlib.md5(
            repr((key, n.name)).encode()).digest())

    async def add_node(self, zone):
        node = Node(self, len(self.nodes), zone)
        self.nodes.append(node)
        node.server = await self.store.serve(node.name, self.ip(0, 1),
                                             node.store_port)
        node.start()
        node.watcher = asyncio.ensure_future(node.watch())
        return node

    async def add_host(self, service, zone, **more):
        host = Host(self, len(self.hosts), service, zone, **more)
        self.hosts.append(host)
        await host.start()
        self.record("host %s starts, cold for %.1f s" % (
            host.name, max(0, host.cold_until - time.monotonic())))
        return host

    async def add_requesters(self, zone):
        group = Requesters(self, len(self.groups), zone)
        self.groups[zone] = await group.start()
        return group

    def configure(self, version, routes, services):
        self.record("desired state %d" % version)
        self.store.put("op/config", pack({
            "version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}))

    async def until_ready(self, nodes, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(n.in_rotation for n in nodes):
                return
            await asyncio.sleep(0.02)
        raise OSError("the instances did not become ready")

    def finish(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        with open(os.path.join(self.case, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def cold_peak(self, host, span_s=1.0):
        """Most opening packets in any span in which the host was cold."""
        times = [t for t, _ in host.opened if t < host.cold_until]
        best, first = 0, 0
        for last, t in enumerate(times):
            while times[first] <= t - span_s:
                first += 1
            best = max(best, last - first + 1)
        return best


def route(name, ip, port, service, kind="idempotent", priority=2,
          timeout_ms=3000, target_ms=500):
    return {"name": name, "host": ip, "prefix": "/%d/" % port, "type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": target_ms,
            "priority": priority, "service": service, "max-attempts": 2}


def service(name, cold_per_s=0.0, cold_s=2.0):
    return {"name": name, "health-path": "/health", "max-conns": 2000,
            "protocol": "h1", "tls": False, "cold-start-s": cold_s,
            "cold-per-s": cold_per_s}


def main(play):
    """Runs a case: exits with 1 if the rule was broken, with 0 if it held, and
    with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    worlds = []

    async def run():
        worlds.append(World(folder, trouble))
        return await asyncio.wait_for(play(worlds[0]), RUN_LIMIT_S)

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    code = 2
    try:
        if not os.access(os.path.join(ROOT, "target", "chervilmast"), os.X_OK):
            raise OSError("target/chervilmast is missing")
        code = 1 if asyncio.new_event_loop().run_until_complete(run()) else 0
    except BaseException as error:
        print("could not run: %r" % error)
    for world in worlds:
        world.finish()
    # Tasks of the stand-ins are still pending; they need no cleanup.
    sys.stdout.flush()
    os._exit(code)
