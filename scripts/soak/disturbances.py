"""Disturbances of a run, drawn from its seed."""
import heapq
import random
import signal
import threading
import time

from soak.deployment import GRACE_S

DUTY_PERIOD_S = 0.1
DUTY_STEP_S = 0.004
# Of a process that was told to stop: released, with open requests, killed
# after the grace period, or told before it handles signals.
STOP_STATUSES = (0, 3, -signal.SIGKILL, -signal.SIGTERM)
# From the end of a holder's process until it has taken the cell again.
RETAKE_S = 1.76
RESTART_S = 0.1


class DutyCycle(threading.Thread):
    """Lets VMs run for a share of each period only, as a processor quota
    does."""

    def __init__(self, vms):
        super().__init__(daemon=True)
        self.vms = vms
        self.stopped = False

    def run(self):
        while not self.stopped:
            now = time.monotonic()
            for vm in self.vms:
                if vm.freezes or not (vm.share < 1 or vm.paused):
                    continue
                phase = (now + vm.number * 0.013) % DUTY_PERIOD_S
                pause = phase >= vm.share * DUTY_PERIOD_S
                if pause != vm.paused:
                    vm.paused = pause
                    vm.signal(signal.SIGSTOP if pause else signal.SIGCONT)
            time.sleep(DUTY_STEP_S)


class Disturbances:
    """Plays disturbances in the main thread, which also starts processes."""

    KINDS = {
        "kill_holder": 6, "kill_holders_in_series": 4, "kill_some": 4,
        "kill_all": 1, "restart_in_series": 4,
        "kill_holder_beside_frozen": 4,
        "kill_new_holders": 4,
        "hand_over_in_series": 4, "freeze_holder": 5,
        "freeze_some": 5, "starve_some": 5, "late_orders": 4,
        "unanswered_orders": 4, "slow_orders": 4,
        "late_changes": 3, "unanswered_changes": 3, "store_outage": 2,
        "slow_store": 2, "crash_workers": 3, "expire_entries": 1,
        "hide_workers": 4,
    }

    def __init__(self, deployment, options):
        self.deployment = deployment
        self.events = deployment.events
        self.rng = random.Random(options.seed)
        self.workers = options.workers
        self.interval_s = options.interval
        self.kinds = options.kinds or list(self.KINDS)
        self.counts = {}
        self.actions = []
        self.sequence = 0
        self.unexpected_exits = []
        self.healed = False
        self.duty = DutyCycle(deployment.vms)
        self.duty.start()

    def after(self, seconds, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.actions, (time.monotonic() + seconds,
                                      self.sequence, action, arguments))

    def start(self):
        self.after(self.rng.expovariate(1 / self.interval_s), self.disturb)

    def play(self, until):
        """Carries out actions until a time of the monotonic clock."""
        while time.monotonic() < until:
            while self.actions and self.actions[0][0] <= time.monotonic():
                _, _, action, arguments = heapq.heappop(self.actions)
                action(*arguments)
            self.restart_ended()
            time.sleep(0.01)

    def heal(self):
        """Ends all disturbances; the VMs and the store work again."""
        self.healed = True
        self.actions = []
        self.control(late_orders=0, unanswered_orders=0, order_delay_ms=0,
                     late_changes=0, unanswered_changes=0,
                     store_refuses=False, store_unreachable=False,
                     store_delay_ms=0)
        for vm in self.deployment.vms:
            vm.share = 1.0
            if vm.freezes:
                vm.freezes = 1
                vm.thaw(vm.process)
            if not vm.is_up():
                vm.start()

    def stop(self):
        self.duty.stopped = True
        self.duty.join()

    def restart_ended(self):
        """Restarts processes that have ended without a command."""
        for vm in self.deployment.vms:
            if vm.stopping or vm.is_up():
                continue
            vm.stopping = True
            self.record_exit(vm)
            self.after(0.5, self.restart, vm)

    def record_exit(self, vm):
        text = f"{vm.name} status {vm.process.returncode}"
        self.unexpected_exits.append(text)
        self.events.write("vm-exited", text)

    def restart(self, vm):
        if not vm.is_up():
            self.events.write("vm-restart", vm.name)
            vm.start()

    def disturb(self):
        self.after(self.rng.expovariate(1 / self.interval_s), self.disturb)
        kind = self.rng.choices(self.kinds,
                                [self.KINDS[k] for k in self.kinds])[0]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        getattr(self, kind)()

    def control(self, **faults):
        self.events.write("faults", " ".join(
            f"{name} {value}" for name, value in faults.items()))
        self.deployment.control(faults)

    def for_a_while(self, seconds, name, value, normal):
        self.control(**{name: value})
        self.after(seconds, lambda: self.control(**{name: normal}))

    def some_vms(self, share):
        vms = self.deployment.vms
        return self.rng.sample(vms, max(1, int(len(vms) * share)))

    def kill(self, vm, down_s):
        if vm is None or vm.stopping:
            return
        self.events.write("vm-kill", f"{vm.name} for {down_s:.2f} s")
        self.counts["killed"] = self.counts.get("killed", 0) + 1
        vm.kill()
        self.after(down_s, self.restart, vm)

    def down_s(self):
        return self.rng.choice((self.rng.uniform(0.2, 1),
                                self.rng.uniform(0.2, 1),
                                self.rng.uniform(3, 12)))

    def kill_holder(self):
        self.kill(self.deployment.holder(), self.down_s())

    def kill_holders_in_series(self):
        at = 0
        for _ in range(self.rng.randint(2, 5)):
            self.after(at, self.kill_holder)
            at += self.rng.uniform(0.3, 6)

    def kill_some(self):
        for vm in self.some_vms(self.rng.uniform(0.05, 0.3)):
            self.kill(vm, self.down_s())

    def kill_all(self):
        for vm in self.deployment.vms:
            self.kill(vm, self.rng.uniform(0.2, 2))

    def terminate(self, vm, restart_s):
        if vm is None or vm.stopping:
            return
        self.events.write("vm-terminate", vm.name)
        self.counts["terminated"] = self.counts.get("terminated", 0) + 1
        vm.terminate()
        self.after(0.1, self.finish_termination, vm, vm.process,
                   time.monotonic() + GRACE_S, restart_s)

    def finish_termination(self, vm, process, deadline, restart_s):
        if vm.process is not process:
            return
        if vm.is_up() and time.monotonic() < deadline:
            self.after(0.1, self.finish_termination, vm, process, deadline,
                       restart_s)
            return
        vm.kill()
        if process.returncode not in STOP_STATUSES:
            self.record_exit(vm)
        self.after(restart_s, self.restart, vm)

    def restart_in_series(self):
        vms = self.some_vms(self.rng.uniform(0.1, 0.5))
        holder = self.deployment.holder()
        if holder is not None:
            vms.insert(0, holder)
        gap = self.rng.uniform(0.1, 2)
        for i, vm in enumerate(vms):
            self.after(i * gap, self.terminate, vm, self.rng.uniform(0.1, 1))

    def kill_holder_beside_frozen(self):
        """Restarts the holder while most other VMs are frozen, so that it takes
        the cell again, and executors then go on with what they had from its
        former process."""
        holder = self.deployment.holder()
        if holder is None:
            return
        others = [vm for vm in self.deployment.vms if vm is not holder]
        for vm in self.rng.sample(others, max(
                1, int(len(others) * self.rng.uniform(0.8, 1)))):
            self.freeze(vm, self.rng.uniform(2, 10))
        self.after(self.rng.uniform(0, 0.5), self.kill, holder,
                   self.rng.uniform(0.2, 1))

    def kill_new_holders(self, rounds=None):
        """Kills the holder, and its successors soon after they have taken the
        cell, at times while some executors are frozen, which go on when the
        next tenure is as old as the former one was. So its orders have the
        numbers of those that executors answer late, such as heartbeats, which
        workers hold for 2 s."""
        if rounds is None:
            rounds = self.rng.randint(2, 4)
        holder = self.deployment.holder()
        self.kill(holder, RESTART_S)
        if rounds > 0:
            self.after(0.05, self.await_successor, rounds - 1,
                       self.deployment.epoch(), time.monotonic() + 20)

    def await_successor(self, rounds, epoch, deadline):
        if self.healed or time.monotonic() > deadline:
            return
        holder = self.deployment.holder()
        if self.deployment.epoch() == epoch:
            self.after(0.05, self.await_successor, rounds, epoch, deadline)
            return
        frozen_s = self.rng.uniform(0.05, 0.8)
        killed_s = frozen_s + self.rng.uniform(0.05, 0.4)
        if self.rng.random() < 0.5:
            self.after(frozen_s, self.freeze_executors, holder, killed_s +
                       RETAKE_S + self.rng.uniform(-0.4, 0.8))
        self.after(killed_s, self.kill_new_holders, rounds)

    def freeze_executors(self, holder, seconds):
        vms = [vm for vm in self.deployment.vms if vm is not holder]
        for vm in self.rng.sample(vms, max(1, int(len(vms) *
                                               self.rng.uniform(0.2, 0.7)))):
            self.freeze(vm, seconds)

    def hand_over(self):
        self.terminate(self.deployment.holder(), self.rng.uniform(0.1, 1))

    def hand_over_in_series(self):
        at = 0
        for _ in range(self.rng.randint(3, 8)):
            self.after(at, self.hand_over)
            at += self.rng.uniform(0.2, 3)

    def freeze(self, vm, seconds):
        if vm is None or not vm.is_up():
            return
        self.events.write("vm-freeze", f"{vm.name} for {seconds:.2f} s")
        self.counts["frozen"] = self.counts.get("frozen", 0) + 1
        vm.freeze()
        self.after(seconds, vm.thaw, vm.process)

    def freeze_holder(self):
        self.freeze(self.deployment.holder(), self.freeze_s())

    def freeze_s(self):
        return self.rng.choice((self.rng.uniform(0.2, 3),
                                self.rng.uniform(1, 20)))

    def freeze_some(self):
        for vm in self.some_vms(self.rng.uniform(0.05, 0.4)):
            self.freeze(vm, self.freeze_s())

    def set_quotas(self):
        self.events.write("vms-starved", "all have the share of their settings")
        for vm in self.deployment.vms:
            vm.normal_share = vm.share = vm.share_of_settings()

    def starve_some(self):
        vms = self.some_vms(self.rng.uniform(0.1, 0.5))
        holder = self.deployment.holder()
        if holder is not None and self.rng.random() < 0.5:
            vms.append(holder)
        seconds = self.rng.uniform(5, 30)
        self.events.write("vms-starved", " ".join(vm.name for vm in vms) +
                          f" for {seconds:.2f} s")
        for vm in vms:
            vm.share = min(vm.normal_share, self.rng.uniform(0.09, 0.5))
            self.after(seconds, self.end_starvation, vm)

    def end_starvation(self, vm):
        vm.share = vm.normal_share

    def late_orders(self):
        self.for_a_while(self.rng.uniform(3, 15), "late_orders",
                         round(self.rng.uniform(0.02, 0.3), 3), 0)

    def unanswered_orders(self):
        self.for_a_while(self.rng.uniform(3, 15), "unanswered_orders",
                         round(self.rng.uniform(0.02, 0.3), 3), 0)

    def slow_orders(self):
        # VMs wait up to 900 ms for an answer.
        self.for_a_while(self.rng.uniform(3, 15), "order_delay_ms",
                         self.rng.randint(200, 1500), 0)

    def late_changes(self):
        self.for_a_while(self.rng.uniform(3, 15), "late_changes",
                         round(self.rng.uniform(0.02, 0.3), 3), 0)

    def unanswered_changes(self):
        self.for_a_while(self.rng.uniform(3, 15), "unanswered_changes",
                         round(self.rng.uniform(0.02, 0.3), 3), 0)

    def store_outage(self):
        name = self.rng.choice(("store_refuses", "store_unreachable"))
        self.for_a_while(self.rng.uniform(1, 10), name, True, False)

    def slow_store(self):
        self.for_a_while(self.rng.uniform(3, 10), "store_delay_ms",
                         self.rng.randint(50, 1200), 0)

    def crash_workers(self):
        for _ in range(self.rng.randint(1, max(1, self.workers // 20))):
            self.control(crash_worker=self.rng.randrange(self.workers),
                         down_ms=self.rng.randint(200, 10000))

    def expire_entries(self):
        for _ in range(self.rng.randint(1, max(1, self.workers // 10))):
            self.control(expire_entry=self.rng.randrange(self.workers))

    def hide_workers(self):
        """Cuts workers off from the successors of the holder, which it reaches
        on, and lets several holders fall: frozen ones extend leases once more
        when they go on."""
        for worker in self.rng.sample(range(self.workers), max(
                1, int(self.workers * self.rng.uniform(0.05, 0.4)))):
            self.control(hide_worker=worker,
                         hidden_ms=self.rng.randint(3000, 40000))
        at = 0
        for _ in range(self.rng.randint(1, 3)):
            self.after(at, self.freeze_holder if self.rng.random() < 0.7
                       else self.kill_holder)
            at += self.rng.uniform(1.8, 6)
