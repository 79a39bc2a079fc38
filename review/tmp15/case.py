"""An order is held back while its runner is down. See claim.txt."""
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
DOWN_AFTER_S = 0.3
UP_AFTER_S = 0.5  # after the other run has begun
LATE_MAX_S = 12.0


async def play(case, trouble):
    held = {}

    def hold_first_start(runner):
        """Keeps the first order to start from the runner, as a proxy does."""
        def take(path, call):
            if path != "/run-start" or held:
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
    if not await case.submit(case.vms[0], JOB, [STEP],
                             lambda task: (STEP, STEP_S, "done")):
        return None
    if trouble:
        if not await case.wait_until(lambda: held, 10):
            return None
        await asyncio.sleep(DOWN_AFTER_S)
        held["runner"].crash()
    if not await case.wait_until(lambda: case.open_runs(TASK), 11):
        return None
    if trouble:
        await asyncio.sleep(UP_AFTER_S)
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
