"""The body of a request with homes is sent to an instance abroad.

Three regions with two instances and two searchers of each shard each. All
instances of the client's region are killed (one region may be lost), so that
the platform gives the client an instance of the nearest zone. The route may be
served in a third region only.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import deployment as dp  # noqa: E402

ZONES = {"taipei-a": "tw-north", "taichung-a": "tw-central", "kaohsiung-a": "tw-south"}
CLIENT_REGION, HOME = "tw-north", "tw-south"
# 54 connections for 64 instances at the site, 5 for 6 here.
CONNECTIONS = 5
SHARDS = ["shard-1", "shard-2", "shard-3"]
REQUESTS = 40


async def play(d):
    for zone in ZONES:
        for number in (1, 2):
            await d.instance("edge-%s-%d" % (zone, number), zone)
        for shard in SHARDS:
            await d.searcher("i-%s-%s" % (shard, zone), shard, zone)
    await d.configure(1, [
        dp.route("homed", "/homed/", gather=SHARDS, allowed_regions=[HOME]),
    ], [dp.service(name, CONNECTIONS) for name in SHARDS])
    await d.start_all()
    await asyncio.sleep(6)  # All instances have counted each other.

    def in_zone(zone):
        return [i for i in d.instances.values() if i.zone == zone]

    if dp.TROUBLE:
        for instance in in_zone("taipei-a"):
            instance.process.kill()
        d.record.say("the instances of taipei-a are killed; clients of %s are given "
                     "those of the nearest zone, taichung-a" % CLIENT_REGION)
        await asyncio.sleep(2)
        entries = in_zone("taichung-a")
    else:
        entries = in_zone("taipei-a")
    asked, answered = {}, 0
    for number in range(REQUESTS):
        entry = entries[number % 2]
        rid, _, status, _, _ = await d.call(entry, "POST", "/homed/x", body=b"secret-%d" % number)
        asked[rid] = entry
        answered += status == 200
        await asyncio.sleep(0.1)
    d.record.say("%d of %d requests of clients of %s are answered with 200"
                 % (answered, REQUESTS, CLIENT_REGION))
    if answered < REQUESTS / 2:
        raise dp.CannotRun("too few answers")
    broken = {}
    for searcher in d.searchers:
        for _, rid, owner, _, body in searcher.arrivals:
            entry = asked.get(rid)
            if entry is None:
                continue
            if ZONES[searcher.zone] != HOME:
                broken[rid] = "%s reached %s, abroad" % (rid, searcher.id)
            if owner is None:
                raise dp.CannotRun("a sender is not known")
            region = ZONES[d.instances[owner].zone]
            if owner != entry.name and region not in (HOME, CLIENT_REGION) and body:
                broken[rid] = ("the body of %s, sent by a client of %s to %s, home %s, was "
                               "sent on to %s in %s" % (rid, CLIENT_REGION, entry.name, HOME,
                                                        owner, region))
    return list(broken.values())


dp.main(play, HERE, ZONES, {"evacuate_ms": 5000})
