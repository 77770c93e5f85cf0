"""A network in which single machines can be cut off from the searchers: such a
machine has a relay of its own to each searcher, and a view of the store with
the relays' addresses."""

import asyncio
import copy

import fleet as f


class Relay:
    """Passes bytes on to a searcher. While `cut` is set, connections are reset
    as soon as the machine has sent a byte on them."""

    def __init__(self, searcher):
        self.searcher, self.cut, self.port = searcher, False, 0
        self.server, self.resets = None, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0,
                                                 backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.searcher.address, self.searcher.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(reader, to_writer, writer, True),
                             self.copy(to_reader, writer, to_writer, False))

    async def copy(self, reader, writer, other, from_machine):
        try:
            while data := await reader.read(65536):
                if self.cut:
                    self.resets += from_machine
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if self.cut:
            writer.transport.abort()
            other.transport.abort()
        else:
            writer.close()


class StoreView(f.Store):
    """The same objects; entries of searchers name the relays of one machine."""

    def __init__(self, store, relays):
        super().__init__()
        self.store = store
        self.addresses = {relay.searcher.id: f"127.0.0.1:{relay.port}"
                          for relay in relays}

    async def answer(self, request):
        status, body = await self.store.answer(request)
        body = copy.deepcopy(body)
        for item in body.get("items", []) + [
                event["object"] for event in body.get("events", [])]:
            name = item["meta"]["name"]
            if name in self.addresses and isinstance(item["spec"], dict):
                item["spec"]["address"] = self.addresses[name]
        return status, body


async def start_relays(fleet):
    """Returns the relays of one machine and its view of the store."""
    relays = [Relay(searcher) for searcher in fleet.searchers]
    for relay in relays:
        await relay.start()
    view = StoreView(fleet.store, relays)
    await view.start()
    return relays, view
