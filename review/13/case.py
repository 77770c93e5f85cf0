"""Instances that were restarted take themselves for the only ones.

Six instances share what a searcher in need takes: it names its limit in all its
answers. They are restarted in turn, one each second. Meanwhile the store's reads
that may be old are STALE_S old.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import deployment as dp  # noqa: E402

ZONES = {"taipei-a": "tw-north", "taichung-a": "tw-central", "kaohsiung-a": "tw-south"}
STALE_S = 5.0          # For STALE_FOR_S, from the first SIGTERM.
STALE_FOR_S = 14.0
GAP_S = 1.0
LIMIT = 8.0            # Requests a second that each searcher takes from all.
PER_INSTANCE = 10      # Requests a second of clients at each instance in rotation.
STABLE_S = 6.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5


async def clients(d, instance, tasks):
    while True:
        if instance.in_rotation:
            tasks.add(asyncio.ensure_future(d.call(instance, "GET", "/desk/x", deadline_ms=2000)))
        await asyncio.sleep(1 / PER_INSTANCE)


async def play(d):
    for number in (1, 2):
        for zone in ZONES:
            await d.instance("edge-%s-%d" % (zone, number), zone)
    passed_on = {}  # (searcher, instance) -> time of its first such answer since its start

    def limited(searcher):
        async def work(rid, owner):
            status, headers, body = await searcher.run(rid, owner)
            passed_on.setdefault((searcher.id, owner, d.instances[owner].started), d.record.now())
            return status, headers + [("Server-Limit", "%.1f" % LIMIT)], body
        return work

    for zone in list(ZONES)[:2]:
        searcher = await d.searcher("i-desk-%s" % zone, "desk", zone, 3)
        searcher.work = limited(searcher)
        searcher.work_s = 0.03
    await d.configure(1, [dp.route("desk", "/desk/", service="desk")], [dp.service("desk", 440)])
    await d.start_all()
    await asyncio.sleep(14)  # Traffic starts so long after the machines.
    tasks = set()
    for instance in d.instances.values():
        d.spawn(d.rotation(instance))
        d.spawn(clients(d, instance, tasks))
    await asyncio.sleep(10)
    if dp.TROUBLE:
        began = d.record.now()
        d.store.stale_s = STALE_S
        d.record.say("reads of the store that may be old are %.1f s old" % STALE_S)
        for instance in d.instances.values():
            d.spawn(instance.restart())
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(began + STALE_FOR_S - d.record.now())
        d.store.stale_s = 0
        d.record.say("they are current again")
    await asyncio.sleep(12)

    broken = []
    for searcher in d.searchers:
        counted, first = [], None
        for at, rid, owner, _, _ in searcher.arrivals:
            if owner is None:
                raise dp.CannotRun("a sender is not known")
            starts = [key[2] for key in passed_on if key[:2] == (searcher.id, owner)
                      and key[2] <= at]
            if not starts:
                continue
            named = passed_on[(searcher.id, owner, max(starts))]
            first = named if first is None else min(first, named)
            # A restart excuses the instance until it is in touch again.
            started = max(starts)
            if at >= named + 0.5 and (started == 0 or at >= started + STABLE_S):
                counted.append(at)
        counted = [at for at in counted if at >= first + STABLE_S]
        most, at = max(((sum(1 for b in counted if a <= b < a + WINDOW_S), a) for a in counted),
                       default=(0, 0))
        d.record.say("%s: at most %d requests in 4 s, from %.3f; allowed are %.0f"
                     % (searcher.id, most, at, ALLOWED))
        if most > ALLOWED:
            broken.append("%s got %d requests in 4 s, more than 1.5 x %.0f x 4 + 5 = %.0f"
                          % (searcher.id, most, LIMIT, ALLOWED))
    return broken


dp.main(play, HERE, ZONES, {"drain_ms": 6000, "config_apply_ms": 6000, "stable_window_ms": 6000,
                            "budget_slack": 168})
