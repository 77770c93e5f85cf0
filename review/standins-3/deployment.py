"""A small deployment on loopback: stand-ins of the users' platform, searchers
and clients, written from the users' pages, and the project's own instances.

The instances are started with the command of deploy/system.toml and with
settings that are rendered from deploy/instance.ini. Everything runs on the real
clock. Only processes that this module started are signalled.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "greengaged")
TEMPLATE = os.path.join(ROOT, "deploy", "instance.ini")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
OBJECTS = "/greengageusher/objects/"
P = "X-Greengageusher-"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


TAKEN = set()


def free_ports(count):
    """Ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        if port in TAKEN:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN.add(port)
        ports.append(port)
    return ports


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def say(self, text):
        self.add(text)
        print("%8.3f %s" % (self.now(), text), flush=True)


# ---- HTTP/1.1 -------------------------------------------------------------

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer(status, headers=(), body=b""):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


# ---- the platform's store -------------------------------------------------

class Store:
    """Objects by kind and name, as the page about the store says. Every machine
    reaches it at a port of its own, so that it can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.revision = 10
        self.events = []
        self.refused = set()      # Machines that get 503.
        self.lose_late = None     # (machine, method, kind, name) -> seconds or None
        self.writes = 0
        self.lost_writes = 0
        self.stale_s = 0          # Age of what reads with serializable=1 return.
        self.history = []         # (time, kind, objects of the kind)
        self.servers = []

    async def listen(self, machine, port):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)
        self.servers.append(await asyncio.start_server(serve, "127.0.0.1", port))

    async def put(self, kind, name, spec):
        self.revision += 1
        old = self.kinds.setdefault(kind, {}).get(name)
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": old["meta"]["created"] if old else self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.kinds[kind][name] = item
        await self.note(kind, item, False)
        return item

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        gone = dict(item, meta=dict(item["meta"], revision=self.revision))
        await self.note(kind, gone, True)
        return True

    async def note(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.history.append((time.monotonic(), self.revision, kind, dict(self.kinds[kind])))

    async def serve(self, machine, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target = line.split(" ")[:2]
                reply = await self.handle(machine, method, target, body)
                if reply is None:  # A lost answer: nothing further comes.
                    await reader.read()
                    return
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    @staticmethod
    def reply(status, value):
        return answer(status, [("Content-Type", "application/json"), ("Store-Era", "1")],
                      json.dumps(value).encode())

    async def handle(self, machine, method, target, body):
        if machine in self.refused:
            return self.reply(503, {})
        path, _, query = target.partition("?")
        if not path.startswith(OBJECTS):
            return self.reply(404, {})
        kind, _, name = path[len(OBJECTS):].partition("/")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if method == "GET":
            if "watch" in args:
                return await self.watch(machine, kind, int(args["watch"]),
                                        int(args.get("wait_ms", 0)) / 1000)
            return self.list(kind, name, args)
        self.writes += 1
        if method == "POST":
            name = json.loads(body)["meta"]["name"]
        late = self.lose_late(machine, method, kind, name) if self.lose_late else None
        if late is not None:
            self.lost_writes += 1
            self.record.say("store: the answer to %s %s/%s of %s is lost; done %.1f s later"
                            % (method, kind, name, machine, late))
            asyncio.get_running_loop().call_later(
                late, lambda: asyncio.ensure_future(self.late_write(method, kind, name, body)))
            return None
        return await self.write(method, kind, name, body)

    async def late_write(self, method, kind, name, body):
        await self.write(method, kind, name, body)
        self.record.say("store: %s %s/%s is done now" % (method, kind, name))

    async def write(self, method, kind, name, body):
        known = self.kinds.get(kind, {}).get(name)
        self.record.add("store: %s %s/%s" % (method, kind, name))
        if method == "POST":
            if known:
                return self.reply(409, known)
            return self.reply(201, await self.put(kind, name, json.loads(body).get("spec")))
        if known is None:
            return self.reply(404, {})
        if method == "PUT":
            return self.reply(200, await self.put(kind, name, json.loads(body).get("spec")))
        await self.remove(kind, name)
        return self.reply(200, known)

    def list(self, kind, name, args):
        items = self.kinds.get(kind, {})
        if name:
            return self.reply(200, items[name]) if name in items else self.reply(404, {})
        after = args.get("after", "")
        revision = self.revision
        if args.get("serializable") == "1" and self.stale_s > 0:
            until = time.monotonic() - self.stale_s
            items, revision = {}, 10
            for at, then, of, objects in self.history:
                if at > until:
                    break
                revision = then
                items = objects if of == kind else items
        return self.reply(200, {"items": [items[n] for n in sorted(items) if n > after],
                                "more": False, "as_of": revision})

    async def watch(self, machine, kind, revision, wait):
        end = time.monotonic() + wait
        while True:
            events = [e for r, k, e in self.events if k == kind and r > revision]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {"events": events, "as_of": self.revision})
            await asyncio.sleep(0.02)
            if machine in self.refused:
                return self.reply(503, {})


# ---- who is at the other end of a connection ------------------------------

def socket_inode(local_port, remote_port):
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if (int(fields[1].split(":")[1], 16) == local_port
                    and int(fields[2].split(":")[1], 16) == remote_port):
                return fields[9]
    return None


def owner_of(pids, local_port, remote_port):
    """Stands in for the address of the sender, which is 127.0.0.1 for all here:
    returns the name of the started process that has the connection."""
    inode = socket_inode(local_port, remote_port)
    for name, pid in pids.items():
        try:
            for fd in os.listdir("/proc/%d/fd" % pid):
                if os.readlink("/proc/%d/fd/%s" % (pid, fd)) == "socket:[%s]" % inode:
                    return name
        except OSError:
            continue
    return None


# ---- searchers ------------------------------------------------------------

class Searcher:
    """Behaves as the page about searchers says. `work` may replace what it does
    with a request that it accepts."""

    def __init__(self, deployment, sid, service, zone, slots=2):
        self.deployment, self.id, self.service, self.zone = deployment, sid, service, zone
        self.slots, self.state, self.sequence = slots, "ready", 0
        self.born = int(time.time() * 1000)
        self.work_s = 0.01
        self.work = self.run
        self.sends_heartbeats = True
        self.beaten = time.monotonic()
        self.cut_off = set()      # Machines whose connections are reset.
        self.connections = []
        self.arrivals = []        # (time, request id, machine, target, body)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()

    async def beat(self):
        self.sequence += 1
        self.beaten = time.monotonic()
        await self.deployment.store.put("servers", self.id, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "max_concurrency": self.slots,
            "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence,
            "born": self.born})

    def cut(self, machine):
        self.cut_off.add(machine)
        for owner, writer in self.connections:
            if owner == machine:
                writer.transport.abort()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        owner = owner_of(self.deployment.pids(), peer, self.port)
        self.connections.append((owner, writer))
        try:
            while owner not in self.cut_off:
                line, headers, body = await read_message(reader)
                if owner in self.cut_off:
                    break
                reply = await self.handle(owner, line, headers, body)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            if owner in self.cut_off:
                writer.transport.abort()
            self.connections.remove((owner, writer))
            writer.close()

    async def handle(self, owner, line, headers, body):
        method, target = line.split(" ")[:2]
        if target == "/healthz":
            return answer(200, [(P + "Instance-Id", self.id)])
        expected = headers.get((P + "Expected-Instance").lower())
        rid = headers.get((P + "Request-Id").lower(), "")
        if expected not in (None, self.id):
            return answer(421, [(P + "Instance-Id", self.id)])
        record = self.deployment.record
        self.arrivals.append((record.now(), rid, owner, target, body))
        record.add("searcher %s: %s %s of %s from %s" % (self.id, method, target, rid, owner))
        status, more, content = await self.work(rid, owner)
        return answer(status, [(P + "Request-Id", rid)] + more, content)

    def stamp(self, rid):
        return "%s.%s" % (self.id, rid)

    async def run(self, rid, owner):
        await asyncio.sleep(self.work_s)
        return 200, [(P + "Server-Stamp", self.stamp(rid))], (self.id * 16)[:16].encode()


# ---- instances ------------------------------------------------------------

def render(text, scopes):
    """The templates of the page about settings: values and sections."""
    def value(name):
        if name in (".", "@"):
            return scopes[-1].get(name)
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                if isinstance(found, list):
                    found = found[int(part)] if int(part) < len(found) else None
                elif isinstance(found, dict):
                    found = found.get(part)
                else:
                    found = None
            if found is not None:
                return found
        return None

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, inner = match.groups()
        found = value(name)
        if kind == "^":
            return render(inner, scopes) if not found and found != 0 else ""
        if not found and found != 0:
            return ""
        if isinstance(found, dict):
            return "".join(render(inner, scopes + [{"@": k, ".": v}]) for k, v in found.items())
        return render(inner, scopes + [{".": found}])

    text = section.sub(expand, text)

    def show(match):
        found = value(match.group(1))
        if found is None:
            return ""
        return ("true" if found else "false") if isinstance(found, bool) else str(found)
    return re.sub(r"\{\{([^}#^/]+)\}\}", show, text)


BOUNDS = {"drain_ms": 4000, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_window_s": 10,
          "budget_slack": 58, "stable_window_ms": 5000, "config_apply_ms": 4000}


class Instance:
    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.front, self.ready, self.metrics, self.peer, self.store = free_ports(5)
        self.process = None
        self.first = True
        self.started = 0.0
        self.in_rotation = False

    def start(self):
        d = self.deployment
        fields = {"node_name": self.name, "zone": self.zone, "ip": "127.0.0.1",
                  "region": d.zones[self.zone], "zones": d.zones, "bootstrap": self.first,
                  "limits": {"cpu_share": 0.25},
                  "listen_addrs": {"front": "127.0.0.1:%d" % self.front,
                                   "ready": "127.0.0.1:%d" % self.ready},
                  "internal_ports": [self.metrics, self.peer],
                  "platform": {"address": "127.0.0.1:%d" % self.store},
                  "bounds": d.bounds}
        self.first = False
        path = os.path.join(d.folder, self.name + ".conf")
        with open(TEMPLATE, encoding="utf-8") as template:
            text = render(template.read(), [fields])
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        log = open(os.path.join(d.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", path], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                         "GREENGAGEUSHER_SETTINGS": path})
        log.close()
        d.record.add("instance %s starts" % self.name)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def restart(self):
        """SIGTERM, and a new start a moment after the process has ended."""
        self.deployment.record.say("SIGTERM to %s" % self.name)
        self.process.send_signal(signal.SIGTERM)
        await self.ended()
        await asyncio.sleep(0.3)
        self.started = self.deployment.record.now()
        self.start()
        self.deployment.record.say("%s starts again" % self.name)

    async def is_ready(self):
        try:
            status, _, _ = await http(self.ready, "GET", "/greengageusher/readyz", {}, b"", 1)
            return status == 200
        except OSError:
            return False

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s does not get ready" % self.name)

    def log(self):
        with open(os.path.join(self.deployment.folder, self.name + ".log"),
                  encoding="utf-8", errors="replace") as log:
            return log.read()


async def http(port, method, target, headers, body, timeout):
    """One request on a new connection. Returns status, headers and body; status 0
    without a complete answer."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection("127.0.0.1", port), 1)
    try:
        head = "%s %s HTTP/1.1\r\nConnection: close\r\n" % (method, target)
        for name, value in headers.items():
            head += "%s: %s\r\n" % (name, value)
        if body:
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        line, got, content = await asyncio.wait_for(read_message(reader), timeout)
        return int(line.split(" ")[1]), got, content
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b""
    finally:
        writer.close()


# ---- the deployment -------------------------------------------------------

class Deployment:
    def __init__(self, folder, zones, bounds=None):
        self.record = Record(folder)
        self.zones = zones
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="review-case-")
        self.store = Store(self.record)
        self.searchers = []
        self.instances = {}
        self.tasks = []
        self.requests = 0

    def pids(self):
        return {i.name: i.process.pid for i in self.instances.values()
                if i.process and i.process.poll() is None}

    async def searcher(self, sid, service, zone, slots=2):
        searcher = Searcher(self, sid, service, zone, slots)
        await searcher.start()
        self.searchers.append(searcher)
        return searcher

    async def instance(self, name, zone):
        instance = Instance(self, name, zone)
        self.instances[name] = instance
        await self.store.listen(name, instance.store)
        return instance

    async def configure(self, version, routes, services, **more):
        spec = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        spec.update(more)
        await self.store.put("config", "main", spec)
        self.record.say("operator: version %d is acknowledged" % version)

    async def beats(self):
        """Heartbeats, and the end of entries after three of them are missing."""
        while True:
            for searcher in self.searchers:
                if searcher.sends_heartbeats:
                    if time.monotonic() - searcher.beaten >= HEARTBEAT_S:
                        await searcher.beat()
                elif time.monotonic() - searcher.beaten >= 3 * HEARTBEAT_S:
                    if await self.store.remove("servers", searcher.id):
                        self.record.say("store: the entry of %s has lapsed" % searcher.id)
            await asyncio.sleep(0.1)

    async def rotation(self, instance):
        """What the platform asks each second: two misses take an instance out."""
        misses = 0
        while True:
            ready = await instance.is_ready()
            misses = 0 if ready else misses + 1
            if ready or misses >= 2:
                instance.in_rotation = ready
            await asyncio.sleep(1)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def call(self, instance, method, target, host="case.example", body=b"",
                   deadline_ms=2500, rid=None, headers=None):
        self.requests += 1
        rid = rid or "%016x" % (0x9c41d07b00000000 + self.requests)
        sent = self.record.now()
        send = {"Host": host, P + "Request-Id": rid, P + "Deadline-Ms": str(deadline_ms)}
        send.update(headers or {})
        try:
            status, got, content = await http(instance.front, method, target, send, body,
                                              deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            status, got, content = 0, {}, b""
        self.record.add("client: %s %s of %s at %s, sent %.3f -> %d"
                        % (method, target, rid, instance.name, sent, status))
        return rid, sent, status, got, content

    async def start_all(self):
        self.spawn(self.beats())
        for instance in self.instances.values():
            instance.start()
        for instance in self.instances.values():
            await instance.wait_ready()

    def close(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances.values():
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def service(name, conns=26):
    return {"name": name, "health_path": "/healthz", "max_conns": conns, "protocol": "h1",
            "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}


def route(name, prefix, kind="idempotent", timeout_ms=2500, target_ms=400, attempts=2, **to):
    value = {"name": name, "host": "case.example", "path_prefix": prefix, "type": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
             "max_attempts": attempts, "public": False, "allowed_regions": []}
    if "gather" in to:
        value.update(top_k=5, min_coverage=0.75)
    value.update(to)
    return value


def main(play, folder, zones, bounds=None):
    """`play` gets the deployment and returns a list of what broke the rule."""
    async def run():
        deployment = Deployment(folder, zones, bounds)
        try:
            broken = await play(deployment)
            for text in broken[:20]:
                deployment.record.say("BROKEN: " + text)
            deployment.record.say("%d times broken%s" % (
                len(broken), "" if TROUBLE else " (without the disruption)"))
            code = 1 if broken else 0
        except CannotRun as error:
            print("cannot run: %s" % error)
            code = 2
        finally:
            deployment.close()
        sys.stdout.flush()
        os._exit(code)  # Connections that are still open need no further words.
    try:
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/bin/greengaged is not built")
        asyncio.run(finish(run()))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("cannot run: %r" % error)
    sys.stdout.flush()
    os._exit(2)


async def finish(play):
    """Ends what the stand-ins still wait for without a report."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(play, 112)
