"""A searcher sends bytes without end within a chunked body; the instances keep
them all and exceed their memory limit."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet as f  # noqa: E402

MEMORY_MB = 260           # `limits.memory_mb` of the small sites.
ENDS, MACHINES = 3, 2     # The rule: three ends on two machines.
DEADLINE_MS = 8000        # `ledger-sync`.
LENGTH_S = 60
BYTES_PER_S = 100_000_000  # In all, 800 Mbit/s; a link has 1,000.


class Link:
    """Shares the bytes of the faulty searcher's link among its connections."""

    def __init__(self):
        self.free_at = 0.0

    async def wait_for(self, size):
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size / BYTES_PER_S
        await asyncio.sleep(self.free_at - now)


async def endless(searcher, link, writer, request):
    """A chunk's size and then bytes that never end its line."""
    searcher.record.write(f"{searcher.id} sends bytes without end for "
                          f"{request.get(f.REQUEST_ID)}")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                 + f.header_block([(f.REQUEST_ID, request.get(f.REQUEST_ID)),
                                   (f.STAMP, "x")]).encode() + b"\r\n5;")
    piece = b"a" * 200_000
    while True:  # Until the caller closes.
        await link.wait_for(len(piece))
        writer.write(piece)
        await writer.drain()


async def watch_memory(fleet, instance, ends):
    """Ends a process above the limit, as the platform does, and starts it
    again."""
    peak = 0
    while True:
        await asyncio.sleep(0.02)
        memory = instance.memory_mb()
        peak = max(peak, memory)
        if memory > MEMORY_MB or not instance.is_running():
            fleet.record.say(f"{instance.name} ends with {memory:.0f} MB; "
                             f"{MEMORY_MB} MB are allowed")
            ends[instance.name] = ends.get(instance.name, 0) + 1
            instance.kill()
            await asyncio.sleep(0.5)
            instance.start()


async def case(fleet):
    ledger = await fleet.add_searchers(3, "ledger", work_s=0.16, queue=8)
    await fleet.configure(1, [
        {"name": "sync", "host": f.HOST, "path_prefix": "/sync/",
         "type": "non_idempotent", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": 1500, "priority": 2, "service": "ledger",
         "max_attempts": 2}], {"ledger": 110})
    await fleet.start_instances(["a", "b", "c"])
    faulty = ledger[0]
    if f.TROUBLE:
        link = Link()

        async def hook(_, writer, request):
            await endless(faulty, link, writer, request)
            return True
        faulty.answer_hook = hook
    ends, results = {}, []
    watchers = [asyncio.create_task(watch_memory(fleet, instance, ends))
                for instance in fleet.instances]

    async def client(instance):
        _, answer = await fleet.request(instance, "POST", "/sync/1",
                                        DEADLINE_MS, b"x" * 300)
        results.append(answer.status)

    clients = []
    end = fleet.record.now() + LENGTH_S
    while fleet.record.now() < end:
        for instance in fleet.instances:
            clients.append(asyncio.create_task(client(instance)))
        if sum(count >= ENDS for count in ends.values()) >= MACHINES:
            break
        await asyncio.sleep(0.4)
    for watcher in watchers:
        watcher.cancel()
    await asyncio.wait(clients, timeout=10)
    fleet.record.say(
        f"answers: {({s: results.count(s) for s in sorted(set(results))})}; "
        f"ends for memory, by machine: {ends}")
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


f.main(HERE, case)
