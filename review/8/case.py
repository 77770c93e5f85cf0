"""A failing searcher's own 503 is passed on for work that it has done."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))
import deployment as d  # noqa: E402

FAILING_SHARE = 0.4


class FailingSearcher(d.Searcher):
    """Does the work and then fails part of its requests, its health good."""

    failing = False

    async def run(self, request, request_id, writer):
        answer = await super().run(request, request_id, writer)
        if self.failing and len(self.runs) % 5 < 5 * FAILING_SHARE:
            self.record("searcher %s answers %s 503, without Not-Executed"
                        % (self.id, request_id))
            return d.response(
                503, [(d.PREFIX + "Request-Id", request_id),
                      (d.PREFIX + "Server-Stamp", self.stamp(request_id))],
                b"failed after the work was done")
        return answer


async def scenario(record, trouble, place, instances):
    store = d.Store(record)
    await store.listen()
    searchers = [FailingSearcher(store, record, "i-%d" % i, "orders")
                 for i in range(5)]
    searchers[0].failing = trouble
    for searcher in searchers:
        await searcher.start()
    await store.put("config", "main", d.configuration(
        4, [d.route("r", "orders", kind="non_idempotent")], ["orders"]))
    instance = d.Instance("edge-1", store.address, d.UMUKONJE, place)
    instances.append(instance)
    await instance.start()
    if not await instance.wait_ready():
        record("%s does not become ready" % instance.name)
        return 2
    results = {}  # Request id to status and order number.

    async def order(number):
        """A client: tries again only after a promise, with a new id."""
        for attempt in range(2):
            request_id = "o%03d-%d" % (number, attempt)
            answer = await d.request(instance.front, request_id, method="POST",
                                     body=b"order %d" % number)
            status = d.status_of(answer)
            results[request_id] = (status, number)
            record("client got %s for %s" % (status, request_id))
            if status not in (429, 503, 408, 421):
                return
            await asyncio.sleep(0.1)

    for number in range(400):
        await order(number)
    ran = {}
    for searcher in searchers:
        for _, request_id in searcher.runs:
            ran[request_id] = ran.get(request_id, 0) + 1
    broken = [request_id for request_id, (status, _) in results.items()
              if status in (429, 503, 408, 421) and request_id in ran]
    twice = [number for number in range(400)
             if sum(1 for request_id in ran
                    if results[request_id][1] == number) > 1]
    served = sum(1 for status, _ in results.values() if status == 200)
    record("%d requests answered 200; answered 429, 503, 408 or 421 although "
           "run: %d; orders that ran more than once: %d"
           % (served, len(broken), len(twice)))
    if served < 300:
        return 2
    return 1 if broken else 0


d.main(__file__, scenario)
