"""A machine freezes with a request; its client leaves and cancels the job."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEMAND = {"cpu": 5600, "memMb": 11000}
FREEZE_S = 3.5
LEAVE_S = 0.5


async def case(fleet, trouble):
    fleet.put_config(3, [("r-a", "/q/", "svc-a", {})])
    for number in range(8):
        await fleet.add_runner("i-%08x" % (0x7f3a91c2 + number), "svc-a",
                               ["a", "r1-1"],
                               {"cpu": 64000, "memMb": 131072, "gpu": 8})
    await fleet.start_machines(7)
    await fleet.wait_for_holder()
    await asyncio.sleep(5)

    holder = fleet.holder()
    others = [machine for machine in fleet.machines if machine is not holder]
    frozen, calm = others[:2]
    fleet.record.note("%s schedules" % holder.name)
    step = {"count": 4, "estimateMs": 2500, **DEMAND}
    steps = [step, dict(step, after=[0]), dict(step, after=[1])]
    if trouble:
        frozen.signal(signal.SIGSTOP)
    begin = fleet.record.now()
    status = await fleet.submit(frozen, "/q/", JOB, steps,
                                dict(DEMAND, ms=2500), timeout_s=LEAVE_S)
    if not trouble and status != 200:
        raise RuntimeError("the job wasn't accepted")
    cancelled = None
    for _ in range(8):
        if await fleet.cancel(calm, "/q/", JOB) in (200, 410):
            cancelled = fleet.record.now()
            break
        await asyncio.sleep(0.5)
    if cancelled is None:
        raise RuntimeError("the cancel has no acknowledgement")
    if trouble:
        await asyncio.sleep(max(begin + FREEZE_S - fleet.record.now(), 0))
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(16)
    await fleet.state(calm, "/q/", JOB)
    limit = cancelled + standin.BOUNDS["cancel_ms"] / 1000
    broken = ["UNASKED: %s run %d was started on %s at %.3f, %.3f s after the "
              "job's cancelling was acknowledged" % (
                  task, run, runner.name, at, at - cancelled)
              for at, runner, task, run, _ in fleet.starts if at > limit]
    fleet.record.note("%d starts, %d of them later than cancel_ms after the "
                      "acknowledgement" % (len(fleet.starts), len(broken)))
    return broken


standin.main(FOLDER, case)
