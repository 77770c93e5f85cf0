"""A small deployment on loopback for the review's scripts.

The instances are the project's own program, started with the command of the
deploy file and the settings that the deploy file's template gives. The store,
the searchers and the clients are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PREFIX = "X-Greengageusher-"
USED_PORTS = set()
OBJECTS = "/greengageusher/objects/"


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body, complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, bodiless=False):
    """Reads one HTTP/1.1 message, or returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers, b"")
    if bodiless:
        return message
    try:
        if (message.get("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                message.body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    return message
        length = message.get("Content-Length")
        if length is not None:
            message.body = await reader.readexactly(int(length))
        elif lines[0].startswith("HTTP/"):
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        message.complete = False
    return message


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, headers=(), body=b""):
    text = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


class Server:
    """Serves HTTP/1.1 on a port of its own, one request at a time each."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.complete:
                    return
                answer = await self.handle(request, reader, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except (ConnectionError, OSError):
                pass

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def stop_listening(self):
        self.server.close()

    def abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: objects by kind and name, watches, eras."""

    STALE_S = 3.0  # Age of what reads with `serializable` return.

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.era = 1
        self.revision = 10
        self.kinds = {}
        self.events = []  # (revision, time, kind, deleted, object)
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["created"] if old else self.revision
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        objects[name] = item
        await self._changed(kind, False, item)
        return item

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self._changed(kind, True, item)
        return item

    async def _changed(self, kind, deleted, item):
        self.events.append((self.revision, now(), kind, deleted, item))
        async with self.changed:
            self.changed.notify_all()

    def listing(self, kind, stale):
        if not stale:
            return dict(self.kinds.get(kind, {})), self.revision
        objects, revision = {}, 10
        for at_revision, at, of_kind, deleted, item in self.events:
            if at > now() - self.STALE_S:
                break
            revision = at_revision
            if of_kind == kind:
                if deleted:
                    objects.pop(item["meta"]["name"], None)
                else:
                    objects[item["meta"]["name"]] = item
        return objects, revision

    def json(self, status, value):
        return response(status, [("Content-Type", "application/json"),
                                 ("Store-Era", str(self.era))],
                        json.dumps(value).encode())

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ", 2)
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        if not path.startswith(OBJECTS):
            return self.json(404, {})
        kind, _, name = path[len(OBJECTS):].partition("/")
        name = urllib.parse.unquote(name)
        await asyncio.sleep(0.004)
        if method == "GET" and "watch" in parameters:
            return await self._watch(kind, parameters)
        if method == "GET" and not name:
            objects, revision = self.listing(kind, "serializable" in parameters)
            after = parameters.get("after", "")
            items = [objects[key] for key in sorted(objects) if key > after]
            return self.json(200, {"items": items, "more": False,
                                   "as_of": revision})
        if method == "GET":
            item = self.kinds.get(kind, {}).get(name)
            return self.json(200 if item else 404, item or {})
        body = json.loads(request.body or b"{}")
        if method == "POST":
            name = body["meta"]["name"]
            if name in self.kinds.get(kind, {}):
                return self.json(409, self.kinds[kind][name])
            return self.json(200, await self.put(kind, name, body.get("spec")))
        old = self.kinds.get(kind, {}).get(name)
        if old is None:
            return self.json(404, {})
        wanted = (body.get("meta") or {}).get("revision",
                                              parameters.get("revision"))
        if wanted is not None and int(wanted) != old["meta"]["revision"]:
            return self.json(409, old)
        if method == "PUT":
            return self.json(200, await self.put(kind, name, body.get("spec")))
        if method == "DELETE":
            return self.json(200, await self.remove(kind, name))
        return self.json(404, {})

    async def _watch(self, kind, parameters):
        after = int(parameters["watch"])
        until = now() + int(parameters.get("wait_ms", "0")) / 1000
        if after > self.revision:
            return self.json(410, {})
        while True:
            found = [{"deleted": deleted, "object": item}
                     for revision, _, of_kind, deleted, item in self.events
                     if of_kind == kind and revision > after]
            if found or now() >= until:
                return self.json(200, {"events": found,
                                       "as_of": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass


class StoreDoor(Server):
    """The store's address for one machine, which it may turn away in silence.

    A call that arrives meanwhile, or whose answer is due meanwhile, gets no
    answer, and its connection returns nothing further. New connections work
    once the silence is over.
    """

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.silent = False
        self.lost = 0

    async def handle(self, request, reader, writer):
        silent_at_start = self.silent
        answer = await self.store.handle(request, reader, writer)
        if silent_at_start or self.silent:
            self.lost += 1
            self.store.record("no answer to %s" % request.first)
            while not reader.at_eof():
                await reader.read(65536)
            return None
        return answer


class Searcher(Server):
    """A searcher: registers, beats, runs one request per slot."""

    def __init__(self, store, record, identity, service, zone="musanze-a",
                 slots=3, work_s=0.02, beat_s=1.2):
        super().__init__()
        self.store = store
        self.record = record
        self.id = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.beat_s = beat_s
        self.runs = []  # (time, request id)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.task = None

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1",
                "max_concurrency": self.slots, "state": "ready",
                "warmup_left_ms": 0, "sequence": self.sequence,
                "born": self.born}

    async def start(self):
        await self.listen()
        self.task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            await self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.beat_s)

    def stamp(self, request_id):
        return "%s.%s.%d" % (self.id, request_id, len(self.runs))

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ", 2)
        if target == "/healthz":
            return response(200, [(PREFIX + "Instance-Id", self.id)])
        request_id = request.get(PREFIX + "Request-Id")
        expected = request.get(PREFIX + "Expected-Instance")
        if expected not in (None, self.id):
            return response(421, [(PREFIX + "Instance-Id", self.id)])
        if not request_id:
            return response(400, [(PREFIX + "Not-Executed", "1")])
        self.runs.append((now(), request_id))
        self.record("searcher %s of %s runs %s" % (self.id, self.service,
                                                   request_id))
        return await self.run(request, request_id, writer)

    async def run(self, request, request_id, writer):
        await asyncio.sleep(self.work_s)
        return response(200, [(PREFIX + "Request-Id", request_id),
                              (PREFIX + "Server-Stamp", self.stamp(request_id))],
                        ("answer to %s" % request_id).encode())


def render(template, fields):
    """Fills in the template of a settings file, as DEPLOY.md says."""

    def value_of(name, scope):
        for level in reversed(scope):
            found = level
            for part in name.split("."):
                if not isinstance(found, dict) or part not in found:
                    found = None
                    break
                found = found[part]
            if found is not None:
                return found
        return None

    def sections(text, scope):
        pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        while True:
            found = pattern.search(text)
            if not found:
                break
            kind, name, inner = found.groups()
            value = value_of(name, scope)
            if kind == "^":
                made = "" if value else inner
            elif isinstance(value, dict):
                made = "".join(inner.replace("{{@}}", key).replace(
                    "{{.}}", str(entry)) for key, entry in value.items())
            elif value:
                made = inner.replace("{{.}}", str(value))
            else:
                made = ""
            text = text[:found.start()] + made + text[found.end():]
        return text

    def plain(found):
        value = value_of(found.group(1), [fields])
        return "" if value is None else str(value)

    text = sections(template, [fields])
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


def free_port():
    """A free port below those that the system gives to new connections."""
    for _ in range(1000):
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in USED_PORTS:
                USED_PORTS.add(port)
                return port
    raise OSError("no free port")


class Instance:
    """One process of the project, as the deploy file starts it."""

    def __init__(self, name, store_address, bounds, folder, zone="musanze-a",
                 zones=None):
        self.name = name
        self.folder = folder
        self.front = free_port()
        self.ready = free_port()
        self.peer = free_port()
        fields = {
            "node_name": name, "zone": zone, "ip": "127.0.0.1",
            "bootstrap": True, "zones": zones or {zone: "nyiragongo"},
            "limits": {"cpu_share": 0.25},
            "listen_addrs": {"front": "127.0.0.1:%d" % self.front,
                             "ready": "127.0.0.1:%d" % self.ready},
            "internal_ports": {"0": free_port(), "1": self.peer},
            "platform": {"address": store_address}, "bounds": bounds,
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(folder, name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = role["run"].replace("/etc/greengageusher/node.conf",
                                           self.settings).split(" ")
        self.process = None
        self.log = os.path.join(folder, name + ".log")

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "GREENGAGEUSHER_SETTINGS": self.settings})

    async def wait_ready(self, timeout=15):
        until = now() + timeout
        while now() < until:
            answer = await call(self.ready, "GET", "/greengageusher/readyz")
            if answer is not None and answer.first.split(" ")[1] == "200":
                return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(port, method, target, headers=(), body=b"", timeout=10):
    """One request on a connection of its own; None without an answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        text = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        return await asyncio.wait_for(read_message(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


def status_of(answer):
    return None if answer is None else int(answer.first.split(" ")[1])


# The bounds of the site umukonje-search.
UMUKONJE = {"drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000,
            "stable_window_ms": 5000, "retry_budget_ratio": 0.2,
            "retry_window_s": 10, "budget_slack": 56}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def route(name, service, prefix="/r/", kind="idempotent", timeout=2500,
          attempts=2, **more):
    made = {"name": name, "host": "pupu76.example", "path_prefix": prefix,
            "type": kind, "timeout_ms": timeout, "target_latency_ms": 800,
            "priority": 2, "max_attempts": attempts}
    if service:
        made["service"] = service
    made.update(more)
    return made


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 40, "protocol": "h1", "tls": False}
                         for name in services], "limits": LIMITS}


async def request(port, request_id, target="/r/2f", method="GET", body=b"",
                  deadline=2500, headers=()):
    return await call(port, method, target,
                      [("Host", "pupu76.example"),
                       (PREFIX + "Request-Id", request_id),
                       (PREFIX + "Deadline-Ms", str(deadline)),
                       *headers], body, timeout=deadline / 1000 + 1)


def main(case, scenario):
    """Runs a scenario: 1 if it says the rule broke, 0 if it held, else 2."""
    folder = os.path.dirname(os.path.abspath(case))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    instances = []
    code = 2

    async def run(place):
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are of no interest.
        loop.set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(
                scenario(record, trouble, place, instances), 115)
        finally:
            for instance in instances:
                await instance.end()

    with tempfile.TemporaryDirectory() as place:
        try:
            code = asyncio.run(run(place))
        except Exception as error:  # The case could not run.
            record("could not run: %r" % error)
        if os.environ.get("KEEP_LOGS"):
            os.system("cp %s/*.log %s" % (place, os.environ["KEEP_LOGS"]))
    record("exit code %d" % code)
    with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
        print("\n".join(file.read().splitlines()[-5:]))
    raise SystemExit(code)
