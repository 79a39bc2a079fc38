"""Unhealthy runners reject the starts of waiting jobs. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import deployment  # noqa: E402

QUEUE = "/pule252/"
UNHEALTHY = 5
JOBS = 5
# It takes all but UNHEALTHY of the runners, each whole, for 11 s.
OTHER_JOB = "00000000000000b1"
OTHER = {"count": 48 - UNHEALTHY, "cpu": 60000, "memMb": 110000, "gpu": 8,
         "estimateMs": 11000}
OTHER_S = 11.0
STEP = {"count": 1, "cpu": 26000, "memMb": 38000, "gpu": 4,
        "estimateMs": 8500}
STEP_S = 8.5
# visible_ms and 2 s more.
ASK_AFTER_S = 5.0
ASKS = 3
ASK_EACH_S = 0.3


def begun_jobs(case):
    return {event[2].split(".")[0] for event in case.events
            if event[1] == "started"}


async def play(case, trouble):
    if not await case.submit(case.vms[0], OTHER_JOB, [OTHER],
                             lambda task: (OTHER, OTHER_S, "done"),
                             prefix=QUEUE):
        return None
    if not await case.wait_until(
            lambda: sum(len(runner.life.runs) for runner in case.runners) ==
            OTHER["count"], 5):
        return None
    idle = [runner for runner in case.runners if not runner.life.runs]
    if trouble:
        for runner in idle:
            runner.unhealthy = True
        case.record.line("unhealthy: " +
                         " ".join(runner.id for runner in idle))
    jobs = []
    for number in range(JOBS):
        job = "%016x" % (0xc000 + number)
        case.jobs[job] = lambda task: (STEP, STEP_S, "done")
        answer = await case.call(case.vms[number % len(case.vms)], "POST",
                                 QUEUE + job, {"spec": "text",
                                               "steps": [STEP]})
        if answer and answer[0] == 200:
            jobs.append(job)
        await asyncio.sleep(0.05)
    if len(jobs) < JOBS:
        return None
    await asyncio.sleep(ASK_AFTER_S)
    wrong = {vm.name: 0 for vm in case.vms}
    for _ in range(ASKS):
        for vm in case.vms:
            answer = await case.call(vm, "GET", QUEUE)
            # Only those count that still have not begun after the answer.
            waiting = len(set(jobs) - begun_jobs(case))
            if answer and answer[0] == 200 and \
                    answer[1]["waiting"] < waiting / 2:
                wrong[vm.name] += 1
                case.record.line("%s says %d, and %d have not begun" %
                                 (vm.name, answer[1]["waiting"], waiting))
        await asyncio.sleep(ASK_EACH_S)
    for runner in idle:
        runner.unhealthy = False
    # Nothing has changed for 4 s, so that the age of an answer does not count.
    return all(count < ASKS for count in wrong.values())


deployment.run_case(play, vm_count=7, runner_count=48)
