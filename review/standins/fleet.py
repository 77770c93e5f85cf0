"""Stand-ins for the cases of this review: the platform's store, searchers,
clients and the instances' processes. Each follows the users' pages. Everything
runs on loopback addresses and the real clock, in one event loop; only the
instances are processes of their own.
"""

import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "rooms.example"
REQUEST_ID = "X-Greengageusher-Request-Id"
DEADLINE = "X-Greengageusher-Deadline-Ms"
EXPECTED = "X-Greengageusher-Expected-Instance"
STAMP = "X-Greengageusher-Server-Stamp"
LOAD = "X-Greengageusher-Server-Load"
NOT_RUN = "X-Greengageusher-Not-Executed"

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 500: "Internal Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def header_block(headers):
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def response(status, headers=(), body=b""):
    head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
            f"{header_block(headers)}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Message:
    """The first line, headers (names in lower case) and body of a message."""

    def __init__(self, line, headers, body=b""):
        self.line, self.headers, self.body = line, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader, is_answer=False):
    """Returns None if the connection ends before the first byte."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if head:
                raise ConnectionError("ended within the head")
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    message = Message(lines[0], headers)
    if "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif is_answer:
        message.body = await reader.read()
    return message


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.write(f"TROUBLE={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Store:
    """The platform's metadata store."""

    PREFIX = "/greengageusher/objects/"
    PAGE = 500
    ANSWER_S = 0.004

    def __init__(self, address="127.0.0.1"):
        self.address, self.port = address, 0
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        """Writes as the operator or a searcher does. Returns once accepted."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        self.kinds[kind][name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": created, "finalizers": [], "deleting": False},
            "spec": spec, "status": {}}
        await self.note(kind, self.kinds[kind][name], False)

    async def remove(self, kind, name):
        known = self.kinds.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            known = dict(known, meta=dict(known["meta"],
                                          revision=self.revision))
            await self.note(kind, known, True)

    async def note(self, kind, item, deleted):
        self.events.append((self.revision, kind,
                            {"object": item, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await read_message(reader):
                status, body = await self.answer(request)
                await asyncio.sleep(self.ANSWER_S)
                writer.write(response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", "1")], json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        if not path.startswith(self.PREFIX):
            return 404, {}
        kind, _, name = path[len(self.PREFIX):].partition("/")
        parameters = dict(part.partition("=")[::2]
                          for part in query.split("&") if part)
        if method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]),
                                    int(parameters.get("wait_ms", 0)))
        known = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, known[name]) if name in known else (404, {})
        if method == "GET":
            names = sorted(n for n in known if n > parameters.get("after", ""))
            page = [known[n] for n in names[:self.PAGE]]
            return 200, {"items": page, "more": len(names) > self.PAGE,
                         "as_of": self.revision}
        if method == "DELETE":
            if name not in known:
                return 404, {}
            await self.remove(kind, name)
            return 200, {}
        body = json.loads(request.body)
        if method == "POST":
            name = body["meta"]["name"]
            if name in known:
                return 409, known[name]
        elif name not in known:
            return 404, {}
        await self.put(kind, name, body.get("spec"))
        return (201 if method == "POST" else 200), known[name]

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            found = [event for revision, event_kind, event in self.events
                     if event_kind == kind and revision > after]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A sound searcher: it runs `slots` requests at once, queues `queue` more,
    rejects the rest, and drops a request when its connection closes. A case
    adds faults by `answer_hook`."""

    HEARTBEAT_S = 1.2
    numbers = itertools.count(1)

    def __init__(self, store, record, service, zone="a", slots=2, queue=12,
                 work_s=0.02, address="127.0.0.1"):
        self.store, self.record = store, record
        self.id = f"i-{next(self.numbers):04x}{service}"
        self.service, self.zone = service, zone
        self.slots, self.queue = slots, queue
        self.work_s, self.address, self.port = work_s, address, 0
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.server = self.beat = None
        self.connections = set()
        self.arrivals = []  # (time, request id) of all but rejected requests.
        self.ran = []       # (time, request id) of those that began to run.
        self.answered = []  # (time, request id, status)
        self.answer_hook = None  # async (reader, writer, request) -> handled?

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0,
                                                 backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.report()
        self.beat = asyncio.create_task(self.heartbeat())

    def spec(self):
        return {"service": self.service,
                "address": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "v1", "max_concurrency": self.slots,
                "state": self.state, "warmup_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def report(self):
        self.sequence += 1
        await self.store.put("servers", self.id, self.spec())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            await self.report()

    async def drain(self):
        """Reports `draining`; the store has accepted it on return."""
        self.state = "draining"
        await self.report()

    async def stop(self):
        if self.beat:
            self.beat.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await self.store.remove("servers", self.id)

    def load(self):
        return LOAD, f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await read_message(reader):
                if not (self.answer_hook and
                        await self.answer_hook(reader, writer, request)):
                    await self.run(reader, writer, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()

    def rejection(self, request):
        return response(503, [(REQUEST_ID, request.get(REQUEST_ID)),
                              (NOT_RUN, "1"), self.load()])

    async def run(self, reader, writer, request):
        request_id = request.get(REQUEST_ID)
        echo = [(REQUEST_ID, request_id), self.load()]
        if request.get(EXPECTED, self.id) != self.id:
            await self.send(writer, response(
                421, [(REQUEST_ID, request_id),
                      ("X-Greengageusher-Instance-Id", self.id)]))
            return
        end = time.monotonic() + int(request.get(DEADLINE, "60000")) / 1000
        self.arrivals.append((self.record.now(), request_id))
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.write(f"{self.id} rejects {request_id}")
            await self.send(writer, self.rejection(request))
            return
        if not await self.take_slot(reader, end):
            if not reader.at_eof():
                await self.send(writer, self.rejection(request))
            return
        self.ran.append((self.record.now(), request_id))
        self.record.write(f"{self.id} runs {request_id}")
        try:
            status = await self.work(reader, end)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()
        if status:
            self.answered.append((self.record.now(), request_id, status))
            self.record.write(f"{self.id} answers {request_id} {status}")
            await self.send(writer, self.answer(status, request, echo))

    def answer(self, status, request, echo):
        stamp = f"{self.id}.{request.get(REQUEST_ID)}"
        return response(status, echo + [(STAMP, stamp)],
                        f"{stamp}\n".encode())

    async def take_slot(self, reader, end):
        self.waiting += 1
        try:
            while self.running >= self.slots:
                left = min(end - time.monotonic(), 0.05)
                if end <= time.monotonic() or reader.at_eof():
                    return False
                try:
                    async with self.free:
                        await asyncio.wait_for(self.free.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    async def work(self, reader, end):
        """Returns the status, or None if the connection was closed."""
        done = time.monotonic() + self.work_s
        while time.monotonic() < min(done, end):
            if reader.at_eof():
                return None
            await asyncio.sleep(min(0.05, max(0, min(done, end)
                                              - time.monotonic())))
        return 200 if done <= end else 504


class Template:
    """Renders the template of a role as the platform does."""

    TOKEN = re.compile(r"\{\{([#^/]?)([^}|]+)(?:\|json)?\}\}")

    def __init__(self, fields):
        self.fields = fields

    def find(self, path):
        value = self.fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def render(self, text):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        text = section.sub(
            lambda m: m[3] if bool(self.find(m[2])) == (m[1] == "#") else "",
            text)
        return self.TOKEN.sub(
            lambda m: "" if self.find(m[2]) is None else str(self.find(m[2])),
            text)


class Instance:
    """A process of the project, started with the command and the template of
    the deploy file."""

    numbers = itertools.count(1)

    def __init__(self, store, folder, zone="a", bounds=None, first_start=True):
        number = next(self.numbers)
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.folder = folder
        self.front = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.fields = {
            "node_name": self.name, "zone": zone, "ip": self.ip,
            "bootstrap": first_start, "limits": {"cpu_share": 0.25},
            "listen_addrs": {"front": "%s:%d" % self.front,
                             "ready": "%s:%d" % self.ready},
            "internal_ports": [free_port(self.ip), free_port(self.ip)],
            "platform": {"address": f"{store.address}:{store.port}"},
            "bounds": {"drain_ms": 4000, "retry_budget_ratio": 0.2,
                       "budget_slack": 58, "retry_window_s": 10, "grace_s": 6,
                       **(bounds or {})}}
        self.process = None
        self.starts = 0

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(Template(self.fields).render(
            (ROOT / role["template"]).read_text()))
        command = [str(settings) if word == "/etc/greengageusher/node.conf"
                   else word for word in role["run"].split(" ")]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the build line")
        self.starts += 1
        log = open(self.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL, env={"PATH": os.environ["PATH"],
                                           "HOME": str(self.folder)})
        log.close()
        self.fields["bootstrap"] = False

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        try:
            status = pathlib.Path(
                f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0

    def kill(self, number=signal.SIGKILL):
        if self.is_running():
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/greengageusher/readyz", [],
                            timeout_s=1)
        return answer.status == 200


class Answer:
    """`status` is 0 if there was no complete answer; `error` then says why."""

    def __init__(self, status=0, message=None, error=""):
        self.status, self.error = status, error
        self.body = message.body if message else b""
        self.message = message

    def __str__(self):
        return str(self.status) if self.status else f"none ({self.error})"


async def call(address, method, path, headers, body=b"", timeout_s=10.0):
    """One request on a connection of its own."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [("Host", HOST), *headers]
            if body:
                lines.append(("Content-Length", len(body)))
            writer.write(f"{method} {path} HTTP/1.1\r\n{header_block(lines)}"
                         "\r\n".encode() + body)
            message = await read_message(reader, is_answer=True)
            if message is None:
                return Answer(error="closed")
            return Answer(int(message.line.split(" ")[1]), message)
    except TimeoutError:
        return Answer(error="timed out")
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
        return Answer(error=type(error).__name__)
    finally:
        if writer:
            writer.close()


class Fleet:
    """A small deployment."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.searchers, self.instances = [], []
        self.requests = itertools.count(1)

    async def add_searchers(self, count, service, **options):
        added = [Searcher(self.store, self.record, service, **options)
                 for _ in range(count)]
        for searcher in added:
            await searcher.start()
        self.searchers += added
        return added

    async def configure(self, version, routes, services):
        await self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": connections, "protocol": "h1",
                          "tls": False} for name, connections in
                         services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def start_instances(self, zones, **options):
        for zone in zones:
            self.instances.append(
                Instance(self.store, self.folder, zone, **options))
        for instance in self.instances:
            instance.start()
        if not await self.wait_ready(15):
            raise CannotRun("the instances do not become ready")

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await instance.is_ready()
                      for instance in self.instances]
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, instance, method, path, deadline_ms, body=b"",
                      headers=()):
        """One client attempt. Returns its id and its answer."""
        request_id = f"r{next(self.requests):06d}"
        self.record.write(f"client sends {request_id} {method} {path} to "
                          f"{instance.name}, deadline {deadline_ms} ms")
        answer = await call(instance.front, method, path, [
            (REQUEST_ID, request_id), (DEADLINE, deadline_ms), *headers], body,
            deadline_ms / 1000 + 1)
        self.record.write(f"client gets {request_id} {answer}")
        return request_id, answer

    async def close(self):
        for instance in self.instances:
            instance.kill()
        for searcher in self.searchers:
            if searcher.beat:
                searcher.beat.cancel()
            if searcher.server:
                searcher.server.close()
        if self.store.server:
            self.store.server.close()


def main(folder, case):
    """Runs `case(fleet)`, which returns whether the rule was broken."""
    async def play():
        fleet = Fleet(folder)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await fleet.store.start()
            async with asyncio.timeout(110):
                broken = await case(fleet)
            fleet.record.say("rule broken" if broken else "rule held")
            return EXIT_BROKEN if broken else EXIT_HELD
        except (Exception, asyncio.CancelledError) as error:
            fleet.record.say(f"could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            await fleet.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                print(f"logs in {fleet.folder}")
            else:
                shutil.rmtree(fleet.folder, ignore_errors=True)

    code = asyncio.run(play())
    sys.stdout.flush()
    os._exit(code)
