"""A small deployment on loopback: the store, instances of the program, the
platform's router, hosts and requesters. One process, one event loop."""
import asyncio
import ctypes
import hashlib
import os
import random
import re
import json
import shutil
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from store import Store, HEARTBEAT_S  # noqa: E402
from wire import ACK, FIN, RST, SYN, Packet, decode, pack  # noqa: E402

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "../.."))
BOUNDS = {"drain-ms": 3000, "evacuate-ms": 5000, "config-apply-ms": 3000, "max-flow-s": 60,
          "grace-s": 6, "contact-ms": 4000, "cold-factor": 1.5, "cold-slack": 5}
RESTART_S = 0.5
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
DATA_COPIES_S = (0.2, 0.6, 1.4, 3.0)
IDLE_TIMEOUT_MS = 15000


RUN_LIMIT_S = 115  # start and end included
LIBC = ctypes.CDLL(None)


class CannotRun(Exception):
    pass


def end_with_script():
    """In a new process: it is killed when the script that started it ends in any way."""
    LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def fill_template(text, fields):
    """Fills in the settings template as DEPLOY.md says, as far as it is used."""
    def value(name, scope):
        if name == ".":
            return scope
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        # Names with dots may be whole keys of the fields.
        return fields.get(name, found)

    def plain(text, scope):
        def one(match):
            name, _, form = match.group(1).partition("|")
            found = value(name, scope)
            if form == "json":
                return json.dumps(found)
            return "" if found is None else str(found)
        return re.sub(r"\{\{([^#/^{}]+?)\}\}", one, text)

    def section(match):
        items = value(match.group(1), None) or []
        return "".join(plain(match.group(2).replace("{{,}}", "," if i + 1 < len(items) else ""), x)
                       for i, x in enumerate(items))
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return plain(text, None)


class Instance:
    """A machine with one process of the program."""

    def __init__(self, world, name, zone, index):
        self.world, self.name, self.zone = world, name, zone
        self.ip = world.ip(10 + world.zones.index(zone), 1 + index)
        self.process, self.wanted, self.misses = None, True, 2
        self.door = None

    async def prepare(self):
        self.door = await self.world.store.door(self.name)
        template = open(os.path.join(ROOT, "deploy/settings.template")).read()
        ports = self.world.ports
        seeds = ["%s:%d" % (i.ip, ports["control"]) for i in self.world.instances[:3]]
        fields = {"node-name": self.name, "zone": self.zone, "ip": self.ip,
                  "listen.packet-addr": "%s:%d" % (self.ip, ports["packet"]),
                  "listen.ready-addr": "%s:%d" % (self.ip, ports["ready"]),
                  "listen.control": "%s:%d" % (self.ip, ports["control"]), "seeds": seeds,
                  "platform.address": "127.0.0.1:%d" % self.door.port}
        fields.update({"bounds." + k: v for k, v in BOUNDS.items()})
        self.settings = os.path.join(self.world.folder, self.name + ".json")
        with open(self.settings, "w") as file:
            file.write(fill_template(template, fields))

    async def start(self):
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CHERVILMAST_CONFIG"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/chervilmast"), "steer", cwd=ROOT, env=env,
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            preexec_fn=end_with_script)
        log.close()
        self.world.note("start instance=%s pid=%d", self.name, self.process.pid)

    async def keep(self):
        """Restarts the process when it ends, as the platform does."""
        while True:
            await self.start()
            code = await self.process.wait()
            self.world.note("end instance=%s code=%s", self.name, code)
            if not self.wanted:
                return
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        self.process.send_signal(number)
        self.world.note("signal instance=%s signal=%s", self.name, signal.Signals(number).name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ports["ready"]), 0.4)
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.4)
                return b" 200 " in line
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return False

    async def check(self):
        while True:
            begin = self.world.now()
            ready = await self.is_ready()
            before = self.misses < 2
            self.misses = 0 if ready else self.misses + 1
            if before != (self.misses < 2):
                self.world.note("rotation instance=%s in=%d", self.name, not before)
            await asyncio.sleep(max(begin + 0.5 - self.world.now(), 0.05))

    async def metrics(self):
        """Returns the text of the instance's metrics page, or an empty one."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, 9100)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            text = (await reader.read()).decode()
            writer.close()
            return text
        except OSError:
            return ""


class HostFlow:
    __slots__ = ("caller", "sport", "seq", "next_seq", "got", "echo", "open", "sent", "opened_s",
                 "route", "syn_sent_s")


class Host(asyncio.DatagramProtocol):
    """A host of a service, from one start to its end."""

    def __init__(self, world, service, zone, ip, ident=None, work_s=0.05, cold_s=0.0, slots=2,
                 queue=8):
        self.world, self.service, self.zone, self.ip = world, service, zone, ip
        self.ident = ident or "i-%08x" % random.getrandbits(31)
        self.prefix = int(self.ident.split("-")[1], 16).to_bytes(8, "big")
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.state, self.sequence, self.alive = "ready", 0, False
        self.cold_s, self.cold_until, self.cold_windows = cold_s, 0.0, []
        self.flows, self.running, self.waiting = {}, 0, []
        self.reports = True  # whether it reaches the store
        self.taken = []  # opening packets: when sent and arrived, through which machine, port
        self.transport, self.listener, self.tasks = None, None, []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.started_s = self.world.now()
        self.born = int(time.time() * 1000)
        self.become_cold(self.cold_s)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.ports["host"]))
        self.listener = await asyncio.start_server(self.health, self.ip, self.world.ports["host"])
        self.alive = True
        self.world.hosts.append(self)
        self.world.note("host start id=%s service=%s zone=%s at=%s cold_s=%s", self.ident,
                        self.service, self.zone, self.ip, self.cold_s)
        self.write_entry()
        self.tasks.append(asyncio.create_task(self.beat()))

    def become_cold(self, cold_s):
        if cold_s:
            self.cold_until = self.world.now() + cold_s
            self.cold_windows.append((self.world.now(), self.cold_until))

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        writer.close()

    def write_entry(self):
        if not self.reports or self.world.store.is_down:
            return
        self.sequence += 1
        left = max(0, int((self.cold_until - self.world.now()) * 1000))
        self.world.store.put("servers/" + self.ident, pack({
            "service": self.service, "address": "%s:%d" % (self.ip, self.world.ports["host"]),
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "cold-left-ms": left, "sequence": self.sequence, "born": self.born}))
        self.reported_s = self.world.now()

    async def beat(self):
        """Heartbeats; the store removes the entry after three intervals of silence."""
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive:
                self.write_entry()

    def drain(self):
        self.state = "draining"
        self.write_entry()
        self.world.note("host draining id=%s", self.ident)

    def crash(self):
        """The process ends without a word; its flows are gone."""
        self.alive = False
        self.transport.abort()
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        self.flows.clear()
        self.ended_s = self.world.now()
        self.world.note("host crash id=%s", self.ident)

    # Packets.

    def datagram_received(self, data, address):
        packet = decode(data[8:])
        if not self.alive or packet is None or data[:8] not in (self.prefix, bytes(8)):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self.world.breaks.append("UNASKED: SYN+ACK at a host")
                return
            self.syn(key, flow, packet)
        elif flow is None:
            self.send(key, RST, packet.ack, 0, packet.echo)
        else:
            self.segment(key, flow, packet)

    def syn(self, key, flow, packet):
        if flow is None:
            flow = HostFlow()
            flow.seq, flow.got = random.getrandbits(32), (packet.seq + 1) & 0xFFFFFFFF
            flow.next_seq, flow.open, flow.sent = (flow.seq + 1) & 0xFFFFFFFF, False, {}
            flow.opened_s = None
            self.flows[key] = flow
            sent = self.world.syn_sent.get((key[1], packet.ack))
            now = self.world.now()
            via = self.world.syn_via.get((key[1], packet.ack))
            self.taken.append((sent, now, via, key[1]))
            self.world.note("syn host=%s sport=%d copy=%d sent=%.3f via=%s", self.ident, key[1],
                            packet.ack, sent if sent is not None else -1, via)
        flow.echo = packet.echo
        self.send(key, SYN | ACK, flow.seq, flow.got, flow.echo)

    def segment(self, key, flow, packet):
        flow.echo = packet.echo
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow.open:
            if packet.ack != (flow.seq + 1) & 0xFFFFFFFF:
                self.send(key, RST, packet.ack, 0, packet.echo)
                return
            flow.open, flow.opened_s = True, self.world.now()
            self.world.flow_opened(key, self)
        if packet.data or packet.flags & FIN:
            if packet.seq == flow.got:
                flow.got = (flow.got + len(packet.data) + (1 if packet.flags & FIN else 0)) & 0xFFFFFFFF
                if packet.data:
                    self.request(key, flow, packet.data)
            self.send(key, ACK, flow.next_seq, flow.got, flow.echo)
            if packet.flags & FIN:
                self.flows.pop(key, None)

    def send(self, key, flags, seq, ack, echo, data=b""):
        caller, sport, service_ip, service_port = key
        packet = Packet(flags, seq, ack, echo, service_ip, service_port, caller, sport, data)
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(packet.encode(), (caller, self.world.ports["packet"]))

    # Requests.

    def request(self, key, flow, data):
        ident = data.decode("latin1").split("Request-Id: ")[1].split("\r\n")[0]
        if self.running < self.slots:
            self.tasks.append(asyncio.create_task(self.run(key, ident)))
        elif len(self.waiting) < self.queue:
            self.waiting.append((key, ident))
        else:
            self.answer(key, "503", ident, "Not-Executed: 1\r\n")

    async def run(self, key, ident):
        self.running += 1
        self.world.note("run host=%s request=%s", self.ident, ident)
        self.world.runs.setdefault(ident, []).append(self.ident)
        work_s = self.work_s * (1.6 if self.world.now() < self.cold_until else 1.0)
        await asyncio.sleep(work_s)
        self.running -= 1
        self.answer(key, "200", ident, "Server-Seal: %s\r\n" % self.ident)
        self.next()

    def next(self):
        while self.waiting and self.running < self.slots:
            key, ident = self.waiting.pop(0)
            if key in self.flows:
                self.tasks.append(asyncio.create_task(self.run(key, ident)))
                return

    def answer(self, key, status, ident, extra):
        flow = self.flows.get(key)
        if flow is None or not self.alive:
            return
        body = "done %s " % ident
        data = ("HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s" %
                (status, extra, len(body) + 400, body + "x" * 400)).encode()
        self.send(key, ACK, flow.next_seq, flow.got, flow.echo, data)
        flow.next_seq = (flow.next_seq + len(data)) & 0xFFFFFFFF


class Flow:
    """A requester's end of a flow. Requests go over it one after the other."""

    def __init__(self, world, zone, route, sport):
        self.world, self.zone, self.route, self.sport = world, zone, route, sport
        self.key = (world.caller_ip(zone), sport, route[0], route[1])
        self.seq, self.echo, self.ack = random.getrandbits(32), 0, 0
        self.state, self.host, self.waiting, self.token = "opening", None, None, None
        self.opened = asyncio.get_running_loop().create_future()
        self.reset_by = None

    async def open(self):
        """Returns whether the flow opened; if not, no run has taken place."""
        self.world.flows[self.sport] = self
        begin = self.world.now()
        isn, self.seq = self.seq, (self.seq + 1) & 0xFFFFFFFF
        for copy, end in enumerate(SYN_COPIES_S + (SYN_TIMEOUT_S,)):
            if self.state != "opening":
                break
            self.world.syn_sent[(self.sport, copy)] = self.world.now()
            self.world.syn_via[(self.sport, copy)] = self.send(SYN, isn, copy)
            try:
                await asyncio.wait_for(asyncio.shield(self.opened),
                                       max(begin + end - self.world.now(), 0.001))
            except asyncio.TimeoutError:
                pass
        if self.state == "opening":
            self.state = "failed"
        return self.state == "open"

    def send(self, flags, seq, ack, data=b""):
        packet = Packet(flags, seq, ack, self.echo, self.key[0], self.sport, self.key[2],
                        self.key[3], data)
        return self.world.route_packet(self, packet)

    def received(self, packet, sender):
        if packet.flags & RST:
            self.reset(packet, sender)
            return
        if self.state == "opening" and packet.flags & SYN:
            self.state, self.echo = "open", packet.echo
            self.ack = (packet.seq + 1) & 0xFFFFFFFF
            self.host = sender[0]
            self.send(ACK, self.seq, self.ack)
            self.opened.set_result(True)
            return
        if self.state != "open" or packet.flags & SYN or sender[0] != self.host:
            return
        self.echo = packet.echo
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            if self.waiting and not self.waiting.done():
                self.waiting.set_result(packet.data)
            else:
                self.world.breaks.append("MIXED: data on a flow with no request waiting")
        if packet.data:
            self.send(ACK, self.seq, self.ack)

    def reset(self, packet, sender):
        by_system = packet.sum == 0
        if self.state == "opening":
            self.state = "failed"
            self.reset_by = "system" if by_system else "host"
            self.opened.set_result(False)
        elif self.state == "open":
            self.state = "reset"
            self.reset_by = "system" if by_system else "host"
            self.world.flow_reset(self, by_system, sender)
            if self.waiting and not self.waiting.done():
                self.waiting.set_result(None)

    async def request(self, ident, timeout_s=2.5):
        """Sends a request; returns the answer, or None."""
        data = ("POST /p HTTP/1.1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n" % ident).encode()
        self.waiting = asyncio.get_running_loop().create_future()
        begin = self.world.now()
        seq, self.seq = self.seq, (self.seq + len(data)) & 0xFFFFFFFF
        self.world.note("request id=%s sport=%d", ident, self.sport)
        for end in DATA_COPIES_S:
            self.send(ACK, seq, self.ack, data)
            try:
                await asyncio.wait_for(asyncio.shield(self.waiting),
                                       max(begin + min(end, timeout_s) - self.world.now(), 0.001))
                break
            except asyncio.TimeoutError:
                if self.world.now() >= begin + timeout_s:
                    break
        answer = self.waiting.result() if self.waiting.done() else None
        self.waiting = None
        self.world.note("answer id=%s status=%s", ident,
                        answer.split(b" ")[1].decode() if answer else self.reset_by or "none")
        if answer and ("done %s " % ident).encode() not in answer:
            self.world.breaks.append("MIXED: foreign answer to " + ident)
        return answer

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK, self.seq, self.ack)
            self.state = "closed"
        self.world.flows.pop(self.sport, None)


class CallerSocket(asyncio.DatagramProtocol):
    def __init__(self, world):
        self.world = world

    def datagram_received(self, data, sender):
        packet = decode(data)
        flow = self.world.flows.get(packet.dport) if packet else None
        if flow and (packet.src, packet.sport) == flow.route:
            flow.received(packet, sender)


class World:
    def __init__(self, folder, zones, per_zone):
        self.zones = list(zones)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)
        self.begin = time.monotonic()
        self.ports, self.net = self.free_net()
        self.hosts, self.flows, self.syn_sent, self.syn_via, self.runs = [], {}, {}, {}, {}
        self.breaks, self.resets, self.opened_at = [], [], {}
        self.next_sport, self.next_request, self.tasks = 20000, 0, []
        self.store = Store(self.now)
        self.store.note = self.note
        self.instances = []
        for zone, count in zip(self.zones, per_zone):
            for index in range(count):
                self.instances.append(Instance(self, "edge-%s-%d" % (zone, index + 1), zone, index))
        self.callers, self.version = {}, 0  # sockets of requesters; last desired state

    def now(self):
        return time.monotonic() - self.begin

    def note(self, form, *values):
        self.record.write("%9.3f %s\n" % (self.now(), form % values))

    def ip(self, group, host):
        return "127.%d.%d.%d" % (self.net, group, host)

    def caller_ip(self, zone):
        return self.ip(200 + self.zones.index(zone), 1)

    @staticmethod
    def free_net():
        for _ in range(50):
            net = random.randint(20, 240)
            base = random.randint(21000, 29000)
            ports = {"packet": base, "ready": base + 1, "control": base + 2, "host": base + 3}
            try:
                for group in (10, 11, 12, 100, 101, 102, 200, 201, 202):
                    for kind, port in ((socket.SOCK_DGRAM, ports["packet"]),
                                       (socket.SOCK_STREAM, ports["ready"]),
                                       (socket.SOCK_STREAM, ports["control"]),
                                       (socket.SOCK_STREAM, 9100),
                                       (socket.SOCK_DGRAM, ports["host"])):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("127.%d.%d.1" % (net, group), port))
                return ports, net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def host_ip(self, zone, index):
        return self.ip(100 + self.zones.index(zone), 1 + index)

    def put_config(self, routes, services):
        """routes: (host, port, service, type); services: (name, cold-start-s, cold-per-s)."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": [{"name": "r-%d" % i, "host": h, "prefix": "/%d/" % p, "type": t,
                        "timeout-ms": 3000, "target-latency-ms": 500, "priority": 2, "service": s,
                        "max-attempts": 2} for i, (h, p, s, t) in enumerate(routes)],
            "services": [{"name": n, "health-path": "/health", "max-conns": 2000, "protocol": "h1",
                          "tls": False, "cold-start-s": cs, "cold-per-s": cp}
                         for n, cs, cp in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": IDLE_TIMEOUT_MS}}
        self.store.put("op/config", pack(config))
        self.note("operator desired state version=%d acknowledged", self.version)
        return self.now()

    async def start(self):
        if not os.access(os.path.join(ROOT, "target/chervilmast"), os.X_OK):
            raise CannotRun("target/chervilmast is not built")
        loop = asyncio.get_running_loop()
        self.tasks.append(asyncio.create_task(self.store.run()))
        self.tasks.append(asyncio.create_task(self.expire_entries()))
        for zone in self.zones:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: CallerSocket(self), local_addr=(self.caller_ip(zone), self.ports["packet"]))
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            self.callers[zone] = transport
        for instance in self.instances:
            await instance.prepare()
        for instance in self.instances:
            self.tasks.append(asyncio.create_task(instance.keep()))
        await asyncio.sleep(0.3)
        for instance in self.instances:
            self.tasks.append(asyncio.create_task(instance.check()))

    async def until_ready(self, limit_s=15):
        end = self.now() + limit_s
        while any(i.misses >= 2 for i in self.instances):
            if self.now() > end:
                raise CannotRun("instances did not become ready")
            await asyncio.sleep(0.1)

    async def expire_entries(self):
        """The store removes an entry after three heartbeat intervals of silence."""
        while True:
            for host in [] if self.store.is_down else self.hosts:
                key = "servers/" + host.ident
                newest = max((h for h in self.hosts if h.ident == host.ident),
                             key=lambda h: h.started_s)
                if (host is newest and key in self.store.items and
                        self.now() - host.reported_s > 3 * HEARTBEAT_S):
                    self.store.remove(key)
                    host.gone_s = self.now()
                    self.note("store entry of host id=%s removed", host.ident)
            await asyncio.sleep(0.05)

    def store_down(self, mode):
        """The store is down for all, hosts too; leases and entries pause."""
        self.note("store down mode=%s", mode)
        self.store.stop()
        for instance in self.instances:
            instance.door.set(mode)

    def store_up(self):
        self.note("store up")
        paused_s = self.store.go_on()
        for host in self.hosts:
            host.reported_s += paused_s
        for instance in self.instances:
            instance.door.set("ok")

    # The platform's router.

    def choose(self, flow):
        local = [i for i in self.instances if i.zone == flow.zone]
        ready = [i for i in local if i.misses < 2]
        if not ready:
            ready = [i for i in self.instances if i.misses < 2] or local
        elif 2 * len(ready) < len(local):
            ready = local
        text = "%s:%d>%s:%d" % flow.key
        return max(ready, key=lambda i: hashlib.md5((text + i.name).encode()).digest())

    def route_packet(self, flow, packet):
        instance = self.choose(flow)
        self.callers[flow.zone].sendto(packet.encode(), (instance.ip, self.ports["packet"]))
        return instance.name

    # Requesters.

    def new_flow(self, zone, route):
        self.next_sport = 20000 + (self.next_sport - 20000 + 1) % 40000
        return Flow(self, zone, route, self.next_sport)

    def new_id(self):
        self.next_request += 1
        return "q%d" % self.next_request

    async def one_request(self, zone, route):
        """A request on a flow of its own; one attempt."""
        flow = self.new_flow(zone, route)
        answer = None
        if await flow.open():
            answer = await flow.request(self.new_id())
        flow.close()
        return answer

    async def load(self, zone, route, per_s):
        """Open-loop requests at a rate."""
        pending = set()
        due = self.now()
        while True:
            due += random.expovariate(per_s)
            await asyncio.sleep(max(due - self.now(), 0))
            task = asyncio.create_task(self.one_request(zone, route))
            pending.add(task)
            task.add_done_callback(pending.discard)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    # What the ends of flows see.

    def flow_opened(self, key, host):
        self.opened_at[key] = (host, self.now())

    def flow_reset(self, flow, by_system, sender):
        host, opened = self.opened_at.get(flow.key, (None, None))
        lives = bool(host and host.alive and flow.key in host.flows)
        self.resets.append((flow, by_system, host, lives, self.now()))
        self.note("reset sport=%d by=%s host=%s host_holds_flow=%d open_for=%.3f", flow.sport,
                  "system" if by_system else sender[0], host.ident if host else None, lives,
                  self.now() - opened if opened else -1)

    async def finish(self):
        for instance in self.instances:
            instance.wanted = False
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                try:
                    instance.process.kill()
                except ProcessLookupError:
                    pass
                await instance.process.wait()
        for host in self.hosts:
            if host.alive:
                host.crash()
        self.record.flush()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def max_in_second(host):
    """Most requests that a host got, sent and arrived inside one second while it was cold."""
    most, at = 0, 0.0
    times = [(s, a) for s, a, _, _ in host.taken if s is not None and
             any(b <= s and a <= e for b, e in host.cold_windows)]
    for start, _ in times:
        count = sum(1 for s, a in times if s >= start and a < start + 1.0)
        if count > most:
            most, at = count, start
    return most, at


def main(folder, build, play):
    """Runs a case; exit code 0: the rule held, 1: broken, 2: could not run."""
    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        world = build(folder)
        try:
            async def case():
                await asyncio.wait_for(world.start(), 20)
                return await play(world, os.environ.get("TROUBLE", "1") != "0")
            broken = await asyncio.wait_for(case(), RUN_LIMIT_S)
            if world.breaks:
                world.note("other breaks: %s", world.breaks[:5])
            return 1 if broken else 0
        finally:
            await world.finish()
    code = 2  # also for a fault of the script itself
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print("could not run: %r" % error, file=sys.stderr)
    sys.exit(code)
