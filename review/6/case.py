"""A client cancels a job whose request a frozen machine has not read yet."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from deployment import BOUNDS, play, route, small_fleet  # noqa: E402

JOB = "00000000000000c6"
PATH = "/clock/" + JOB
BODY = {"spec": "two steps", "steps": [
    {"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 5000},
    {"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 5000,
     "after": [0]}]}
FREEZE_S = 3.9      # node_freeze of the site's troubles: for_s = 4.0
CLIENT_S = 3.0      # time limit of the client, as in the site file
WATCH_S = 20.0


def plan(step, index, run):
    return 5.0, "done"


async def case(deployment):
    await deployment.start([route("ranking", "/clock/", 1)], small_fleet())
    record = deployment.record
    holder = deployment.holder()
    frozen, other = [m for m in deployment.machines if m is not holder][:2]
    deployment.note_job(PATH, BODY, plan)
    woken = []

    def wake():
        frozen.wake()
        woken.append(record.now())

    if deployment.trouble:
        frozen.freeze()
        asyncio.get_running_loop().call_later(FREEZE_S, wake)
    # The client waits for its whole time limit, then gives the job up.
    await deployment.request(frozen, "POST", PATH, BODY, CLIENT_S)
    status, _ = await deployment.until_answered("DELETE", PATH,
                                                machines=[other])
    acknowledged = record.now()
    record.write("the cancelling is acknowledged with %d" % status)
    await asyncio.sleep(WATCH_S)
    # UNASKED, first half: a start by a machine in touch, later than
    # cancel_ms after the acknowledgement. All machines are in touch again
    # stableWindowMs after the frozen one woke; the holder was so all along.
    late = [start for start in deployment.starts
            if start[1].startswith(JOB) and
            start[0] > acknowledged + BOUNDS["cancel_ms"] / 1000]
    calm = max(woken + [acknowledged]) + BOUNDS["stableWindowMs"] / 1000
    for time, task, run, runner, _ in late:
        record.write("started %.1f s after the acknowledgement%s: %s" % (
            time - acknowledged,
            ", all machines in touch" if time > calm else "", task))
    status, answer = await deployment.until_answered("GET", PATH)
    record.write("the client's job is shown as %s %s" % (status, answer))
    started = [start for start in late if start[0] > calm]
    if started:
        return "UNASKED: %s started %.1f s after the cancelling of its job " \
            "was acknowledged" % (started[0][1],
                                  started[0][0] - acknowledged)
    return None


if __name__ == "__main__":
    play(HERE, case)
