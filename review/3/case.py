"""More than 500 runs of a runner end while no machine schedules."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

SUBTASKS = 320
JOBS = 4
WORK = {"ms": 4000, "cpu": 100, "memMb": 200}


async def case(fleet, trouble):
    fleet.put_config(3, [("r-a", "/q/", "svc-a", {})])
    for number in range(2):
        await fleet.add_runner("i-%08x" % (0x7f3a91c2 + number), "svc-a",
                               ["a", "r1-1"],
                               {"cpu": 64000, "memMb": 131072, "gpu": 8},
                               slots=2 * SUBTASKS)
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(2)

    step = {"count": SUBTASKS, "cpu": 100, "memMb": 200, "estimateMs": 4000}
    jobs = ["%016x" % (0x5c0e7a21d94b36f8 + number)
            for number in range(JOBS)]
    accepted = [await fleet.submit(fleet.machines[0], "/q/", job, [step],
                                   WORK) == 200 for job in jobs]
    if not all(accepted):
        raise RuntimeError("a job wasn't accepted")
    while not fleet.starts:
        await asyncio.sleep(0.01)
    first = fleet.starts[0][0]
    # Shortly before the first run ends.
    await asyncio.sleep(first + 3.7 - fleet.record.now())
    fleet.record.note("%d subtasks were started, %d have ended" % (
        len(fleet.starts), len(fleet.ends)))
    if len(fleet.starts) < SUBTASKS * JOBS:
        raise RuntimeError("the subtasks weren't started in time")
    if trouble:
        holder = fleet.holder()
        holder.signal(signal.SIGKILL)
        await holder.process.wait()
        await asyncio.sleep(3.5)
        await holder.start()
    await asyncio.sleep(25)
    for job in jobs:
        await fleet.state(fleet.machines[1], "/q/", job)
    broken = fleet.find_twice()
    fleet.record.note("%d starts of %d subtasks, %d findings" % (
        len(fleet.starts), SUBTASKS * JOBS, len(broken)))
    return broken


standin.main(FOLDER, case)
