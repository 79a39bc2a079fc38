"""Stand-ins for the platform of a small deployment, and its VMs.

The store, the runners and the clients follow the users' pages; all of them
live in this process. The VMs are processes of target/cs-fleetd with a settings
file each. Everything listens on 127.0.0.1 at ports that the kernel chooses,
but for the VMs, whose ports are chosen free and then named in the settings.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "cs-fleetd")
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "revokeStrict": False, "revokeMs": 5000, "recoveryS": 12,
    "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 3, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500,
    "moveS": 1.5, "upkeepS": 2, "requireFencing": False, "leaseMs": 3000,
    "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "reclaimMs": 3400}
HEARTBEAT_S = 1.5
ENTRY_LAG_S = 0.0
STOP_S = 0.3
HISTORY_S = 20.0
STORE_S = 0.004
HOST = "n.example"
KEY = "d4a3hwrr6x73d3zji9n7"
OTHER_KEY = "3hh2b9wu3fexd9dnn2ct"
ZONES = ("palermo", "catania", "trapani")
STATUS_TEXTS = {200: "OK", 400: "Bad Request", 403: "Forbidden",
                404: "Not Found", 409: "Conflict", 410: "Gone",
                412: "Precondition Failed", 421: "Misdirected Request",
                503: "Service Unavailable"}


class Record:
    """Writes what happens, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class HttpServer:
    """Passes requests to handle(method, path, query, headers, body), which
    returns a status and an object, or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self):
        """Closes the listening socket and resets all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers,
                                           body)
                if answer is None:
                    continue
                status, reply = answer
                text = json.dumps(reply).encode()
                writer.write(("HTTP/1.1 %d %s\r\ncontent-type: "
                              "application/json\r\ncontent-length: %d\r\n\r\n"
                              % (status, STATUS_TEXTS.get(status, "Status"),
                                 len(text))).encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changes = []
        self.dropped_upto = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.clock_start = time.monotonic() - 100

    async def start(self):
        await self.server.start()

    def now_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def put(self, table, key, value, part=""):
        self.apply([{"table": table, "part": part, "key": key,
                     "value": base64.b64encode(value).decode()}], [])

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def remove(self, table, key, part=""):
        self.apply([], [{"table": table, "part": part, "key": key}])

    def apply(self, puts, removals):
        now = time.monotonic()
        self.version += 1
        for row in puts:
            name = (row["table"], row["part"], row["key"])
            self.rows[name] = (row["value"], self.version)
            self.changes.append((now, self.version, name))
        for row in removals:
            name = (row["table"], row["part"], row["key"])
            self.rows.pop(name, None)
            self.changes.append((now, self.version, name))
        while self.changes and now - self.changes[0][0] > HISTORY_S:
            self.dropped_upto = self.changes.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def describe(self, name):
        table, part, key = name
        row = {"table": table, "part": part, "key": key}
        if name in self.rows:
            row["value"], row["ver"] = self.rows[name]
        return row

    def answer(self, rows=None, **more):
        reply = {"ver": self.version, "nowMs": self.now_ms()}
        if rows is not None:
            reply["rows"] = rows
        reply.update(more)
        return reply

    def transact(self, call):
        for row in call.get("puts", []) + call.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        names = [((r["table"], r["part"], r["key"]), r["ver"])
                 for r in call.get("ifRev", [])]
        for name, version in names:
            if self.rows.get(name, ("", 0))[1] != version:
                return 412, self.answer([self.describe(n) for n, _ in names
                                         if n in self.rows])
        self.apply(call.get("puts", []), call.get("remove", []))
        return 200, self.answer()

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            key for table, part, key in self.rows
            if table == query["table"] and part == query.get("part", "") and
            key >= query.get("from", "") and
            ("to" not in query or key < query["to"]))
        rows = [self.describe((query["table"], query.get("part", ""), key))
                for key in keys[:limit]]
        return 200, self.answer(rows, hasMore=len(keys) > limit)

    def changed_rows(self, table, after):
        newest = {}
        for _, version, name in self.changes:
            if version > after and name[0] == table:
                newest.pop(name, None)
                newest[name] = version
        rows = []
        for name, version in list(newest.items())[:500]:
            row = self.describe(name)
            if name not in self.rows:
                row["deleted"] = True
                row["ver"] = version
            rows.append(row)
        return rows, len(newest) > 500

    async def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.dropped_upto:
                return 410, {}
            event = self.changed
            rows, more = self.changed_rows(query["table"], after)
            left = until - time.monotonic()
            if rows or left <= 0:
                reply = self.answer(rows, hasMore=more)
                if more:
                    reply["ver"] = rows[-1]["ver"]
                return 200, reply
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_S)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            return self.get(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}


class Life:
    """One lifetime of a runner: what it knows ends with it."""

    def __init__(self, runner, number):
        self.runner = runner
        self.number = number
        self.start = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.finished = {}
        self.end_listed = asyncio.Event()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.start) * 1000)

    def reply(self, **more):
        return dict(clockMs=self.clock_ms(), born=self.born, **more)

    def extend(self, until_ms):
        limit = self.clock_ms() + BOUNDS["holdMaxMs"]
        self.until_ms = max(self.until_ms, min(until_ms, limit))

    def end(self, task, how):
        run = self.runs.pop(task)
        self.finished[task] = max(self.finished.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.runner.note("ended", task, run["run"], self, how)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        if self.runs and self.clock_ms() >= self.until_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if run["stop_at"] and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["end_at"] and now >= run["end_at"]:
                self.end(task, run["how"])

    def refuse(self, reason):
        return 409, self.reply(reason=reason)

    def has_room(self, step):
        used = [0, 0, 0]
        for run in self.runs.values():
            for i, name in enumerate(("cpu", "memMb", "gpu")):
                used[i] += run["step"].get(name, 0)
        return all(used[i] + step.get(name, 0) <= self.runner.capacity[name]
                   for i, name in enumerate(("cpu", "memMb", "gpu")))

    def run_start(self, call):
        task, number = call["task"], call["run"]
        present = self.runs.get(task)
        if present and present["run"] == number:
            self.extend(call["untilMs"])
            return 200, self.reply()
        if present or self.finished.get(task, 0) >= number:
            self.extend(call["untilMs"])
            return self.refuse("old")
        if call["untilMs"] <= self.clock_ms():
            return self.refuse("late")
        step, work_s, how = self.runner.work_of(task)
        if not self.has_room(step):
            self.extend(call["untilMs"])
            return self.refuse("room")
        self.runs[task] = {
            "run": number, "step": step, "start": time.monotonic(),
            "work_s": work_s, "how": how, "stop_at": 0,
            "end_at": time.monotonic() + work_s if work_s else 0}
        self.extend(call["untilMs"])
        self.runner.note("started", task, number, self,
                         "fence %d" % call.get("fence", 0))
        return 200, self.reply()

    def run_stop(self, call):
        task, number = call["task"], call["run"]
        present = self.runs.get(task)
        if present and present["run"] == number:
            if not present["stop_at"]:
                present["stop_at"] = time.monotonic() + STOP_S
        else:
            self.finished[task] = max(self.finished.get(task, 0), number)
        return 200, self.reply()

    def lists(self):
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            share = (now - run["start"]) / run["work_s"] if run["work_s"] else 1
            running.append([task, run["run"], "", min(int(share * 100), 100),
                            0])
        return self.reply(running=running, ended=self.ended[:500])

    async def hold(self, call):
        seen = call.get("seenUpto", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.runner.note("noted", end[1], end[2], self, end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        if "untilMs" in call:
            self.extend(call["untilMs"])
        if call.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       call["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()

    async def execute(self, path, call):
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = max(self.fence, call.get("fence", 0))
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            return self.run_stop(call)
        if path == "/hold":
            return await self.hold(call)
        return 404, {}


class Runner:
    """A runner: an address, an entry in the store, and its lifetimes."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.id = "i-%08x" % (0x7f3a91c2 + number)
        self.rack = "r1-%d" % (number // 8)
        self.zone = ZONES[number // 16 % len(ZONES)]
        self.capacity = {"cpu": 64000, "memMb": 131072, "gpu": 8}
        self.server = HttpServer(self.handle)
        self.life = None
        self.lives = 0
        self.state = "ready"
        self.sequence = 0
        # May take an order over: filter(path, call) returns True if it does,
        # and the order gets no answer.
        self.filter = None
        # An unhealthy runner rejects all starts, and has then done nothing.
        self.unhealthy = False

    def work_of(self, task):
        return self.deployment.work_of(task)

    def note(self, what, task, run, life, detail):
        self.deployment.note_run(what, task, run, self, life, detail)

    async def start(self):
        """Starts a lifetime at the address of the former one."""
        self.lives += 1
        self.life = Life(self, self.lives)
        if self.server.server:
            self.server = HttpServer(self.handle)
            await self.server.start(self.port)
        else:
            self.port = await self.server.start()
        self.deployment.record.line("runner %s lifetime %d starts, born %d" %
                                    (self.id, self.lives, self.life.born))
        self.publish()

    def crash(self):
        life, self.life = self.life, None
        self.server.stop()
        self.deployment.record.line("runner %s lifetime %d crashes" %
                                    (self.id, life.number))
        for task, run in life.runs.items():
            self.note("ended", task, run["run"], life, "crashed")

    def publish(self):
        self.sequence += 1
        self.deployment.store.put_json("servers", self.id, {
            "service": "huvo11a", "addr": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "capacity": self.capacity,
            "labels": ["a", self.rack], "clockMs": self.life.clock_ms(),
            "seq": self.sequence, "born": self.life.born})

    async def handle(self, method, path, query, headers, body):
        life = self.life
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, {}
        call = json.loads(body) if body else {}
        if self.filter and self.filter(path, call):
            return None
        if self.unhealthy and path == "/run-start":
            self.deployment.record.line("runner %s rejects %s, number %d" %
                                        (self.id, call["task"], call["run"]))
            return 503, {}
        answer = await life.execute(path, call)
        # A process that has crashed answers nothing.
        return answer if self.life is life else None


def free_ports(count, taken):
    """Returns ports that are free and not yet in taken, and adds them to it.
    They lie below those that the kernel gives to connections, which could
    otherwise take one before its VM listens on it."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        if port in taken:
            continue
        with socket.socket() as test:
            try:
                test.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        ports.append(port)
    return ports


class Vm:
    """A process of the system."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.zone = ZONES[number % len(ZONES)]
        self.name = "front-%s-%d" % (self.zone, number // len(ZONES) + 1)
        self.front, self.ready, self.control, self.link = free_ports(
            4, deployment.ports)
        self.process = None
        self.store_port = 0

    def settings(self):
        return {
            "node": self.name, "role": "fleetd", "class": "front",
            "serves": ["front", "control"], "ip": "127.0.0.1",
            "zone": self.zone, "region": "sicilia",
            "zones": {zone: "sicilia" for zone in ZONES},
            "listen": {"front": "127.0.0.1:%d" % self.front,
                       "ready": "127.0.0.1:%d" % self.ready,
                       "control": "127.0.0.1:%d" % self.control},
            "portRange": [self.link, self.link],
            "seeds": ["127.0.0.1:%d" % vm.control
                      for vm in self.deployment.vms[:3]],
            "bootstrap": True, "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "orders": "call",
            "platform": {
                "addr": "127.0.0.1:%d" % (self.store_port or
                                          self.deployment.store.server.port),
                "form": "table", "writesPerS": 600, "readsPerS": 2000,
                "txMs": 5.0, "partWritesPerS": 200, "rowBytes": 65536,
                "across": False, "historyS": 20}}

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"),
                   "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            cwd=ROOT, env={"PATH": os.environ.get("PATH", ""),
                           "HOME": os.environ.get("HOME", "/"),
                           "CORIANDERSTAIR_NODE_FILE": path})
        log.close()
        self.deployment.record.line("VM %s started, process %d" %
                                    (self.name, self.process.pid))

    def last_words(self):
        path = os.path.join(self.deployment.folder, self.name + ".log")
        with open(path, "rb") as file:
            return file.read()[-200:].decode("utf-8", "replace").strip()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.deployment.record.line("VM %s gets %s" % (
                self.name, signal.Signals(number).name))
            self.process.send_signal(number)


class Deployment:
    """A store, runners and VMs, and what the runners have seen."""

    def __init__(self, record_path, vm_count=3, runner_count=8):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="corianderstair-review-")
        self.store = None
        self.vm_count = vm_count
        self.runner_count = runner_count
        self.vms = []
        self.runners = []
        self.ports = set()  # of the VMs
        self.jobs = {}
        self.events = []  # (time, what, task, run, runner, lifetime, detail)
        self.version = 0
        self.routes = []
        self.tasks = []

    def configure(self):
        self.version += 3
        self.store.put_json("op", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": "huvo11a", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionControl": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1,
                         "guaranteed": {"gpu": 72}},
                        {"name": "vuro17", "apiKeys": [OTHER_KEY],
                         "priority": 1, "guaranteed": {"gpu": 72}}]})

    async def start(self):
        self.store = Store()
        await self.store.start()
        self.routes = [{
            "name": "r-3ajwyy7", "host": HOST, "pathPrefix": "/pule252/",
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250,
            "priority": 0, "service": "huvo11a", "attempts": 4,
            "stretch": 1.5, "allowAnonymous": False}, {
            "name": "r-ce7ejsm", "host": HOST, "pathPrefix": "/lohu930/",
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
            "priority": 1, "service": "huvo11a", "attempts": 2,
            "stretch": 3.0, "allowAnonymous": False}]
        self.configure()
        self.runners = [Runner(self, i) for i in range(self.runner_count)]
        for runner in self.runners:
            await runner.start()
        self.tasks.append(asyncio.ensure_future(self.run_runners()))
        self.tasks.append(asyncio.ensure_future(self.publish_runners()))
        self.vms = [Vm(self, i) for i in range(self.vm_count)]
        for vm in self.vms:
            await vm.start()

    async def run_runners(self):
        while True:
            for runner in self.runners:
                if runner.life:
                    runner.life.advance()
            await asyncio.sleep(0.005)

    async def publish_runners(self):
        """Writes the entries of those that live; removes the others after
        three intervals of silence."""
        silent = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for runner in self.runners:
                if runner.life:
                    silent[runner] = 0
                    runner.publish()
                    continue
                silent[runner] = silent.get(runner, 0) + 1
                if silent[runner] == 3:
                    self.store.remove("servers", runner.id)
                    self.record.line("entry of runner %s expires" % runner.id)

    def work_of(self, task):
        return self.jobs[task.split(".")[0]](task)

    def note_run(self, what, task, run, runner, life, detail):
        self.events.append((self.record.now(), what, task, run, runner.id,
                            life.number, detail))
        self.record.line("run of %s, number %d, %s on runner %s lifetime %d: "
                         "%s" % (task, run, what, runner.id, life.number,
                                 detail))

    async def call(self, vm, method, path, body=None, timeout_s=3.0,
                   key=KEY):
        """Returns the status and the object, or None without an answer."""
        text = json.dumps(body).encode() if body is not None else b""
        sent = self.record.now()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", vm.front), timeout_s)
        except (OSError, asyncio.TimeoutError):
            self.record.line("%s %s to %s: no connection" % (method, path,
                                                            vm.name))
            return None
        try:
            writer.write((
                "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n"
                "X-Deadline-Ms: %d\r\nContent-Type: application/json\r\n"
                "Content-Length: %d\r\nConnection: close\r\n\r\n" %
                (method, path, HOST, key, int(timeout_s * 1000),
                 len(text))).encode() + text)
            message = await asyncio.wait_for(read_message(reader), timeout_s)
        except (OSError, asyncio.TimeoutError):
            message = None
        finally:
            writer.close()
        if not message:
            self.record.line("%s %s to %s sent at %.3f: no answer" %
                             (method, path, vm.name, sent))
            return None
        status = int(message[0].split(" ")[1])
        self.record.line("%s %s to %s sent at %.3f: %d %s" % (
            method, path, vm.name, sent, status, message[2].decode()[:100]))
        try:
            return status, json.loads(message[2])
        except ValueError:
            return status, None

    async def submit(self, vm, job_id, steps, work, spec="text",
                     prefix="/pule252/", key=KEY):
        """Hands a job in as a client does, until it is accepted; work(task)
        returns the step, the seconds of work and how a run ends."""
        self.jobs[job_id] = work
        body = {"spec": spec, "steps": steps}
        for i in range(40):
            answer = await self.call(vm, "POST", prefix + job_id, body,
                                     key=key)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.25)
            vm = self.vms[(self.vms.index(vm) + 1) % len(self.vms)]
        return False

    async def state_of(self, vm, job_id, prefix="/pule252/"):
        answer = await self.call(vm, "GET", prefix + job_id)
        return answer[1].get("state") if answer and answer[0] == 200 else None

    async def wait_until(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return condition()

    async def wait_ready(self, seconds=15):
        """Waits until each VM says that it is ready."""
        until = time.monotonic() + seconds
        waiting = list(self.vms)
        while waiting and time.monotonic() < until:
            for vm in list(waiting):
                try:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", vm.ready)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                                 b"Connection: close\r\n\r\n")
                    message = await asyncio.wait_for(read_message(reader), 1)
                    writer.close()
                    if message and " 200 " in message[0]:
                        waiting.remove(vm)
                except (OSError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(0.1)
        return not waiting

    def holder(self):
        """Returns the VM that the epoch row names: the process that last
        acquired the cell."""
        value, _ = self.store.rows.get(("cell", "c0", "epoch"), (None, 0))
        for name, (value, _) in self.store.rows.items():
            if name[0] == "cell" and name[2] == "epoch":
                text = base64.b64decode(value).decode("latin-1")
                named = [vm for vm in self.vms if vm.name + "-" in text]
                # Former holders stand behind the present one.
                named.sort(key=lambda vm: text.index(vm.name + "-"))
                return named[0] if named else None
        return None

    def open_runs(self, task):
        """Returns the runs of a task that are at work, as (run, runner,
        lifetime)."""
        present = []
        for _, what, name, run, runner, life, _ in self.events:
            if name == task and what == "started":
                present.append((run, runner, life))
            elif name == task and what == "ended":
                if (run, runner, life) in present:
                    present.remove((run, runner, life))
        return present

    async def stop(self, keep_logs=False):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                await vm.process.wait()
        for runner in self.runners:
            if runner.life:
                runner.server.stop()
        if self.store:
            self.store.server.stop()
        if keep_logs:
            print("logs: " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, limit_s=90, **sizes):
    """Runs case(deployment, trouble) and exits with 1 if it returns False, 0
    if it returns True, 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep_logs = bool(os.environ.get("KEEP_LOGS"))

    async def play():
        deployment = Deployment(os.path.join(folder, "record.txt"), **sizes)
        try:
            await deployment.start()
            if not await deployment.wait_ready():
                for vm in deployment.vms:
                    if vm.process.returncode is not None:
                        deployment.record.line("VM %s has ended with %d: %s" % (
                            vm.name, vm.process.returncode, vm.last_words()))
                deployment.record.line("not ready")
                return None
            return await asyncio.wait_for(case(deployment, trouble), limit_s)
        except asyncio.TimeoutError:
            deployment.record.line("the case took too long")
            return None
        finally:
            await deployment.stop(keep_logs)

    if not os.access(PROGRAM, os.X_OK):
        print("target/cs-fleetd is missing", file=sys.stderr)
        sys.exit(2)
    try:
        result = asyncio.run(play())
    except Exception:  # a fault of the stand-ins is no broken rule
        traceback.print_exc()
        result = None
    print({True: "held", False: "broken", None: "could not run"}[result])
    sys.exit({True: 0, False: 1, None: 2}[result])
