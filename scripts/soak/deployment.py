"""The processes of a run: the stand-in and one cs-fleetd for each VM."""
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import threading
import time

FRONT_PORT = 7001
READY_PORT = 7002
CONTROL_PORT = 7003
PORT_RANGE = [7010, 7015]
# Bounds of the settings, as in tests/test_process.c.
BOUNDS = {"holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000, "graceS": 6,
          "configApplyMs": 2000, "status_s": 120, "early_ms": 250,
          "finish_s": 14}
GRACE_S = BOUNDS["graceS"]
STOP_MS = 800  # that the runs need, below stopMs
CONTROL_ATTEMPTS = 5
CONTROL_TIMEOUT_S = 10


class EventLog:
    """Lines in the format of the daemons' logs, for merging by time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, event, detail):
        line = {"time_us": time.time_ns() // 1000, "level": "info",
                "process": "driver", "event": event, "detail": detail}
        with self.lock:
            self.file.write(json.dumps(line) + "\n")
            self.file.flush()


class Vm:
    """One VM. Its process is started and stopped by the main thread; signals
    of the duty cycle come from another thread."""

    def __init__(self, deployment, number):
        network = deployment.network
        self.number = number
        self.zone = number % deployment.zones
        self.name = f"vm-{self.zone}-{number // deployment.zones}"
        self.ip = f"127.{network}.{self.zone + 1}.{number // deployment.zones + 1}"
        self.deployment = deployment
        self.log_path = os.path.join(deployment.folder, self.name + ".log")
        self.settings_path = os.path.join(deployment.folder,
                                          self.name + ".json")
        self.process = None
        self.freezes = 0  # open freezes; the process runs if there are none
        self.share = 1.0  # of a core, by the duty cycle
        self.normal_share = 1.0  # while no disturbance starves the VM
        self.paused = False  # by the duty cycle
        self.stopping = False  # ends or is to be restarted by the driver
        self.lock = threading.Lock()

    def write_settings(self, seeds, store):
        settings = {
            "node": self.name, "zone": f"z{self.zone}", "ip": self.ip,
            "listen": {"front": f"{self.ip}:{FRONT_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}",
                       "control": f"{self.ip}:{CONTROL_PORT}"},
            "portRange": PORT_RANGE, "seeds": seeds, "heartbeatMs": 1500,
            "limits": self.limits(),
            "platform": {"addr": store}, "advice": store, "bounds": BOUNDS}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def limits(self):
        return {"cpuShare": self.share_of_settings(), "maxFds": 4100}

    def share_of_settings(self):
        # The shares of the largest deployment are 0.09 to 0.5.
        return (0.09, 0.25, 0.5)[self.number // self.deployment.zones % 3]

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            process = subprocess.Popen(
                [os.path.join(self.deployment.build, "cs-fleetd"),
                 "--settings", self.settings_path, "--direct-workers",
                 str(self.deployment.direct_workers)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                **self.process_options())
        with self.lock:
            self.process = process
            self.freezes = 0
            self.paused = False
            self.stopping = False

    def process_options(self):
        """Returns further arguments of Popen."""
        return {}

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        with self.lock:
            if self.is_up():
                self.process.send_signal(number)

    def freeze(self):
        self.freezes += 1
        self.signal(signal.SIGSTOP)

    def thaw(self, process):
        """Ends a freeze, unless the process has been replaced since."""
        if self.process is not process or self.freezes == 0:
            return
        self.freezes -= 1
        if self.freezes == 0:
            self.paused = False
            self.signal(signal.SIGCONT)

    def kill(self):
        self.stopping = True
        if self.is_up():
            self.signal(signal.SIGKILL)
            self.process.wait()

    def terminate(self):
        self.stopping = True
        self.signal(signal.SIGTERM)


class Deployment:
    """The stand-in and the VMs of a run."""

    vm_type = Vm

    def __init__(self, options, folder):
        self.build = options.build
        self.folder = folder
        self.zones = options.zones
        self.direct_workers = options.direct_workers
        self.network = find_free_network()
        self.events = EventLog(os.path.join(folder, "driver.log"))
        self.standin_log = os.path.join(folder, "standin.log")
        self.standin = None
        self.store = None
        self.vms = [self.vm_type(self, n) for n in range(options.vms)]
        self.log_offsets = {}
        self.holders = []  # (time_us, epoch, VM) of each takeover
        self.log_lock = threading.Lock()

    def start(self, options):
        with open(self.standin_log, "w", encoding="utf-8") as log:
            self.standin = subprocess.Popen(
                [os.path.join(self.build, "standin-deployment"), "--go-on",
                 "--events", "--workers", str(options.workers), "--rack",
                 str(options.rack), "--zones", str(options.zones), "--seed",
                 str(options.seed), "--organisations",
                 str(options.organisations), "--slow-clocks", "--stop-ms",
                 str(STOP_MS)],
                stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log,
                text=True)
        line = self.standin.stdout.readline().split()
        if len(line) != 2 or line[0] != "ready":
            raise RuntimeError(f"the stand-in has not started: {line}")
        self.store = line[1]
        step = max(1, len(self.vms) // 3)
        seeds = [f"{vm.ip}:{CONTROL_PORT}" for vm in self.vms[::step][:3]]
        for vm in self.vms:
            vm.write_settings(seeds, self.store)
            vm.start()

    def wait_until_ready(self, timeout_s):
        deadline = time.monotonic() + timeout_s
        waiting = list(self.vms)
        while waiting and time.monotonic() < deadline:
            waiting = [vm for vm in waiting
                       if get_status(vm.ip, READY_PORT, "/ready") != 200]
            time.sleep(0.1)
        return not waiting

    def request(self, method, path, body=None):
        """Makes a request to the stand-in, which may be overloaded."""
        host, port = self.store.split(":")
        for _ in range(CONTROL_ATTEMPTS):
            connection = http.client.HTTPConnection(
                host, int(port), timeout=CONTROL_TIMEOUT_S)
            try:
                connection.request(method, path, body)
                response = connection.getresponse()
                if response.status == 200:
                    return json.loads(response.read())
                raise RuntimeError(f"{path} returned {response.status}")
            except OSError as error:
                self.events.write("standin-late", f"{path}: {error}")
            finally:
                connection.close()
        raise RuntimeError(f"{path}: no answer")

    def control(self, body):
        self.request("POST", "/faults", json.dumps(body))

    def state(self):
        return self.request("GET", "/state")

    def read_takeovers(self):
        """Reads the cell-taken lines that the VMs have logged since."""
        for vm in self.vms:
            try:
                with open(vm.log_path, "rb") as file:
                    file.seek(self.log_offsets.get(vm.number, 0))
                    text = file.read()
            except FileNotFoundError:
                continue
            end = text.rfind(b"\n") + 1
            self.log_offsets[vm.number] = (
                self.log_offsets.get(vm.number, 0) + end)
            for match in re.finditer(
                    rb'"time_us":(\d+)[^\n]*"cell-taken"[^\n]*epoch (\d+)',
                    text[:end]):
                self.holders.append((int(match[1]), int(match[2]), vm))

    def holder(self):
        """Returns the VM that took the cell last, or None."""
        with self.log_lock:
            self.read_takeovers()
            return max(self.holders, key=lambda taken: taken[1])[2] \
                if self.holders else None

    def epoch(self):
        """Returns the newest epoch that holder() has seen."""
        return max((taken[1] for taken in self.holders), default=0)

    def stop(self):
        """Ends all processes that this run has started."""
        for vm in self.vms:
            if vm.is_up():
                vm.signal(signal.SIGCONT)
                vm.signal(signal.SIGKILL)
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()
        if self.standin is not None and self.standin.poll() is None:
            self.standin.terminate()
            try:
                self.standin.wait(20)
            except subprocess.TimeoutExpired:
                self.standin.kill()
                self.standin.wait()


def get_status(ip, port, path):
    try:
        connection = http.client.HTTPConnection(ip, port, timeout=2)
        connection.request("GET", path)
        status = connection.getresponse().status
        connection.close()
        return status
    except OSError:
        return None


def find_free_network():
    """Returns a second byte of 127.x.0.0 whose addresses no other run uses."""
    start = os.getpid()
    for i in range(200):
        network = (start + i) % 200 + 10
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{network}.1.1", CONTROL_PORT))
                return network
            except OSError:
                continue
    raise RuntimeError("no free loopback network")
