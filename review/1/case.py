"""One accepted job whose progress doesn't fit into a row of the store."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

RUNNERS = 48
LARGE = "ab0e7a21d94b36f8"
DEMAND = {"cpu": 2800, "memMb": 8200, "gpu": 1}
# The largest job of `stockrec` in further-grown/oshakati-belt-grown.toml:
# width 230, steps 3.2, times 8, every 2 s; part of its jobs save their work.
WIDTH, STEPS, TIMES, EVERY_MS = 230, 3, 8, 2000
TRAFFIC_S = 45


async def case(fleet, trouble):
    fleet.put_config(3, [("r-a", "/q/", "svc-a", {}),
                         ("r-b", "/large/", "svc-a", {"priority": 2})])
    for number in range(RUNNERS):
        await fleet.add_runner("i-%08x" % (0x7f3a91c2 + number), "svc-a",
                               ["a", "r1-%d" % (number // 8)],
                               {"cpu": 64000, "memMb": 131072, "gpu": 8})
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(1)

    step = {"count": WIDTH, "estimateMs": 2000, "checkpoint": True, **DEMAND}
    steps = [dict(step, **({"after": [number - 1]} if number else {}))
             for number in range(STEPS)]
    times = TIMES if trouble else 1
    more = {"repeatCount": times, "intervalMs": EVERY_MS,
            "startMs": int(time.time() * 1000) + 1000}
    if await fleet.submit(fleet.machines[0], "/large/", LARGE, steps,
                          dict(DEMAND, ms=2000, saves=True),
                          more=more) != 200:
        raise RuntimeError("the large job wasn't accepted")
    jobs = [{"id": LARGE, "steps": steps, "times": times, "attempts": 2}]
    small = [{"count": 3, "estimateMs": 500, **DEMAND}]
    start = fleet.record.now()
    number = 0
    while fleet.record.now() - start < TRAFFIC_S:
        job = "%016x" % (0x5c0e7a21d94b36f8 + number)
        machine = fleet.machines[number % 7]
        number += 1
        if await fleet.submit(machine, "/q/", job, small,
                              dict(DEMAND, ms=500)) == 200:
            jobs.append({"id": job, "steps": small, "times": 1,
                         "attempts": 2})
        await asyncio.sleep(1)
    fleet.record.note("traffic ends: %d jobs accepted" % len(jobs))
    await asyncio.sleep(standin.BOUNDS["finish_s"])
    samples = await fleet.sample_for(3)
    broken = fleet.find_lost(jobs, samples)
    for job in jobs:
        await fleet.state(fleet.machines[1], "/large/" if job["id"] == LARGE
                          else "/q/", job["id"])
    fleet.record.note(
        "%d starts, %d ends, %d changes refused by the store"
        % (len(fleet.starts), len(fleet.ends), fleet.store.refused))
    for finding in broken:
        fleet.record.note(finding)
    return broken


standin.main(FOLDER, case)
