"""A subtask fails once on the only runner that may run it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

DEMAND = {"cpu": 5600, "memMb": 11000}
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 8}
GREY_S = 6.5
JOBS = 6


async def case(fleet, trouble):
    fleet.put_config(3, [("r-a", "/q/", "svc-a", {"attempts": 4})])
    for number in range(11):
        await fleet.add_runner("i-%08x" % (0x7f3a91c2 + number), "svc-a",
                               ["a", "r1-%d" % (number // 8)], CAPACITY)
    only = await fleet.add_runner("i-7f3a92ff", "svc-a", ["b", "r1-1"],
                                  CAPACITY)
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(3)

    if trouble:
        only.fails_until = fleet.record.now() + GREY_S
        fleet.record.note("%s fails what it runs for %.1f s, its status "
                          "check is good" % (only.name, GREY_S))
    jobs = []
    for number in range(JOBS):
        job = "%016x" % (0x5c0e7a21d94b36f8 + number)
        step = {"count": 2, "estimateMs": 2500, **DEMAND}
        if number % 2 == 0:
            step["requires"] = "b"
        if await fleet.submit(fleet.machines[number % 7], "/q/", job, [step],
                              dict(DEMAND, ms=2500)) != 200:
            raise RuntimeError("a job wasn't accepted")
        jobs.append({"id": job, "steps": [step], "times": 1, "attempts": 4})
        await asyncio.sleep(1)
    fleet.record.note("traffic ends")
    await asyncio.sleep(standin.BOUNDS["finish_s"])
    samples = await fleet.sample_for(3)
    for job in jobs:
        await fleet.state(fleet.machines[0], "/q/", job["id"])
    return fleet.find_lost(jobs, samples)


standin.main(FOLDER, case)
