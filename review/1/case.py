"""A second copy of a rejection arrives late, where the answer to the repeat of
the same request is expected. The repeat then counts as rejected although it
runs, and is sent once more or answered as not run."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet as f  # noqa: E402

SERVICES = 30        # Each with two searchers, as the shards have.
DEADLINE_MS = 2500   # `order-history` of umukonje-search.
PER_S = 10           # For each service.
SEED = 34
CYCLE_S, CYCLES = 10, 7

# srv_grey, how = "shed across", share = 0.8, x = 0.6, for_s = 9.0: the
# searchers of 24 of 30 services reject a part of their requests.
SHED_SERVICES, SHED_X, SHED_S = 24, 0.35, (0, 9)
# garble, how = "extra late across", share = 0.5, x = 0.04, for_s = 5.0: one of
# the two searchers of each service sends a part of its answers twice.
GARBLE_X, GARBLE_S = 0.04, (2, 7)


class Faults:
    """What goes wrong at a searcher, in each cycle."""

    def __init__(self, fleet, searcher, chance, sheds, doubles):
        self.fleet, self.searcher, self.chance = fleet, searcher, chance
        self.sheds, self.doubles = sheds, doubles
        self.late = {}  # By connection: the copy of an answer.
        self.plain_send = searcher.send
        searcher.send = self.send
        searcher.answer_hook = self.handle

    def within(self, span):
        return span[0] <= self.fleet.record.now() % CYCLE_S < span[1]

    async def send(self, writer, data):
        await self.plain_send(writer, data)
        if (self.doubles and self.within(GARBLE_S)
                and self.chance.random() < GARBLE_X):
            self.late[writer] = data

    async def handle(self, _, writer, request):
        searcher, request_id = self.searcher, request.get(f.REQUEST_ID)
        if extra := self.late.pop(writer, None):
            searcher.record.write(f"{searcher.id} sends a second copy of an "
                                  f"earlier answer as {request_id} arrives")
            await self.plain_send(writer, extra)
        if (self.sheds and self.within(SHED_S)
                and self.chance.random() < SHED_X):
            searcher.record.write(f"{searcher.id} rejects {request_id}")
            await searcher.send(writer, searcher.rejection(request))
            return True
        return False


async def case(fleet):
    chance = random.Random(SEED)
    names = [f"orders{number}" for number in range(SERVICES)]
    for number, name in enumerate(names):
        pair = await fleet.add_searchers(2, name, slots=3, work_s=0.09)
        for place, searcher in enumerate(pair):
            Faults(fleet, searcher, chance, number < SHED_SERVICES,
                   f.TROUBLE and place == 0)
    await fleet.configure(1, [
        {"name": name, "host": f.HOST, "path_prefix": f"/{name}/",
         "type": "non_idempotent", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": 800, "priority": 2, "service": name,
         "max_attempts": 2} for name in names], {name: 40 for name in names})
    await fleet.start_instances(["a", "b", "c"],
                                bounds={"drain_ms": 3000, "budget_slack": 56})
    answers = {}

    async def client(number, name):
        request_id, answer = await fleet.request(
            fleet.instances[number % len(fleet.instances)], "POST",
            f"/{name}/1", DEADLINE_MS, b"x" * 300)
        answers[request_id] = answer.status

    clients = set()
    for number in range(CYCLES * CYCLE_S * PER_S):
        for place, name in enumerate(names):
            task = asyncio.create_task(client(number + place, name))
            clients.add(task)
            task.add_done_callback(clients.discard)
        await asyncio.sleep(1 / PER_S)
    if clients:
        await asyncio.wait(clients, timeout=10)
    runs = collections.Counter(request_id for searcher in fleet.searchers
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
