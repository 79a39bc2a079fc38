"""A route is removed and comes back while a job of it runs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from deployment import BOUNDS, play, route, small_fleet  # noqa: E402

JOB = "00000000000000c7"
PATH = "/clock/" + JOB
BODY = {"spec": "two subtasks", "steps": [
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 8000}]}
ATTEMPTS = 4
AWAY_S = 6.0


def plan(step, index, run):
    """Subtask 0 fails once, through its own fault, and succeeds then."""
    if index == 0:
        return (0.5, "failed") if run == 1 else (12.0, "done")
    return 5.0, "done"


async def case(deployment):
    record = deployment.record
    other = route("other", "/other/", 2)
    clock = route("ranking", "/clock/", 1, attempts=ATTEMPTS)
    await deployment.start([clock, other], small_fleet())
    await deployment.submit(PATH, BODY, plan)
    await deployment.wait_for(
        lambda: any(start[1] == JOB + ".0.0.0" and start[2] == 2
                    for start in deployment.starts),
        10, "the second run of the subtask that has failed")
    await asyncio.sleep(0.5)
    if deployment.trouble:
        deployment.configure(4, [other])
        await asyncio.sleep(AWAY_S)
        deployment.configure(9, [clock, other])
        await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 0.5)
    state = None
    for _ in range(40):
        status, answer = await deployment.until_answered("GET", PATH)
        state = answer.get("state") if status == 200 else status
        if state in ("completed", "failed", "canceled", 410):
            break
        await asyncio.sleep(0.5)
    # Only ends `failed` of one subtask count as its attempts. A job that is
    # still shown as running breaks nothing here.
    failures = max(sum(end[1] == task and end[3] == "failed"
                       for end in deployment.ends)
                   for task in (JOB + ".0.0.0", JOB + ".0.0.1"))
    record.write("the job is shown as %s; a subtask has ended failed %d "
                 "times at most, attempts is %d" % (state, failures, ATTEMPTS))
    if state in ("failed", "canceled") and failures < ATTEMPTS:
        return "LOST: an accepted job that nobody has cancelled is shown as " \
            "%s after %d of %d attempts" % (state, failures, ATTEMPTS)
    return None


if __name__ == "__main__":
    play(HERE, case)
