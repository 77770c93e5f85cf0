"""Measures the cost of the control plane per instance: CPU, memory and gossip bytes.

Starts a platform stand-in and 10, 30 and 100 entry instances (--sizes) on
loopback without caller traffic. After a settling time, reads /metrics and /proc
over a time window. Prints one line per size and the slope over the sizes.

Usage: python3 benchmarks/control_cost.py [--bin build/bin] [--sizes 10,30,100]
           [--searchers 2] [--settle 8] [--window 20] [--csv FILE]
"""

import argparse
import os
import pathlib
import re
import subprocess
import tempfile
import time
import urllib.request

BASE_PORT = 20000
DATA_CENTRES = 3
UDP_IP_HEADER_BYTES = 28

RANKS = "".join(
    f"[rank {rank}]\nname = {rank}\nfloor_percent = 5\ntarget_ms = 250\n\n"
    for rank in ("urgent", "normal", "background"))


def searcher(index):
    return f"127.{index // 60000}.{index // 250 % 250}.{index % 250 + 1}:19999"


def configuration(searchers):
    """Returns a configuration of one service with two replicas per shard in all data centres."""
    shards = searchers // 2
    text = [f"[deployment]\nname = control-cost\nlog_level = error\n\n{RANKS}"
            f"[service finder]\nkey_space = {shards * 100}\ndeadline_ms = 1000\n\n"]
    for i in range(shards):
        text.append(f"[shard finder/{i}]\nrange = {i * 100}-{i * 100 + 99}\n"
                    f"replicas = {searcher(2 * i)} {searcher(2 * i + 1)}\n\n")
    for i in range(2 * shards):
        text.append(f"[searcher {searcher(i)}]\ndata_centre = dc{i % DATA_CENTRES}\n\n")
    return "".join(text)


def settings(index):
    seeds = "" if index == 0 else f"[seeds]\ngossip = 127.0.0.1:{BASE_PORT + 2}\n"
    port = BASE_PORT + 3 * index
    return (
        f"[instance]\nid = i{index}\ndata_centre = dc{index % DATA_CENTRES}\nthreads = 2\n"
        f"[listen]\nhttp = 127.0.0.1:{port}\npeer = 127.0.0.1:{port + 1}\n"
        f"gossip = 127.0.0.1:{port + 2}\n"
        f"[platform]\nendpoint = 127.0.0.1:{BASE_PORT - 1}\n"
        f"[log]\nlevel = error\n[stop]\nnotice_ms = 0\n{seeds}")


def metrics(index):
    url = f"http://127.0.0.1:{BASE_PORT + 3 * index}/metrics"
    text = urllib.request.urlopen(url, timeout=5).read().decode()
    return {name: float(value) for name, value in re.findall(r"^(\w+) (\S+)$", text, re.MULTILINE)}


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) / 1024


def apply_configuration(searchers):
    request = urllib.request.Request(
        f"http://127.0.0.1:{BASE_PORT - 1}/objects/configuration/current?expected=0",
        data=configuration(searchers).encode(), method="PUT")
    urllib.request.urlopen(request, timeout=5).read()


def sample(processes):
    """Returns the totals of CPU time, bytes and datagrams, and the smallest member count."""
    readings = [metrics(index) for index in range(len(processes))]
    return {
        "cpu": sum(cpu_seconds(process.pid) for process in processes),
        "sent": sum(m["greengage_gossip_sent_bytes_total"] for m in readings),
        "received": sum(m["greengage_gossip_received_bytes_total"] for m in readings),
        "datagrams": sum(m["greengage_gossip_sent_datagrams_total"] for m in readings),
        "members": min(m["greengage_members"] for m in readings),
    }


def measure(size, arguments, directory):
    binaries = pathlib.Path(arguments.bin)
    platform = subprocess.Popen(
        [binaries / "greengage-platform", "--listen", f"127.0.0.1:{BASE_PORT - 1}"],
        stdout=subprocess.DEVNULL)
    processes = []
    try:
        time.sleep(0.3)
        apply_configuration(arguments.searchers)
        for index in range(size):
            path = directory / f"i{index}.ini"
            path.write_text(settings(index))
            processes.append(subprocess.Popen(
                [binaries / "greengaged", "--settings", path], stdout=subprocess.DEVNULL))
        time.sleep(arguments.settle)
        before, started = sample(processes), time.monotonic()
        time.sleep(arguments.window)
        after, seconds = sample(processes), time.monotonic() - started
        per_instance = {key: (after[key] - before[key]) / seconds / size for key in before}
        headers = 2 * per_instance["datagrams"] * UDP_IP_HEADER_BYTES
        return {
            "instances": size,
            "members_known": int(after["members"]),
            "cpu_percent": 100 * per_instance["cpu"],
            "bytes_per_second": per_instance["sent"] + per_instance["received"] + headers,
            "datagrams_per_second": per_instance["datagrams"],
            "resident_mb": max(resident_megabytes(p.pid) for p in processes),
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()
        platform.terminate()
        platform.wait()


def slope(rows, key):
    """Returns the least squares slope of `key` over the number of instances."""
    xs, ys = [r["instances"] for r in rows], [r[key] for r in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_squares = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_squares if sum_squares else 0.0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--sizes", default="10,30,100")
    parser.add_argument("--searchers", type=int, default=2)
    parser.add_argument("--settle", type=float, default=8)
    parser.add_argument("--window", type=float, default=20)
    parser.add_argument("--csv")
    arguments = parser.parse_args()
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        for size in map(int, arguments.sizes.split(",")):
            rows.append(measure(size, arguments, pathlib.Path(directory)))
            print(", ".join(f"{k} {v:.4g}" for k, v in rows[-1].items()), flush=True)
    for key in ("cpu_percent", "bytes_per_second", "resident_mb"):
        print(f"slope of {key} per instance: {slope(rows, key):.4g}")
    if arguments.csv:
        lines = [",".join(rows[0])] + [",".join(str(v) for v in row.values()) for row in rows]
        pathlib.Path(arguments.csv).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
