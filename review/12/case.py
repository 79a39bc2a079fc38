"""An order is late, and its runner starts anew meanwhile. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import deployment  # noqa: E402

JOB = "00000000000000a1"
TASK = JOB + ".0.0.0"
STEP = {"count": 1, "cpu": 7500, "memMb": 11000, "gpu": 1,
        "estimateMs": 11000}
STEP_S = 11.0
# Traffic by which the subtask goes to another runner the second time: the
# first one and then both are busy with other jobs.
FIRST = {"count": 1, "cpu": 7500, "memMb": 11000, "gpu": 8,
         "estimateMs": 1000}
FIRST_S = 1.0
OTHER = {"count": 1, "cpu": 7500, "memMb": 11000, "gpu": 7,
         "estimateMs": 11000}
OTHER_S = 11.0
DOWN_AFTER_S = 0.5  # after the other run has begun
DOWN_S = 1.5
LATE_MAX_S = 12.0


async def submit(case, number, step, work_s):
    return await case.submit(case.vms[number], "%016x" % (0xb0 + number),
                             [step], lambda task: (step, work_s, "done"))


async def play(case, trouble):
    held = {}

    def hold_first_start(runner):
        """Keeps the first order to start the subtask from the runner, as a
        proxy does."""
        def take(path, call):
            if path != "/run-start" or call["task"] != TASK or held:
                return False
            held.update(runner=runner, call=call, at=case.record.now())
            case.record.line("the order to start %s, number %d, on runner %s "
                             "is on its way and gets no answer" %
                             (call["task"], call["run"], runner.id))
            return True
        return take

    if trouble:
        for runner in case.runners:
            runner.filter = hold_first_start(runner)
    if not await submit(case, 0, FIRST, FIRST_S):
        return None
    await asyncio.sleep(0.3)
    if not await case.submit(case.vms[1], JOB, [STEP],
                             lambda task: (STEP, STEP_S, "done")):
        return None
    if not await case.wait_until(
            lambda: any(event[1] == "ended" for event in case.events), 5):
        return None
    for number in (2, 3):
        if not await submit(case, number, OTHER, OTHER_S):
            return None
    if not await case.wait_until(lambda: case.open_runs(TASK), 11):
        return None
    if trouble:
        if not held or \
                case.open_runs(TASK)[0][1] == held["runner"].id:
            case.record.line("the subtask went to the same runner again")
            return None
        await asyncio.sleep(DOWN_AFTER_S)
        held["runner"].crash()
        await asyncio.sleep(DOWN_S)
        await held["runner"].start()
        late = case.record.now() - held["at"]
        if late > LATE_MAX_S:
            return None
        case.record.line("the order reaches runner %s, %.1f s late" %
                         (held["runner"].id, late))
        await held["runner"].life.execute("/run-start", held["call"])
    twice = 0.0
    before = case.record.now()
    until = before + STEP_S + 2
    while case.record.now() < until:
        now = case.record.now()
        if len(case.open_runs(TASK)) > 1:
            twice += now - before
        before = now
        await asyncio.sleep(0.01)
    case.record.line("two runs of %s at the same time for %.2f s" %
                     (TASK, twice))
    return twice == 0


deployment.run_case(play, vm_count=7, runner_count=48)
