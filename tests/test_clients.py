#!/usr/bin/env python3
"""Crowds of clients that do not keep to the limits of the interfaces. After
each crowd the process must live, its memory and its open descriptors must have
stayed below a bound, and an ordinary request must be answered. No times are
checked; waits only end a test that hangs.
usage: test_clients.py BUILD CASE | --list"""
import argparse
import http.client
import json
import os
import re
import resource
import select
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
sys.dont_write_bytecode = True

from soak.deployment import (CONTROL_PORT, FRONT_PORT, PORT_RANGE,  # noqa: E402
                             READY_PORT, Deployment, Vm)

# The machine of the settings.
MEMORY_MB = 64
MAX_DESCRIPTORS = 400
# What clients may take of it in sum: half of the memory. The rest is the
# process itself.
GROWTH_MAX_MB = MEMORY_MB / 2
# Bytes that one connection may send after its request is beyond a limit: a
# body of the largest size that an interface reads, and the buffers of the
# kernel.
SENT_MAX_BYTES = 2 << 20
SEND_CAP_BYTES = 16 << 20

HANG_S = 60
QUIET_S = 2  # a crowd that sends and receives nothing for so long is held
MIB = 1 << 20
KIB = 1 << 10
JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 100, "estimateMs": 10}]}
AUTHORIZATION = "Host: h\r\nAuthorization: Token k0\r\n"


def limit_process():
    resource.setrlimit(resource.RLIMIT_NOFILE,
                       (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


def environment():
    """Memory that is freed must not count as held with the sanitizers."""
    return dict(os.environ, ASAN_OPTIONS=os.environ.get("ASAN_OPTIONS", "") +
                ":quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
                ":detect_leaks=0")


class SmallVm(Vm):
    def limits(self):
        return {"cpuShare": 0.25, "memoryMb": MEMORY_MB,
                "maxFds": MAX_DESCRIPTORS}

    def process_options(self):
        return {"preexec_fn": limit_process, "env": environment()}


class SmallDeployment(Deployment):
    vm_type = SmallVm


class Target:
    """A process under test and the addresses that it listens on."""

    def __init__(self, process, addresses, ordinary):
        self.process = process
        self.addresses = addresses
        self.ordinary = ordinary  # (address, path)
        self.base_mb = None

    def memory_mb(self, field):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
            return int(re.search(field + r":\s+(\d+)", f.read())[1]) / 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def is_served(self):
        """Makes an ordinary request until it is answered, as callers do."""
        address, path = self.ordinary
        deadline = time.monotonic() + HANG_S
        while time.monotonic() < deadline:
            connection = http.client.HTTPConnection(*address, timeout=10)
            try:
                connection.request("GET", path, headers={
                    "Host": "h", "Authorization": "Token k0"})
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    return True
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.1)
        return False

    def waiting(self):
        """Returns the number of waiting jobs of the first queue."""
        address, path = self.ordinary
        connection = http.client.HTTPConnection(*address, timeout=10)
        try:
            connection.request("GET", path, headers={
                "Host": "h", "Authorization": "Token k0"})
            return json.loads(connection.getresponse().read()).get("waiting",
                                                                   0)
        except (OSError, ValueError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def begin(self):
        assert self.is_served(), "not served before the crowd"
        self.base_mb = self.memory_mb("VmRSS")

    def check(self, when):
        assert self.process.poll() is None, f"the process has ended {when}"
        growth = self.memory_mb("VmHWM") - self.base_mb
        print(f"{when}: {self.base_mb:.0f} MB before, grown by {growth:.1f} "
              f"MB, {self.descriptors()} descriptors", flush=True)
        assert growth <= GROWTH_MAX_MB, f"grown by {growth:.0f} MB {when}"
        assert self.descriptors() <= MAX_DESCRIPTORS, \
            f"{self.descriptors()} descriptors {when}"
        assert self.is_served(), f"an ordinary request is not answered {when}"
        assert self.process.poll() is None, f"the process has ended {when}"


class Client:
    """A connection that sends a head and then a filler, up to a size."""

    def __init__(self, address, head, filler=b"", size=0):
        self.head = head
        self.filler = filler
        self.size = len(head) + size
        self.sent = 0
        self.received = b""
        self.ended = False  # closed by the process, or refused
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        self.socket.settimeout(5)
        try:
            self.socket.connect(address)
        except OSError:
            self.ended = True
        self.socket.setblocking(False)

    def chunk(self):
        if self.sent < len(self.head):
            return self.head[self.sent:]
        offset = (self.sent - len(self.head)) % len(self.filler)
        chunk = self.filler[offset:offset + 65536]
        return chunk[:self.size - self.sent]

    def events(self):
        return select.POLLIN | (select.POLLOUT if self.sent < self.size else 0)

    def proceed(self, events, reads):
        """Sends and receives what it can; returns whether there was any."""
        moved = False
        try:
            if events & select.POLLOUT and self.sent < self.size:
                self.sent += self.socket.send(self.chunk())
                moved = True
            if reads and events & ~select.POLLOUT:
                data = self.socket.recv(65536)
                self.received += data[:4096]
                self.ended = not data
                moved = True
        except BlockingIOError:
            pass
        except OSError:
            self.ended = True
            moved = True
        return moved

    def statuses(self):
        return re.findall(rb"HTTP/1\.1 (\d+)", self.received)


def run_crowd(clients, reads=True, until_answered=False):
    """Lets the clients send until all have ended, or with until_answered have
    an answer, or none can go on."""
    by_fd = {client.socket.fileno(): client for client in clients}
    deadline = time.monotonic() + HANG_S
    quiet_from = time.monotonic()
    while time.monotonic() < min(deadline, quiet_from + QUIET_S):
        poll = select.poll()
        active = [c for c in clients if not c.ended and
                  not (until_answered and c.received)]
        if not active:
            break
        for client in active:
            poll.register(client.socket, client.events() if reads else
                          client.events() & ~select.POLLIN)
        for fd, events in poll.poll(200):
            if by_fd[fd].proceed(events, reads):
                quiet_from = time.monotonic()
    return clients


def leave(clients):
    for client in clients:
        client.socket.close()


class Refill:
    """Replaces the clients of a crowd whose connections are closed."""

    def __init__(self, clients, make):
        self.clients = clients
        self.make = make
        self.ending = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.ending:
            poll = select.poll()
            numbers = {}
            for number, client in enumerate(self.clients):
                poll.register(client.socket, select.POLLIN)
                numbers[client.socket.fileno()] = number
            for fd, events in poll.poll(100):
                client = self.clients[numbers[fd]]
                client.proceed(events, True)
                if client.ended and not self.ending:
                    client.socket.close()
                    self.clients[numbers[fd]] = self.make(numbers[fd])
                    self.clients[numbers[fd]].proceed(select.POLLOUT, False)

    def end(self):
        self.ending = True
        self.thread.join()


def crowd(target, listener, count, head, filler=b"", size=0, reads=True,
          refill=False):
    """Runs a crowd and checks the process while it stays and once it left."""
    address = target.addresses[listener]

    def make(number):
        return Client(address, head(number), filler, size)
    clients = run_crowd([make(i) for i in range(count)], reads)
    refilling = Refill(clients, make) if refill else None
    try:
        target.check("beside the crowd")
    finally:
        if refilling:
            refilling.end()
    leave(clients)
    wait_for_descriptors(target)
    target.check("after the crowd")
    return clients


def wait_for_descriptors(target):
    """Waits until the descriptors of a crowd that has left are closed."""
    deadline = time.monotonic() + HANG_S
    while target.descriptors() > MAX_DESCRIPTORS / 2:
        assert time.monotonic() < deadline, "descriptors are not closed"
        time.sleep(0.1)


def post(length, number=0):
    return (f"POST /q0/{number:016x} HTTP/1.1\r\n{AUTHORIZATION}"
            f"Content-Length: {length}\r\n\r\n").encode()


def get(path, extra=""):
    return f"GET {path} HTTP/1.1\r\n{AUTHORIZATION}{extra}\r\n".encode()


def check_sent(clients):
    most = max(client.sent for client in clients)
    print(f"one connection sent {most} bytes at the most")
    assert most <= SENT_MAX_BYTES, f"a connection could send {most} bytes"


# Bodies.

def incomplete(listener):
    """All of 1 MiB but the last byte."""
    def case(target):
        crowd(target, listener, 96, lambda i: post(MIB, i), b" " * 65536,
              MIB - 1)
    return case


def inside_incomplete(target):
    """Bodies of an allowed size, each without its last byte."""
    crowd(target, "front", 300, lambda i: post(240 * KIB, i), b" " * 65536,
          240 * KIB - 1)


def endless(head):
    """Bytes without end."""
    def case(target):
        check_sent(crowd(target, "front", 16, head, b"a" * 65536,
                         SEND_CAP_BYTES))
    return case


def endless_chunks(target):
    head = f"POST /q0/{1:016x} HTTP/1.1\r\n{AUTHORIZATION}" \
        "Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"1000\r\n" + b"a" * 4096 + b"\r\n"
    check_sent(crowd(target, "front", 16, lambda i: head.encode(), chunk * 16,
                     SEND_CAP_BYTES))


def endless_headers(target):
    check_sent(crowd(target, "front", 16, lambda i: get("/q0/")[:-2],
                     b"X-Header: " + b"a" * 100 + b"\r\n", SEND_CAP_BYTES))


def complete(count, size, first, text):
    """Complete bodies of many JSON values."""
    def case(target):
        crowd(target, "front", count, lambda i: post(size, i) + first,
              text * (65536 // len(text)), size - len(first))
    return case


def byte_at_a_time(target):
    """Bodies of one byte a packet."""
    address = target.addresses["front"]
    clients = [Client(address, post(MIB, i)) for i in range(50)]
    run_crowd(clients)
    for _ in range(200):
        for client in clients:
            try:
                client.socket.send(b" ")
            except OSError:
                client.ended = True
    target.check("beside the crowd")
    leave(clients)
    wait_for_descriptors(target)
    target.check("after the crowd")


def left_in_an_outage(target):
    """Complete jobs, padded to an allowed size, whose callers leave at once
    while the store is slow."""
    store = target.deployment
    text = json.dumps(JOB).encode()
    body = text + b" " * (240 * KIB - len(text))
    store.control({"store_delay_ms": 20000})
    for number in range(300):
        head = post(len(body), 0x1000 + number)
        head = head[:-2] + b"X-Deadline-Ms: 60000\r\n\r\n"
        client = Client(target.addresses["front"], head, body, len(body))
        run_until_sent(client)
        client.socket.close()
    store.control({"store_delay_ms": 0})
    target.check("after the callers have left")


def run_until_sent(client):
    deadline = time.monotonic() + HANG_S
    while client.sent < client.size and not client.ended:
        assert time.monotonic() < deadline, "the process does not read"
        select.select([], [client.socket], [], 0.2)
        client.proceed(select.POLLOUT, False)


def large_jobs(target):
    """Jobs of as many tasks as allowed, which all wait."""
    step = {"count": 4096, "cpu": 100, "gpu": 8, "estimateMs": 60000}
    body = json.dumps({"spec": "x", "steps": [step] * 16}).encode()
    for number in range(24):
        client = Client(target.addresses["front"],
                        post(len(body), 0x2000 + number), body, len(body))
        run_crowd([client])
        leave([client])
    # Some may have begun.
    wait_until_known(target, 20)
    target.check("with all jobs accepted")


def many_jobs(target):
    """Small jobs of as many steps as allowed, which all wait."""
    steps = [{"count": 1, "cpu": 10 ** 6, "estimateMs": 60000}]
    steps += [{"count": 1, "after": [i]} for i in range(63)]
    body = json.dumps({"spec": "x", "steps": steps}).encode()
    count = 1500
    for first in range(0, count, 50):
        leave(run_crowd([Client(target.addresses["front"],
                                post(len(body), 0x3000 + first + i), body,
                                len(body)) for i in range(50)],
                        until_answered=True))
    target.check("with all jobs sent")


def wait_until_known(target, jobs):
    """Waits until the holder has read the jobs."""
    deadline = time.monotonic() + HANG_S
    while target.waiting() < jobs:
        assert time.monotonic() < deadline, "jobs are not known"
        time.sleep(0.2)


# Connections.

def idle(listener, head=b""):
    def case(target):
        crowd(target, listener, 500, lambda i: head, refill=True)
    return case


def come_and_go(target):
    for _ in range(3000):
        client = socket.create_connection(target.addresses["front"], 10)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
        client.close()
    wait_for_descriptors(target)
    target.check("after the crowd")


def link(target):
    """Connections to the address for messages between VMs, which announce a
    message of 8 MB and send 1 MiB of it."""
    greeting = b"\xff" + b"\0" * 8 + b"\x7f\x03\x00" + b"NULL" + b"\0" * 16 + \
        b"\0" + b"\0" * 31
    properties = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER" \
        b"\x08Identity\x00\x00\x00\x00"
    ready = b"\x04" + bytes([len(properties)]) + properties
    message = b"\x02" + struct.pack(">Q", 8 * MIB - 16)
    crowd(target, "link", 100, lambda i: greeting + ready + message,
          b" " * 65536, MIB)


def idle_link(target):
    crowd(target, "link", 500, lambda i: b"", refill=True)


# Framing.

def framing(target):
    """A request whose length is ambiguous or malformed gets one answer at the
    most, and the rest of its body is no request."""
    second = get("/q0/")
    heads = ["Content-Length: 5\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: chunked\r\nContent-Length: 5",
             "Transfer-Encoding: xchunked", "Content-Length: -1",
             "Content-Length: 0x10", "Content-Length: 1e9",
             "Content-Length: 5, 6", "Content-Length: 5\r\nContent-Length: 6",
             "Content-Length: 99999999999999999999"]
    for text in heads:
        head = f"POST /q0/{1:016x} HTTP/1.1\r\n{AUTHORIZATION}{text}\r\n\r\n"
        client = Client(target.addresses["front"],
                        head.encode() + b"0\r\n\r\n" + second)
        run_crowd([client])
        answers = client.statuses()
        print(f"{text!r}: {answers}")
        assert len(answers) <= 1, f"{text!r} was answered {len(answers)} times"
        leave([client])
    target.check("after the requests")


def pipelined(listener, path):
    """Requests without end, of which no answer is read."""
    def case(target):
        crowd(target, listener, 50, lambda i: b"", get(path) * 200,
              SEND_CAP_BYTES, reads=False)
    return case


def several_listeners(target):
    """Incomplete bodies on all HTTP listeners at once."""
    clients = [Client(target.addresses[name], post(MIB, i), b" " * 65536,
                      MIB - 1)
               for name in ("front", "ready", "control") for i in range(64)]
    run_crowd(clients)
    target.check("beside the crowd")
    leave(clients)
    wait_for_descriptors(target)
    target.check("after the crowd")


FLEETD_CASES = {
    "incomplete": incomplete("front"),
    "incomplete-ready": incomplete("ready"),
    "incomplete-control": incomplete("control"),
    "inside-incomplete": inside_incomplete,
    "several-listeners": several_listeners,
    "endless-body": endless(lambda i: post(1 << 30, i)),
    "endless-get": endless(lambda i: get("/q0/", "Content-Length: 1073741824"
                                         "\r\n")),
    "endless-delete": endless(lambda i: get(
        "/q0/", "Content-Length: 1073741824\r\n").replace(b"GET", b"DELETE")),
    "endless-chunks": endless_chunks,
    "endless-headers": endless_headers,
    "complete-objects": complete(16, MIB, b"[", b"{},"),
    "complete-inside-objects": complete(16, 240 * KIB, b"[", b"{},"),
    "complete-brackets": complete(16, MIB, b"", b"["),
    "byte-at-a-time": byte_at_a_time,
    "left-in-an-outage": left_in_an_outage,
    "large-jobs": large_jobs,
    "many-jobs": many_jobs,
    "idle": idle("front"),
    "idle-ready": idle("ready"),
    "idle-control": idle("control"),
    "idle-headers": idle("front", get("/q0/")[:-2]),
    "come-and-go": come_and_go,
    "framing": framing,
    "pipelined": pipelined("front", "/q0/"),
    "pipelined-unread": pipelined("control", "/metrics"),
    "link": link,
    "idle-link": idle_link,
}


def service_post(length, number=0):
    return (f"POST /v1/services/s/requests?id={number}&class=c&organisation=o "
            f"HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n").encode()


def resource_put(length, number=0):
    return (f"PUT /v1/jobs/j{number} HTTP/1.1\r\nHost: h\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def daemon_incomplete(target):
    crowd(target, "http", 96, lambda i: service_post(MIB, i), b" " * 65536,
          MIB - 1)


def daemon_objects(target):
    crowd(target, "http", 8, lambda i: resource_put(MIB, i) + b"[",
          b"{}," * 20000, MIB - 1)


def daemon_watches(target):
    """Watches that are never read, and connections beyond the descriptors."""
    crowd(target, "http", 500, lambda i: get("/v1/jobs?watch=1"), reads=False)


DAEMON_CASES = {
    "incomplete": daemon_incomplete,
    "objects": daemon_objects,
    "watches": daemon_watches,
    "idle": lambda target: crowd(target, "http", 500, lambda i: b"",
                                 refill=True),
}


def run_fleetd(build, case):
    options = argparse.Namespace(build=build, vms=1, workers=4, zones=1,
                                 rack=2, organisations=1, seed=1,
                                 direct_workers=150)
    with tempfile.TemporaryDirectory() as folder:
        deployment = SmallDeployment(options, folder)
        try:
            deployment.start(options)
            assert deployment.wait_until_ready(HANG_S)
            vm = deployment.vms[0]
            ports = {"front": FRONT_PORT, "ready": READY_PORT,
                     "control": CONTROL_PORT, "link": PORT_RANGE[0]}
            target = Target(vm.process, {name: (vm.ip, port) for name, port
                                         in ports.items()},
                            ((vm.ip, FRONT_PORT), "/q0/"))
            target.deployment = deployment
            target.begin()
            case(target)
        finally:
            deployment.stop()


def start_program(build, *arguments, **options):
    """Starts a program and returns it with the address that it prints."""
    process = subprocess.Popen([os.path.join(build, arguments[0]),
                                *arguments[1:]], stdin=subprocess.DEVNULL,
                               stdout=subprocess.PIPE,
                               stderr=subprocess.STDOUT, **options)
    for line in process.stdout:
        match = re.search(rb"(?:ready| on) (127[0-9.]+):(\d+)", line)
        if match:
            # A full pipe would stop the program.
            threading.Thread(target=process.stdout.read, daemon=True).start()
            return process, (match[1].decode(), int(match[2]))
    raise AssertionError(f"{arguments[0]} has not started")


def run_daemon(build, program, case):
    processes = []
    try:
        standin, store = start_program(build, "standin-platform", "--listen",
                                       "127.0.0.1:0")
        processes.append(standin)
        process, address = start_program(
            build, program, "--name", "p", "--zone", "z", "--listen",
            "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store",
            f"{store[0]}:{store[1]}", preexec_fn=limit_process,
            env=dict(environment(), CS_MEMORY_MB=str(MEMORY_MB),
                     CS_DESCRIPTORS=str(MAX_DESCRIPTORS)))
        processes.append(process)
        target = Target(process, {"http": address}, (address, "/healthz"))
        target.begin()
        case(target)
    finally:
        for process in processes:
            process.terminate()
            process.wait()


def all_cases():
    cases = {"fleetd-" + name: (lambda build, case=case:
                                run_fleetd(build, case))
             for name, case in FLEETD_CASES.items()}
    for program in ("cs-entryd", "cs-schedd"):
        for name, case in DAEMON_CASES.items():
            if program == "cs-schedd" and name == "watches":
                continue
            cases[f"{program[3:]}-{name}"] = (
                lambda build, program=program, case=case:
                run_daemon(build, program, case))
    return cases


def main():
    cases = all_cases()
    if sys.argv[1:] == ["--list"]:
        print("\n".join(cases))
        return
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    cases[sys.argv[2]](sys.argv[1])


if __name__ == "__main__":
    main()
