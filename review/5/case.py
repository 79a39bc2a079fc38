"""A machine that relays for another one hangs when that one is restarted."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

SPELLS = 5
CUT_S = 5.5
KILL_AFTER_S = 3.0
DOWN_S = 3.5
CONFIG_S = standin.BOUNDS["configApplyMs"] / 1000


def routes_of(version):
    # Each version adds a route and keeps the last ones.
    return [("r-q", "/q/", "svc-a", {})] + [
        ("r-n%d" % number, "/n%d/" % number, "svc-a", {})
        for number in range(max(version - 9, 1), version + 1)]


class Path:
    """The path of one machine to the store. While it is cut, bytes and new
    connections are held up, as by a partition."""

    def __init__(self, store):
        self.there = store.server.address.rsplit(":", 1)
        self.open = asyncio.Event()
        self.open.set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def pump(self, reader, writer):
        try:
            data = True
            while data:
                data = await reader.read(65536)
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            await self.open.wait()
            store_reader, store_writer = await asyncio.open_connection(
                self.there[0], int(self.there[1]))
            await asyncio.gather(self.pump(reader, store_writer),
                                 self.pump(store_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()


async def case(fleet, trouble):
    fleet.put_config(1, routes_of(1))
    for number in range(8):
        await fleet.add_runner("i-%08x" % (0x7f3a91c2 + number), "svc-a",
                               ["a", "r1-1"],
                               {"cpu": 64000, "memMb": 131072, "gpu": 8})
    path = Path(fleet.store)
    await path.start()
    fleet.store_paths = {"front-6": path.address}
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(6)
    weak = next(machine for machine in fleet.machines
                if machine.name == "front-6")
    if fleet.holder() is weak:
        raise RuntimeError("the machine to be cut off schedules")
    calm = [machine for machine in fleet.machines if machine is not weak]
    version = 1
    broken = []
    for spell in range(SPELLS):
        if trouble:
            path.open.clear()
        fleet.record.note("%s is %s the store" % (
            weak.name, "cut off from" if trouble else "connected to"))
        await asyncio.sleep(KILL_AFTER_S)
        if trouble:
            weak.signal(signal.SIGKILL)
            await weak.process.wait()
        version += 1
        fleet.put_config(version, routes_of(version))
        acked = fleet.record.now()

        async def probe(machine):
            # The first call is sent just after configApplyMs.
            await asyncio.sleep(CONFIG_S + 0.02)
            while fleet.record.now() < acked + 3.4:
                sent = fleet.record.now()
                status, answer = await standin.call(
                    machine.front, "GET", "/n%d/" % version)
                took = fleet.record.now() - sent
                fleet.record.note("client: GET /n%d/ at %s -> %s after %.0f "
                                  "ms" % (version, machine.name, status,
                                          took * 1000))
                if status in (401, 403, 404):
                    broken.append(
                        "CONFIG: GET /n%d/ sent to %s at %.3f was answered "
                        "%d; version %d was acknowledged %.3f s before" % (
                            version, machine.name, sent, status, version,
                            sent - acked))
                    fleet.record.note(broken[-1])
                await asyncio.sleep(0.1)

        async def ask(machine):
            # A caller of another job: how long is the machine silent?
            status, _ = await standin.call(
                machine.front, "GET", "/q/%016x" % (0xabc0 + version))
            fleet.record.note(
                "client: GET /q/%016x at %s -> %s after %.0f ms" % (
                    0xabc0 + version, machine.name, status,
                    (fleet.record.now() - acked) * 1000))

        await asyncio.gather(*[probe(machine) for machine in calm],
                             *[ask(machine) for machine in calm])
        await asyncio.sleep(max(acked + CUT_S - KILL_AFTER_S -
                                fleet.record.now(), 0))
        path.open.set()
        await asyncio.sleep(max(acked + DOWN_S - fleet.record.now(), 0))
        if trouble:
            await weak.start()
        await asyncio.sleep(6)
    path.server.close()
    return broken


standin.main(FOLDER, case)
