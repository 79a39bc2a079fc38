"""Runners are added until the fleet has more than 64 labels."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

RACK = 8
SMALL_RACKS, LARGE_RACKS = 1, 54
NEW_RACKS = 13
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 8}
DEMAND = {"cpu": 26000, "memMb": 53000}


async def add_racks(fleet, service, first, count):
    for rack in range(first, first + count):
        for number in range(RACK):
            await fleet.add_runner("i-%08x" % (0x70000000 + rack * RACK +
                                               number), service,
                                   ["a", "r1-%d" % rack], CAPACITY)


async def case(fleet, trouble):
    fleet.put_config(3, [("r-a", "/a/", "svc-a", {}),
                         ("r-b", "/b/", "svc-b", {})],
                     services=("svc-a", "svc-b"))
    await add_racks(fleet, "svc-a", 0, SMALL_RACKS)
    await add_racks(fleet, "svc-b", SMALL_RACKS, LARGE_RACKS)
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(6)

    if trouble:
        await add_racks(fleet, "svc-b", SMALL_RACKS + LARGE_RACKS, NEW_RACKS)
        fleet.record.note("%d runners are added to svc-b" %
                          (NEW_RACKS * RACK))
    await asyncio.sleep(6)
    # More than the runners of svc-a hold at a time.
    step = {"count": 24, "estimateMs": 2500, **DEMAND}
    for number in range(3):
        job = "%016x" % (0x5c0e7a21d94b36f8 + number)
        if await fleet.submit(fleet.machines[number], "/a/", job, [step],
                              dict(DEMAND, ms=2500)) != 200:
            raise RuntimeError("a job wasn't accepted")
    await asyncio.sleep(25)
    for number in range(3):
        await fleet.state(fleet.machines[0], "/a/",
                          "%016x" % (0x5c0e7a21d94b36f8 + number))
    broken = []
    for at, runner, task, run, _ in fleet.starts:
        if runner.service != "svc-a":
            broken.append("ROUTE: %s run %d of a queue of svc-a was started "
                          "on %s of %s in rack %s at %.3f" % (
                              task, run, runner.name, runner.service,
                              runner.labels[1], at))
    fleet.record.note("%d starts, %d of them on runners of svc-b" % (
        len(fleet.starts), len(broken)))
    return broken


standin.main(FOLDER, case)
