"""A withdrawn key opens a service that no configuration gave it.

Three zones with two instances each; in each zone one gathers for both. The store
turns the other instance of one zone away, while the operator first takes a key away
and then, with the next version, moves the gather to the next set of shards.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import deployment as dp  # noqa: E402

ZONES = {"taipei-a": "tw-north", "taichung-a": "tw-central", "kaohsiung-a": "tw-south"}
CONNECTIONS = 5  # 54 for 64 instances at the site, 5 for 6 here.
OLD, NEW = ["old-1", "old-2", "old-3"], ["new-1", "new-2", "new-3"]
TURNED_AWAY_S = 9
KEPT, TAKEN = "kept-key-kept-key-00", "taken-key-taken-key-"


def tenants(*keys):
    return [{"name": "roaster", "api_keys": list(keys), "priority": 1, "rate_per_s": 0,
             "burst": 0, "allowed_regions": []}]


async def play(d):
    for zone in ZONES:
        for number in (1, 2):
            await d.instance("edge-%s-%d" % (zone, number), zone)
    for zone in ZONES:
        for shard in OLD + NEW:
            await d.searcher("i-%s-%s" % (shard, zone), shard, zone)
    services = [dp.service(name, CONNECTIONS) for name in OLD + NEW]

    def routes(shards):
        return [dp.route("lots", "/lots/", gather=shards)]

    async def ask(instance, key):
        rid, _, status, _, _ = await d.call(instance, "GET", "/lots/x",
                                            headers={"Authorization": "Token " + key})
        return rid, status

    await d.configure(1, routes(OLD), services, tenants=tenants(KEPT, TAKEN))
    await d.start_all()
    await asyncio.sleep(6)  # All instances have counted each other.

    # Each instance is asked once, to find one that gathers at another.
    asked = {}
    for name, instance in d.instances.items():
        rid, status = await ask(instance, KEPT)
        if status != 200:
            raise dp.CannotRun("no answer from %s" % name)
        asked[rid] = name
    forwarders = sorted({asked[rid] for s in d.searchers for _, rid, owner, _, _ in s.arrivals
                         if rid in asked and owner != asked[rid]})
    if not forwarders:
        raise dp.CannotRun("no instance gathers at another")
    stale = d.instances[forwarders[0]]
    d.record.say("%s gathers at another instance" % stale.name)

    if dp.TROUBLE:
        d.store.refused.add(stale.name)
        d.record.say("the store turns %s away (503)" % stale.name)
        await asyncio.sleep(1)
    until = d.record.now() + TURNED_AWAY_S - 1
    await d.configure(2, routes(OLD), services, tenants=tenants(KEPT))
    d.record.say("version 2 has taken a key away")
    await asyncio.sleep(2)
    await d.configure(3, routes(NEW), services, tenants=tenants(KEPT))
    await asyncio.sleep(1)
    with_taken, statuses = set(), {}
    while d.record.now() < until:
        rid, status = await ask(stale, TAKEN)
        with_taken.add(rid)
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.2)
    d.store.refused.clear()
    d.record.say("answers to requests with the key that was taken away: %s"
                 % sorted(statuses.items()))
    ran = {}
    for searcher in d.searchers:
        for _, rid, _, _, _ in searcher.arrivals:
            if rid in with_taken and searcher.service in NEW:
                ran.setdefault(rid, set()).add(searcher.service)
    return ["%s ran at %s; the only version with its key sends it to %s"
            % (rid, ", ".join(sorted(services)), ", ".join(OLD))
            for rid, services in sorted(ran.items())]


dp.main(play, HERE, ZONES, {"drain_ms": 6000, "config_apply_ms": 6000, "stable_window_ms": 6000,
                            "budget_slack": 168, "quota_window_s": 5, "quota_overage": 0.1,
                            "quota_slack": 20, "evacuate_ms": 5000})
