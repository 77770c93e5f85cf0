"""A machine that the store turned away keeps an old configuration in touch."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))
import deployment as d  # noqa: E402

CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 5.0
SILENCE_S = 5.0
STALE_READS_S = float(os.environ.get("STALE_S", "6.0"))
ZONES = {"musanze-a": "nyiragongo", "huye-a": "nyungwe", "gasabo-a": "kigali"}


async def scenario(record, trouble, place, instances):
    store = d.Store(record)
    store.STALE_S = STALE_READS_S
    await store.listen()
    old = [d.Searcher(store, record, "i-old%d" % i, "old") for i in range(2)]
    new = [d.Searcher(store, record, "i-new%d" % i, "new") for i in range(2)]
    for searcher in old + new:
        await searcher.start()
    await store.put("config", "main",
                    d.configuration(4, [d.route("r", "old")], ["old", "new"]))
    doors = []
    for zone in ZONES:
        door = d.StoreDoor(store)
        await door.listen()
        doors.append(door)
        instances.append(d.Instance("edge-%s-1" % zone, door.address,
                                    d.UMUKONJE, place, zone, ZONES))
    for instance in instances:
        await instance.start()
    for instance in instances:
        if not await instance.wait_ready():
            record("%s does not become ready" % instance.name)
            return 2
    record("three instances are ready")
    sent = {}
    statuses = {}

    async def one(instance, number):
        request_id = "%s/%d" % (instance.name, number)
        sent[request_id] = d.now()
        answer = await d.request(instance.front, request_id)
        statuses[request_id] = d.status_of(answer)

    async def traffic():
        number = 0
        while True:
            number += 1
            for instance in instances:
                asyncio.create_task(one(instance, number))
            await asyncio.sleep(0.1)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(8)
    if trouble:
        record("the store turns %s away in silence" % instances[0].name)
        doors[0].silent = True
    await asyncio.sleep(SILENCE_S - 0.5)
    await store.put("config", "main",
                    d.configuration(9, [d.route("r", "new")], ["old", "new"]))
    acked = d.now()
    record("version 9 (route r to the service new) is acknowledged")
    await asyncio.sleep(0.5)
    doors[0].silent = False
    stable = d.now()
    record("the store serves all machines")
    await asyncio.sleep(12)
    flow.cancel()
    await asyncio.sleep(0.5)
    due = max(acked + CONFIG_APPLY_S, stable + STABLE_WINDOW_S)
    run_by_old = [request_id for searcher in old
                  for _, request_id in searcher.runs]
    fresh = sum(len(searcher.runs) for searcher in new)
    ok = sum(1 for status in statuses.values() if status == 200)
    record("%d requests, %d answered 200, %d run by the new service"
           % (len(sent), ok, fresh))
    broken = 0
    for instance in instances:
        late = [sent[request_id] for request_id in run_by_old
                if request_id.startswith(instance.name + "/")
                and sent[request_id] > due]
        broken += len(late)
        record("%s: %d requests run by the old service though sent while in "
               "touch, the last one %.2f s after the acknowledgement, %.2f s "
               "after the store was back"
               % (instance.name, len(late), max(late, default=acked) - acked,
                  max(late, default=stable) - stable))
    if ok < 300 or fresh == 0:
        return 2
    return 1 if broken else 0


d.main(__file__, scenario)
