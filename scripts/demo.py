"""Runs a reduced version of the Kettlebrook deployment as real processes on loopback.

Usage: demo.py FOLDER_OF_PROGRAMS. Exits 0 only if every answer was correct.
"""

import concurrent.futures
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

DATA_CENTRES = ["bath", "leith", "york"]
INSTANCES_PER_DATA_CENTRE = 3
KEYS_PER_SHARD = 100
# Name, shards, replicas. The full deployment has 50 services of 2 searchers.
SERVICES = [("table-finder", 12, 2), ("menu-board", 4, 2), ("owner-ledger", 3, 1), ("mailer", 2, 1)]
RANKS = ["guest", "suggest", "publish"]
TIMEOUT_S = 30

CONFIGURATION_HEAD = """[deployment]
name = kettlebrook

[limits]
hedge_percent = 2
retry_percent = 10

[rank urgent]
name = guest
floor_percent = 0
target_ms = 250

[rank normal]
name = suggest
floor_percent = 20
target_ms = 100

[rank background]
name = publish
floor_percent = 10
target_ms = 60000
"""


class DemoFailure(Exception):
    """An answer was wrong, or a condition was not reached in time."""


def check(condition, message):
    if not condition:
        raise DemoFailure(message)


def wait_for(condition, message):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        check(time.monotonic() < deadline, f"timed out waiting for {message}")
        time.sleep(0.05)


def call(endpoint, method, path, body=None):
    """Sends one HTTP request and returns status and JSON; status 0 if there was no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{endpoint}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            text = response.read()
            return response.status, json.loads(text) if text else {}
    except urllib.error.HTTPError as error:
        text = error.read()
        return error.code, json.loads(text) if text else {}
    except (urllib.error.URLError, OSError, ValueError) as error:
        return 0, {"error": str(error)}


def free_datagram_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Program:
    """One process that prints "listening IP:PORT"."""

    def __init__(self, path, arguments, log):
        self.process = subprocess.Popen([path, *arguments], stdout=subprocess.PIPE, stderr=log, text=True)
        line = self.process.stdout.readline().split()
        if len(line) != 2 or line[0] != "listening":
            self.process.kill()
            raise DemoFailure(f"{path.name} did not start")
        self.endpoint = line[1]

    def stop(self):
        """Stops the process gracefully and returns its exit code, or None if it had to be killed."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


class Searcher:
    def __init__(self, program, service, shard, data_centre):
        self.program = program
        self.endpoint = program.endpoint
        self.service = service
        self.shard = shard
        self.data_centre = data_centre


class Deployment:
    """All processes of the demo. stop() ends those that were started."""

    def __init__(self, programs, folder):
        self.programs = programs
        self.folder = folder
        self.log = open(folder / "log.txt", "w", encoding="utf-8")
        self.started = []
        self.searchers = []
        self.instances = []
        self.platform = None

    def start_program(self, name, *arguments):
        program = Program(self.programs / name, arguments, self.log)
        self.started.append(program)
        return program

    def start_upstreams(self):
        self.platform = self.start_program("greengage-platform")
        for service, shards, replicas in SERVICES:
            for shard in range(shards):
                for replica in range(replicas):
                    first = shard * KEYS_PER_SHARD
                    held = f"{service}:{first}-{first + KEYS_PER_SHARD - 1}"
                    program = self.start_program("greengage-searcher", "--hold", held)
                    data_centre = DATA_CENTRES[(shard + replica) % len(DATA_CENTRES)]
                    self.searchers.append(Searcher(program, service, shard, data_centre))

    def start_instances(self):
        count = len(DATA_CENTRES) * INSTANCES_PER_DATA_CENTRE
        ports = [free_datagram_port() for _ in range(count)]
        for number, port in enumerate(ports):
            data_centre = DATA_CENTRES[number // INSTANCES_PER_DATA_CENTRE]
            seeds = " ".join(f"127.0.0.1:{other}" for other in ports if other != port)
            settings = self.folder / f"entry-{number}.ini"
            settings.write_text(
                f"[instance]\nid = {data_centre}-{number}\ndata_centre = {data_centre}\n"
                f"[listen]\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\ngossip = 127.0.0.1:{port}\n"
                f"[platform]\nendpoint = {self.platform.endpoint}\n"
                f"[seeds]\ngossip = {seeds}\n"
                "[stop]\nnotice_ms = 1000\n", encoding="utf-8")
            self.instances.append(self.start_program("greengaged", "--settings", str(settings)))

    def write_configuration(self):
        lines = [CONFIGURATION_HEAD]
        for service, shards, _ in SERVICES:
            lines.append(f"[service {service}]\nkey_space = {shards * KEYS_PER_SHARD}\ndeadline_ms = 2000\n")
            for shard in range(shards):
                replicas = " ".join(s.endpoint for s in self.replicas(service, shard))
                first = shard * KEYS_PER_SHARD
                lines.append(f"[shard {service}/{shard}]\nrange = {first}-{first + KEYS_PER_SHARD - 1}\n"
                             f"replicas = {replicas}\n")
        for searcher in self.searchers:
            lines.append(f"[searcher {searcher.endpoint}]\ndata_centre = {searcher.data_centre}\n")
        path = self.folder / "kettlebrook.ini"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    def replicas(self, service, shard):
        return [s for s in self.searchers if s.service == service and s.shard == shard]

    def operate(self, *arguments):
        """Runs greengagectl, prints its output and returns its standard output."""
        command = [self.programs / "greengagectl", "--platform", self.platform.endpoint,
                   "--instance", self.instances[-1].endpoint, *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        print(f"$ greengagectl {' '.join(map(str, arguments))}")
        print(result.stdout + result.stderr, end="", flush=True)
        check(result.returncode == 0, f"greengagectl ended with {result.returncode}")
        return result.stdout

    def stop(self):
        """Stops the instances, then the rest. Returns True if all processes ended with exit code 0."""
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            instances = list(pool.map(Program.stop, self.instances))
            rest = list(pool.map(Program.stop, self.started))
        self.log.close()
        return all(code == 0 for code in instances + rest)


def query(instance, service, text, rank, **more):
    body = {"service": service, "text": text, "rank": rank, "limit": 5, **more}
    return call(instance.endpoint, "POST", "/v1/query", body)


def naive_hits(deployment, service, text, version):
    """Queries one replica of each shard in sequence and merges the hits, as a reference."""
    hits = []
    shards = next(shards for name, shards, _ in SERVICES if name == service)
    for shard in range(shards):
        first = shard * KEYS_PER_SHARD
        status, answer = call(deployment.replicas(service, shard)[0].endpoint, "POST", "/search", {
            "request_id": "naive", "sub_request_id": shard, "service": service,
            "range": [first, first + KEYS_PER_SHARD - 1], "index_version": version, "limit": 5, "text": text})
        check(status == 200, f"{service}/{shard} gave {status}")
        hits += answer["hits"]
    return sorted(hits, key=lambda hit: (-hit["score"], hit["key"]))[:5]


def check_answer(deployment, service, text, status, answer):
    check(status == 200 and answer["outcome"] == "answered", f"{service}: {status} {answer}")
    check(answer["whole"], f"{service}: not whole: {answer['missing']}")
    check(answer["hits"] == naive_hits(deployment, service, text, answer["index_version"]),
          f"{service}: hits differ from the reference query")


def show_answer(answer):
    print(f"{answer['service']:13} {answer['rank']:8} index version {answer['index_version']}, "
          f"covered {answer['covered']}")
    for hit in answer["hits"][:2]:
        print(f"    {hit['key']:5}  {hit['score']:8.0f}  {hit['text']}")


def wait_until_joined(deployment):
    count = len(deployment.instances)
    for instance in deployment.instances:
        wait_for(lambda i=instance: len(call(i.endpoint, "GET", "/v1/status")[1].get("members", [])) == count,
                 "all instances to list each other as members")


def search_all(deployment, expected_version):
    for number, rank in enumerate(RANKS):
        for service, _, _ in SERVICES:
            instance = deployment.instances[number * INSTANCES_PER_DATA_CENTRE]
            status, answer = query(instance, service, "scones", rank)
            check_answer(deployment, service, "scones", status, answer)
            check(answer["rank"] == rank, "the answer has another rank")
            check(answer["index_version"] == expected_version, f"index version {answer['index_version']}")
            if service == SERVICES[number][0]:
                show_answer(answer)


def change_index_version(deployment):
    for searcher in deployment.searchers:
        status, _ = call(searcher.endpoint, "POST", "/faults", {"versions": [1, 2]})
        check(status == 204, "the searcher rejected its new version")

    def all_instances_updated():
        done = True
        for instance in deployment.instances:
            for service, _, _ in SERVICES:
                status, answer = query(instance, service, "cakes", "guest")
                check_answer(deployment, service, "cakes", status, answer)
                done = done and answer["index_version"] == 2
        return done
    wait_for(all_instances_updated, "index version 2 at all instances")


def book_with_repeat(deployment):
    request = {"request_id": f"{int(time.time() * 1000)}-demo", "idempotent": False, "key": 17}
    answers = []
    for instance in (deployment.instances[0], deployment.instances[4]):
        status, answer = query(instance, "owner-ledger", "book tea for two", "guest", **request)
        check(status == 200 and answer["outcome"] == "answered", f"booking: {status} {answer}")
        answers.append(answer)
    check(answers[0]["hits"] == answers[1]["hits"], "the repeat got another answer")
    runs = sum(call(s.endpoint, "GET", f"/executions?request_id={request['request_id']}")[1]["executions"]
               for s in deployment.replicas("owner-ledger", 0))
    check(runs == 1, f"the booking ran {runs} times")
    print(f"booked {request['request_id']} at two instances: ran {runs} time")
    return request["request_id"]


def stop_one_instance(deployment):
    """Stops one instance under load; callers use another one once /readyz fails."""
    leaving = deployment.instances[0]
    failures = []
    counts = {"answered": 0}
    lock = threading.Lock()
    ended = threading.Event()

    def caller():
        while not ended.is_set():
            ready = call(leaving.endpoint, "GET", "/readyz")[0] == 200
            instance = leaving if ready else deployment.instances[1]
            status, answer = query(instance, "table-finder", "tea", "guest")
            with lock:
                counts["answered"] += status == 200
                if status != 200:
                    failures.append((status, answer))

    callers = [threading.Thread(target=caller) for _ in range(4)]
    for thread in callers:
        thread.start()
    wait_for(lambda: counts["answered"] > 50, "answers before the stop")
    code = leaving.stop()
    before = counts["answered"]
    wait_for(lambda: counts["answered"] > before + 50, "answers after the stop")
    ended.set()
    for thread in callers:
        thread.join()
    check(code == 0, f"the instance ended with {code}")
    check(not failures, f"requests were cut off: {failures[:3]}")
    print(f"stopped one instance under load: {counts['answered']} answered, none cut off")


def show(deployment):
    deployment.start_upstreams()
    deployment.start_instances()
    print(f"started {len(deployment.instances)} instances in {len(DATA_CENTRES)} data centres, "
          f"{len(deployment.searchers)} searchers and the platform")
    path = deployment.write_configuration()
    wait_until_joined(deployment)
    deployment.operate("apply", str(path))
    for instance in deployment.instances:
        wait_for(lambda i=instance: call(i.endpoint, "GET", "/readyz")[0] == 200, "an instance to be ready")
    print("\nsearching in all three ranks")
    search_all(deployment, expected_version=1)
    print("\nchanging the index version")
    change_index_version(deployment)
    search_all(deployment, expected_version=2)
    print()
    request_id = book_with_repeat(deployment)
    deployment.operate("timeline", "--request", request_id)
    print()
    stop_one_instance(deployment)
    print()
    deployment.operate("status")


def main():
    programs = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory(prefix="greengage-demo-") as folder:
        deployment = Deployment(programs, pathlib.Path(folder))
        failure = None
        try:
            show(deployment)
        except (DemoFailure, OSError, KeyError, subprocess.SubprocessError) as error:
            failure = f"{type(error).__name__}: {error}"
        all_stopped = deployment.stop()
    if failure is None and not all_stopped:
        failure = "a process did not end with exit code 0"
    print(f"\ndemo failed: {failure}" if failure else "\ndemo: every answer was right")
    return 1 if failure else 0


if __name__ == "__main__":
    sys.exit(main())
