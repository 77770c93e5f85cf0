"""Measures the cost of queries per process: CPU of entry and owner, and memory.

Starts a platform stand-in, searchers and one or two entry instances on
loopback, sends a fixed number of queries at fan-out 10, 100 and 340, and
divides the CPU time of the processes by the number of sub-requests. In the case
"here" the entry instance owns all searchers. In the case "forwarded" another
instance owns them, so that each sub-request is forwarded to it. Prints one line
per case.

Usage: python3 benchmarks/query_cost.py [--bin build/bin] [--queries 300]
           [--csv FILE]
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import pathlib
import re
import subprocess
import tempfile
import time
import urllib.request

PLATFORM_PORT = 18999
SEARCHER_PORT = 18000
INSTANCE_PORT = 18500
SEARCHERS = 6
CALLERS = 4
KEYS_PER_SHARD = 100


def configuration(fan_out):
    ranks = "".join(
        f"[rank {rank}]\nname = {rank}\nfloor_percent = 5\ntarget_ms = 5000\n\n"
        for rank in ("urgent", "normal", "background"))
    shards = "".join(
        f"[shard finder/{i}]\nrange = {i * KEYS_PER_SHARD}-{(i + 1) * KEYS_PER_SHARD - 1}\n"
        f"replicas = 127.0.0.1:{SEARCHER_PORT + i % SEARCHERS}\n\n" for i in range(fan_out))
    searchers = "".join(
        f"[searcher 127.0.0.1:{SEARCHER_PORT + i}]\ndata_centre = owner\nslots = 8\n\n"
        for i in range(SEARCHERS))
    return (f"[deployment]\nname = query-cost\nlog_level = error\n\n"
            f"[limits]\nqueue_per_searcher = 4096\n\n{ranks}"
            f"[service finder]\nkey_space = {fan_out * KEYS_PER_SHARD}\ndeadline_ms = 20000\n\n"
            f"{shards}{searchers}")


def settings(name, index, data_centre):
    port = INSTANCE_PORT + 3 * index
    seeds = "" if index == 0 else f"[seeds]\ngossip = 127.0.0.1:{INSTANCE_PORT + 2}\n"
    return (f"[instance]\nid = {name}\ndata_centre = {data_centre}\nthreads = 2\n"
            f"[listen]\nhttp = 127.0.0.1:{port}\npeer = 127.0.0.1:{port + 1}\n"
            f"gossip = 127.0.0.1:{port + 2}\n"
            f"[platform]\nendpoint = 127.0.0.1:{PLATFORM_PORT}\n"
            f"[log]\nlevel = error\n[stop]\nnotice_ms = 0\n{seeds}")


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_megabytes(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def wait_ready(index):
    for _ in range(200):
        try:
            url = f"http://127.0.0.1:{INSTANCE_PORT + 3 * index}/readyz"
            urllib.request.urlopen(url, timeout=1).read()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"instance {index} did not become ready")


def send(count):
    """Sends queries on one connection and returns the number of whole answers."""
    connection = http.client.HTTPConnection("127.0.0.1", INSTANCE_PORT, timeout=30)
    body = json.dumps({"service": "finder", "text": "x", "rank": "urgent", "limit": 5})
    whole = 0
    for _ in range(count):
        connection.request("POST", "/v1/query", body)
        whole += json.loads(connection.getresponse().read()).get("whole", False)
    return whole


def send_all(queries):
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return sum(pool.map(send, [queries // CALLERS] * CALLERS))


def start(processes, *command):
    processes.append(subprocess.Popen(list(command), stdout=subprocess.DEVNULL))
    return processes[-1]


def measure(case, fan_out, arguments, directory):
    binaries, processes = pathlib.Path(arguments.bin), []
    try:
        start(processes, binaries / "greengage-platform", "--listen", f"127.0.0.1:{PLATFORM_PORT}")
        for i in range(SEARCHERS):
            start(processes, binaries / "greengage-searcher", "--listen",
                  f"127.0.0.1:{SEARCHER_PORT + i}", "--slots", "16", "--queue", "4096",
                  "--service-us", "0")
        time.sleep(0.4)
        urllib.request.urlopen(urllib.request.Request(
            f"http://127.0.0.1:{PLATFORM_PORT}/objects/configuration/current?expected=0",
            data=configuration(fan_out).encode(), method="PUT")).read()
        centres = ["owner"] if case == "here" else ["entry", "owner"]
        instances = []
        for index, centre in enumerate(centres):
            path = directory / f"{case}{index}.ini"
            path.write_text(settings(f"i{index}", index, centre))
            instances.append(start(processes, binaries / "greengaged", "--settings", path))
        for index in range(len(instances)):
            wait_ready(index)
        time.sleep(2)
        send_all(CALLERS * 4)
        before = [cpu_seconds(p) for p in instances]
        started = time.monotonic()
        whole = send_all(arguments.queries)
        seconds = time.monotonic() - started
        used = [cpu_seconds(p) - b for p, b in zip(instances, before)]
        sub_requests = arguments.queries // CALLERS * CALLERS * fan_out
        return {
            "case": case, "fan_out": fan_out,
            "queries": arguments.queries // CALLERS * CALLERS, "whole": whole,
            "entry_us": 1e6 * used[0] / sub_requests,
            "owner_us": 1e6 * used[1] / sub_requests if len(used) > 1 else 0.0,
            "sub_requests_per_second": sub_requests / seconds,
            "peak_mb": max(peak_megabytes(p) for p in instances),
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--queries", type=int, default=300)
    parser.add_argument("--csv")
    arguments = parser.parse_args()
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        for case in ("here", "forwarded"):
            for fan_out in (10, 100, 340):
                rows.append(measure(case, fan_out, arguments, pathlib.Path(directory)))
                print(", ".join(f"{k} {v:.4g}" if isinstance(v, float) else f"{k} {v}"
                                for k, v in rows[-1].items()), flush=True)
    if arguments.csv:
        lines = [",".join(rows[0])] + [",".join(str(v) for v in row.values()) for row in rows]
        pathlib.Path(arguments.csv).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
