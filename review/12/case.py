"""A subtask that lasts loses its runner in a busy service. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import deployment  # noqa: E402

LASTING_JOB = "00000000000000a1"
LASTING_TASK = LASTING_JOB + ".0.0.0"
LASTING = {"count": 1, "cpu": 4000, "memMb": 4096, "gpu": 1,
           "estimateMs": 2000, "perpetual": True}
# 6 subtasks of 8 s each 1.1 s: 44 of the 48 runners, of which each takes one.
OTHER = {"count": 6, "cpu": 60000, "memMb": 110000, "gpu": 8,
         "estimateMs": 8000}
OTHER_S = 8.0
INTERVAL_S = 1.1
QUEUE = "/lohu930/"
WARM_UP_S = 25
# The rule: from 6 s after the last run, nothing for 3 s, with the 4 s before
# them calm. The crash is over at once; the check leaves 4 s more.
FROM_S = 10
SPAN_S = 3


def room_for(runner, step):
    """Returns how often the step fits into what the runner has free."""
    if not runner.life or runner.state != "ready":
        return 0
    free = dict(runner.capacity)
    for run in runner.life.runs.values():
        for name in free:
            free[name] -= run["step"].get(name, 0)
    return min(free[name] // step[name] for name in free)


async def send_traffic(case):
    number = 0
    while True:
        number += 1
        job = "%016x" % (0xb000 + number)
        case.jobs[job] = lambda task: (OTHER, OTHER_S, "done")
        asyncio.ensure_future(case.call(
            case.vms[number % len(case.vms)], "POST", QUEUE + job,
            {"spec": "text", "steps": [OTHER]}))
        await asyncio.sleep(INTERVAL_S)


async def play(case, trouble):
    if not await case.submit(case.vms[0], LASTING_JOB, [LASTING],
                             lambda task: (LASTING, 0, "done"), prefix=QUEUE):
        return None
    if not await case.wait_until(lambda: case.open_runs(LASTING_TASK), 10):
        return None
    case.tasks.append(asyncio.ensure_future(send_traffic(case)))
    await asyncio.sleep(WARM_UP_S)
    if not case.open_runs(LASTING_TASK):
        return None
    if trouble:
        runner_id = case.open_runs(LASTING_TASK)[0][1]
        for runner in case.runners:
            if runner.id == runner_id:
                runner.crash()
    crashed = case.record.now()
    await asyncio.sleep(FROM_S)
    least_room = sys.maxsize
    ran = False
    while case.record.now() < crashed + FROM_S + SPAN_S:
        room = sum(room_for(runner, LASTING) for runner in case.runners)
        least_room = min(least_room, room)
        ran = ran or bool(case.open_runs(LASTING_TASK))
        await asyncio.sleep(0.05)
    case.record.line("from %d s to %d s: %s %s; there was room for it %d "
                     "times at least; %d runners were idle at the end" %
                     (FROM_S, FROM_S + SPAN_S, LASTING_TASK,
                      "ran" if ran else "did not run", least_room,
                      sum(1 for runner in case.runners
                          if runner.life and not runner.life.runs)))
    return ran or least_room < 2


deployment.run_case(play, vm_count=7, runner_count=48)
