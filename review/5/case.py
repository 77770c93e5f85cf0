"""Requests that wait for a free connection to a searcher are still sent to it
long after it reported that it is draining."""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet as f  # noqa: E402

DEADLINE_MS = 8000   # `ledger-sync` of kb-teasearch.
DRAIN_S = 4.0        # `drain_ms`.
LONGER_S = 3.0       # "a little longer (at times many seconds)"
USUAL_PER_S = 22.5   # `ledger-sync`.
BURST = 2.6          # `burst`, `x`, in the days of the small sites.
BURST_S = 6.7        # `for_s` of such a burst.
LEAVES_AT_S = 6.0


async def case(fleet):
    leaving, _ = await fleet.add_searchers(2, "ledger", work_s=0.16, queue=8)
    await fleet.configure(1, [
        {"name": "sync", "host": f.HOST, "path_prefix": "/sync/",
         "type": "non_idempotent", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": 1500, "priority": 2, "service": "ledger",
         "max_attempts": 2}], {"ledger": 110})
    await fleet.start_instances(["a"])
    answers = collections.Counter()
    accepted_at = None

    async def client():
        _, answer = await fleet.request(fleet.instances[0], "POST", "/sync/1",
                                        DEADLINE_MS, b"x" * 300)
        answers[answer.status] += 1

    async def leave():
        nonlocal accepted_at
        await asyncio.sleep(LEAVES_AT_S)
        await leaving.drain()
        accepted_at = fleet.record.now()
        fleet.record.say(f"{leaving.id} reports draining, accepted")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        await leaving.stop()
        fleet.record.say(f"{leaving.id} has left")

    leave_task = asyncio.create_task(leave())
    per_s = USUAL_PER_S * (BURST if f.TROUBLE else 1)
    clients = []
    started = fleet.record.now()
    while (passed := fleet.record.now() - started) < LEAVES_AT_S + 10:
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(1 / (per_s if passed < BURST_S else 4))
    await leave_task
    await asyncio.wait(clients, timeout=12)
    late = [(round(at - accepted_at, 2), request_id)
            for at, request_id in leaving.arrivals
            if at > accepted_at + DRAIN_S]
    fleet.record.say(f"answers: {dict(answers)}")
    fleet.record.say(f"{len(late)} requests reached {leaving.id} later than "
                     f"{DRAIN_S} s after that; the last: {late[-3:]}")
    return bool(late)


f.main(HERE, case)
