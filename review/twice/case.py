"""A second answer arrives late, at the repeat of the very request that it
rejected, so that the repeat counts as rejected although it runs."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet as f  # noqa: E402

DEADLINE_MS = 2500   # `order-history` of umukonje-search.
REJECTED = 0.45      # `srv_grey`, `how = "shed"`, `x`.
DOUBLED = 0.03       # `garble`, `how = "extra late"`, `x`; half the searchers.
LENGTH_S = 75
PER_S = 24
SEED = 34


def make_hook(searcher, chance, doubles):
    """Rejects a part of the requests. With `doubles`, a part of the answers is
    sent a second time, where the next answer on the connection is expected."""
    late = {}
    send = searcher.send

    async def send_and_keep(writer, data):
        await send(writer, data)
        if doubles and chance.random() < DOUBLED:
            late[writer] = data

    async def hook(_, writer, request):
        request_id = request.get(f.REQUEST_ID)
        extra = late.pop(writer, None)
        if extra:
            searcher.record.write(f"{searcher.id} sends a second copy of an "
                                  f"earlier answer as {request_id} arrives")
            await send(writer, extra)
        if chance.random() < REJECTED:
            searcher.record.write(f"{searcher.id} rejects {request_id}")
            await searcher.send(writer, searcher.rejection(request))
            return True
        return False

    searcher.send = send_and_keep
    return hook


async def case(fleet):
    chance = random.Random(SEED)
    orders = await fleet.add_searchers(2, "orders", slots=3, work_s=0.09)
    for number, searcher in enumerate(orders):
        searcher.answer_hook = make_hook(searcher, chance,
                                         f.TROUBLE and number == 0)
    await fleet.configure(1, [
        {"name": "order", "host": f.HOST, "path_prefix": "/order/",
         "type": "non_idempotent", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": 800, "priority": 2, "service": "orders",
         "max_attempts": 2}], {"orders": 40})
    await fleet.start_instances(["a", "b", "c"],
                                bounds={"drain_ms": 3000, "budget_slack": 56})
    answers = {}

    async def client(instance):
        request_id, answer = await fleet.request(
            instance, "POST", "/order/1", DEADLINE_MS, b"x" * 300)
        answers[request_id] = answer.status

    clients = []
    for number in range(LENGTH_S * PER_S):
        clients.append(asyncio.create_task(
            client(fleet.instances[number % len(fleet.instances)])))
        await asyncio.sleep(1 / PER_S)
    await asyncio.wait(clients, timeout=10)
    runs = collections.Counter(request_id for searcher in orders
                               for _, request_id in searcher.ran)
    twice = sorted(r for r, count in runs.items() if count > 1)
    refused = sorted(r for r, status in answers.items()
                     if status in (408, 421, 429, 503) and runs[r])
    fleet.record.say(f"requests: {len(answers)}, answers: "
                     f"{dict(collections.Counter(answers.values()))}")
    fleet.record.say(f"TWICE: ran more than once: {twice}")
    fleet.record.say(f"REFUSED: answered as not run, but ran: {refused}")
    return bool(twice)


f.main(HERE, case)
