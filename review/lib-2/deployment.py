"""A small deployment on loopback addresses, for the cases of review/.

Starts cs-fleetd processes as deploy/system.toml says, and plays the platform's
store, the runners and the clients as the users' pages describe them:
PROTOCOL.md (the store, running subtasks, service discovery, jobs) and
DEPLOY.md (settings). All stand-ins are sound: they do what the pages say and answer at
once, unless a case tells one of them to do what a page allows.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "127.0.0.1"
ZONES = ("palermo", "catania", "trapani")
SERVICE = "clocking"
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
SILENCE_S = 3 * HEARTBEAT_S     # then the platform removes an entry
STORE_S = 0.004         # an answer of the store
TX_S = 0.005            # a transaction; a part takes one after another
ENDS_MAX = 500


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# HTTP/1.1 ------------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n"):
            break
        if not header:
            return None
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").strip(), headers, body


def encode_answer(status, body):
    data = json.dumps(body).encode()
    return (b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n" % (status, len(data))) + data


class Server:
    """An HTTP server; handle(method, path, query, headers, body) returns the
    status and the body of the answer."""

    def __init__(self, handle):
        self.handle = handle
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self):
        """Listens; again at the same address after a stop."""
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self.server = await asyncio.start_server(
            self.serve, HOST, port, limit=4 << 20, backlog=512,
            reuse_address=True)
        self.address = "%s:%d" % (
            HOST, self.server.sockets[0].getsockname()[1])

    def stop(self):
        """Closes the port and all connections: the process behind is gone."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                status, body = await self.handle(
                    method, path, dict(urllib.parse.parse_qsl(query)),
                    message[1], message[2])
                writer.write(encode_answer(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own. Returns the status, 0 without
    an answer, and the decoded body."""
    host, port = address.rsplit(":", 1)
    data = json.dumps(body).encode() if body is not None else b""
    lines = ["%s %s HTTP/1.1" % (method, path)]
    for name, value in (headers or {}).items():
        lines.append("%s: %s" % (name, value))
    if data:
        lines.append("Content-Type: application/json")
    lines.append("Content-Length: %d" % len(data))
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2] or b"null")
            except ValueError:
                return status, None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer:
            writer.close()


# The platform's metadata store ---------------------------------------------

class Store:
    """Rows in tables and parts, with versions from one counter."""

    def __init__(self):
        self.rows = {}          # (table, part, key) to [value, ver, deleted]
        self.version = 1
        self.begin = time.monotonic()
        self.changed = asyncio.Event()
        self.part_locks = {}
        self.server = Server(self.handle)

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    def put(self, table, part, key, value):
        """A write of the operator or of a runner: acknowledged at once."""
        self.apply([(table, part, key, value)], [])

    def remove(self, table, part, key):
        self.apply([], [(table, part, key)])

    def apply(self, puts, removals):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = [value, self.version, False]
        for row in removals:
            if row in self.rows and not self.rows[row][2]:
                self.rows[row] = ["", self.version, True]
        self.changed.set()
        self.changed = asyncio.Event()

    def version_of(self, row):
        entry = self.rows.get(row)
        return 0 if entry is None or entry[2] else entry[1]

    @staticmethod
    def encode(row, entry):
        out = {"table": row[0], "part": row[1], "key": row[2],
               "value": entry[0], "ver": entry[1]}
        if entry[2]:
            out["deleted"] = True
        return out

    def answer(self, **more):
        return {"ver": self.version, "nowMs": self.now_ms(), **more}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_S / 2)
        if path == "/rows-tx":
            status, out = await self.transact(json.loads(body))
        elif path == "/rows-get":
            status, out = self.read(query)
        elif path == "/rows-feed":
            status, out = await self.follow(query)
        else:
            status, out = 404, {}
        await asyncio.sleep(STORE_S / 2)
        return status, out

    async def transact(self, body):
        names = body.get("ifRev", []) + body.get("puts", []) + \
            body.get("remove", [])
        if len(names) > 100 or len({n.get("part", "") for n in names}) > 1:
            return 400, {}
        if any(n["table"] in ("op", "servers")
               for n in body.get("puts", []) + body.get("remove", [])):
            return 403, {}
        part = names[0].get("part", "") if names else ""
        async with self.part_locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            conditions = [((c["table"], c.get("part", ""), c["key"]),
                           c["ver"]) for c in body.get("ifRev", [])]
            if any(self.version_of(row) != ver for row, ver in conditions):
                return 412, self.answer(rows=[
                    self.encode(row, self.rows[row])
                    for row, _ in conditions if self.version_of(row)])
            self.apply([(p["table"], p.get("part", ""), p["key"], p["value"])
                        for p in body.get("puts", [])],
                       [(r["table"], r.get("part", ""), r["key"])
                        for r in body.get("remove", [])])
            return 200, self.answer()

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        rows = sorted(
            (row for row, entry in self.rows.items()
             if row[0] == table and row[1] == part and not entry[2] and
             row[2].encode() >= query.get("from", "").encode() and
             ("to" not in query or row[2].encode() < query["to"].encode())),
            key=lambda row: row[2].encode())
        return 200, self.answer(
            rows=[self.encode(row, self.rows[row]) for row in rows[:limit]],
            hasMore=len(rows) > limit)

    async def follow(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1e3
        while True:
            rows = sorted((entry[1], row) for row, entry in self.rows.items()
                          if row[0] == query["table"] and entry[1] > after)
            rest = end - time.monotonic()
            if rows or rest <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), rest)
            except TimeoutError:
                pass
        return 200, self.answer(
            rows=[self.encode(row, self.rows[row]) for _, row in rows[:500]])


# Runners -------------------------------------------------------------------

class Run:
    def __init__(self, task, run, spec, seconds, end):
        self.task = task
        self.run = run
        self.spec = spec
        self.end = end          # how it ends by itself
        self.seconds = seconds  # None: it lasts
        self.began = time.monotonic()
        self.stopping = False

    def percent(self):
        if self.seconds is None:
            return 100
        return min(100, int(100 * (time.monotonic() - self.began) /
                            max(self.seconds, 0.001)))


class Runner:
    """One runner. plan(task, run) says how long a run takes, None for one
    that lasts, and how it ends."""

    def __init__(self, deployment, name, zone, kind, rack, capacity):
        self.deployment = deployment
        self.record = deployment.record
        self.id = name
        self.zone = zone
        self.labels = [kind, rack]
        self.capacity = capacity
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.state = "ready"
        self.remaining_ms = None
        self.seq = 0
        self.written = 0.0
        self.fence = 0
        self.until_ms = 0
        self.running = {}       # task to Run
        self.ended = []         # [N, subtask, run, how, saved]
        self.end_count = 0
        self.highest_over = {}  # task to the highest run stopped or ended
        self.up = True
        self.listed_end = asyncio.Event()
        self.sheds_starts = False   # answers run-start with 503
        self.server = Server(self.handle)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def start(self):
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat()),
                      asyncio.create_task(self.work())]

    def write_entry(self):
        self.seq += 1
        self.written = time.monotonic()
        entry = {"service": SERVICE, "addr": self.server.address,
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                 "capacity": self.capacity, "labels": self.labels,
                 "born": self.born_ms, "clockMs": self.clock_ms()}
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        self.deployment.store.put(
            "servers", "", self.id,
            base64.b64encode(json.dumps(entry).encode()).decode())

    async def beat(self):
        while self.up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while self.up:
            now = time.monotonic()
            for run in list(self.running.values()):
                if run.seconds is not None and not run.stopping and \
                        now - run.began >= run.seconds:
                    self.finish(run, run.end)
            if self.running and self.clock_ms() > self.until_ms:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")
            await asyncio.sleep(0.01)

    def finish(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.highest_over[run.task] = max(
            run.run, self.highest_over.get(run.task, 0))
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.run, how, ""])
        self.record.write("runner %s: %s run %d ended %s" % (
            self.id, run.task, run.run, how))
        self.deployment.note_end(self, run, how)
        self.listed_end.set()
        self.listed_end = asyncio.Event()

    def fail_run(self, task):
        """A subtask ends through its own fault."""
        self.finish(self.running[task], "failed")

    async def leave(self):
        """Drains, goes on serving for drainMs and a little longer, exits."""
        self.state = "draining"
        self.remaining_ms = BOUNDS["drainMs"]
        self.write_entry()
        self.record.write("runner %s drains" % self.id)
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 0.3)
        self.vanish()
        self.deployment.store.remove("servers", "", self.id)
        self.record.write("runner %s has left" % self.id)

    def vanish(self):
        """All that runs here terminates, and nothing lists it."""
        self.up = False
        for run in list(self.running.values()):
            del self.running[run.task]
            self.record.write("runner %s: %s run %d terminated" % (
                self.id, run.task, run.run))
            self.deployment.note_end(self, run, "terminated")
        self.server.stop()

    async def crash(self, down_s, kind):
        """Crashes and starts again under its id, as another lifetime that
        may be of another kind."""
        self.vanish()
        self.record.write("runner %s crashes" % self.id)
        await asyncio.sleep(down_s)
        self.labels = [kind] + self.labels[1:]
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.seq = self.fence = self.until_ms = self.end_count = 0
        self.ended = []
        self.highest_over = {}
        self.up = True
        await self.start()
        self.record.write("runner %s is back, of kind %s" % (self.id, kind))

    def free(self):
        free = dict(self.capacity)
        for run in self.running.values():
            demand = self.deployment.demand(run.task)
            for name in free:
                free[name] -= demand.get(name, 0)
        return free

    def extend(self, until_ms):
        self.until_ms = max(self.until_ms, min(
            until_ms, self.clock_ms() + BOUNDS["holdMaxMs"]))

    def answer(self, **more):
        return {"clockMs": self.clock_ms(), "born": self.born_ms, **more}

    def refuse(self, reason):
        return 409, self.answer(reason=reason)

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return (200 if self.state == "ready" else 503), {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return self.refuse("fence")
        if path == "/run-start" and self.sheds_starts:
            self.record.write("runner %s: %s run %d answered 503" % (
                self.id, order["task"], order["run"]))
            return 503, {}
        self.fence = max(self.fence, order.get("fence", 0))
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            return self.run_stop(order)
        if path == "/hold":
            return await self.hold(order)
        return 404, {}

    def run_start(self, order):
        task, run = order["task"], order["run"]
        present = self.running.get(task)
        if present and present.run == run:
            self.extend(order["untilMs"])
            return 200, self.answer()
        if order["untilMs"] <= self.clock_ms():
            return self.refuse("late")
        if run <= self.highest_over.get(task, 0) or present:
            self.extend(order["untilMs"])
            return self.refuse("old")
        free = self.free()
        demand = self.deployment.demand(task)
        if any(demand.get(name, 0) > free[name] for name in free):
            self.extend(order["untilMs"])
            return self.refuse("room")
        self.extend(order["untilMs"])
        seconds, end = self.deployment.plan(task, run)
        self.running[task] = Run(task, run, order["spec"], seconds, end)
        self.record.write("runner %s: %s run %d started, fence %d" % (
            self.id, task, run, order["fence"]))
        self.deployment.note_start(self, self.running[task])
        return 200, self.answer()

    def run_stop(self, order):
        task, run = order["task"], order["run"]
        present = self.running.get(task)
        if present and present.run == run:
            if not present.stopping:
                present.stopping = True
                asyncio.get_running_loop().call_later(
                    0.3, self.finish, present, "stopped")
        else:
            self.highest_over[task] = max(
                run, self.highest_over.get(task, 0))
        return 200, self.answer()

    async def hold(self, order):
        seen = order.get("seenUpto", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if order.get("untilMs"):
            self.extend(order["untilMs"])
        if order.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.listed_end.wait(),
                                       min(order["waitMs"], 2000) / 1000)
            except TimeoutError:
                pass
        return 200, self.answer(
            running=[[run.task, run.run, "", run.percent(), 0]
                     for run in self.running.values()],
            ended=self.ended[:ENDS_MAX])


# Machines of the system ----------------------------------------------------

class Machine:
    """A VM with its cs-fleetd process."""

    def __init__(self, deployment, name, zone):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.process = None
        self.front = None
        self.control = None
        self.exited = None

    async def start(self, command):
        folder = self.deployment.folder
        path = os.path.join(folder, self.name + ".json")
        settings = {
            "node": self.name, "role": "fleetd", "class": "front",
            "serves": ["front", "control"], "ip": HOST, "zone": self.zone,
            "region": "sicilia", "zones": {z: "sicilia" for z in ZONES},
            "listen": {name: HOST + ":0"
                       for name in ("front", "ready", "control")},
            "portRange": [0, 0], "seeds": [], "bootstrap": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "tenants", "platform"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call",
            "platform": {"addr": self.deployment.store.server.address,
                         "form": "table", "writesPerS": 600,
                         "readsPerS": 2000, "txMs": 5.0,
                         "partWritesPerS": 200, "rowBytes": 65536,
                         "across": False, "historyS": 20}}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
            env={"PATH": os.environ.get("PATH", ""), "HOME": folder,
                 "LANG": "C", "CORIANDERSTAIR_NODE_FILE": path},
            limit=1 << 20)
        self.log = open(os.path.join(folder, self.name + ".log"), "wb")
        self.started = asyncio.Event()
        self.log_task = asyncio.create_task(self.read_log())
        try:
            await asyncio.wait_for(self.started.wait(), 10)
        except TimeoutError:
            raise CannotRun("%s did not start" % self.name) from None

    async def read_log(self):
        while True:
            line = await self.process.stderr.readline()
            if not line:
                break
            self.log.write(line)
            if not self.front and b'"event":"start"' in line:
                detail = json.loads(line)["detail"]
                words = detail.replace(",", "").split()
                self.front = words[words.index("on") + 1]
                self.control = words[words.index("peers") + 1]
                self.started.set()
        self.log.close()
        if self.exited is None:
            self.exited = "ended"
            self.started.set()

    def signal(self, number, what):
        self.deployment.record.write("machine %s: %s" % (self.name, what))
        self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP, "stands still")

    def wake(self):
        self.signal(signal.SIGCONT, "wakes")


class Deployment:
    """7 machines in 3 zones, and runners."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="corianderstair-case-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.runners = []
        self.machines = []
        self.config = None
        self.jobs = {}          # id to the job as handed in
        self.plans = {}         # id to plan(step, index, run)
        self.starts = []        # (time, task, run, runner, kind)
        self.ends = []          # (time, task, run, how, runner)

    async def expire_entries(self):
        """Removes the entries of runners that have been silent."""
        while True:
            for runner in self.runners:
                if self.store.version_of(("servers", "", runner.id)) and \
                        time.monotonic() - runner.written > SILENCE_S:
                    self.store.remove("servers", "", runner.id)
                    self.record.write("platform: the entry of %s is removed" %
                                      runner.id)
            await asyncio.sleep(0.05)

    # what the runners do

    def job_of(self, task):
        return self.jobs[task.split(".")[0]]

    def demand(self, task):
        return self.job_of(task)["steps"][int(task.split(".")[2])]

    def plan(self, task, run):
        name, _, step, index = task.split(".")
        return self.plans[name](int(step), int(index), run)

    def note_start(self, runner, run):
        self.starts.append((self.record.now(), run.task, run.run, runner,
                            runner.labels[0]))

    def note_end(self, runner, run, how):
        self.ends.append((self.record.now(), run.task, run.run, how, runner))

    def runs_of(self, prefix):
        """What runs now, as (task, runner)."""
        return [(run.task, runner) for runner in self.runners
                for run in runner.running.values()
                if run.task.startswith(prefix)]

    # the operator

    def configure(self, version, routes):
        self.config = {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionControl": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": ["key1"],
                         "guaranteed": {"gpu": 0}}]}
        self.store.put("op", "", "config", base64.b64encode(
            json.dumps(self.config).encode()).decode())
        self.record.write("operator: version %d acknowledged, routes %s" % (
            version, ", ".join(r["name"] for r in routes)))

    # clients

    async def request(self, machine, method, path, body=None, wait_s=3.0):
        headers = {"Host": "clock.example", "Authorization": "Token key1",
                   "X-Deadline-Ms": str(int(wait_s * 1000))}
        self.record.write("client: %s %s sent to %s" % (
            method, path, machine.name))
        status, answer = await call(machine.front, method, path, body,
                                    headers, wait_s)
        self.record.write("client: %s %s answered %s %s" % (
            method, path, status or "nothing", json.dumps(answer)))
        return status, answer

    async def until_answered(self, method, path, body=None, good=(200, 410),
                             tries=8, machines=None):
        """As a client does: again at another machine after no answer, a
        broken connection, 429, 502, 503 or 504."""
        machines = machines or self.machines
        for i in range(tries):
            status, answer = await self.request(
                machines[i % len(machines)], method, path, body)
            if status in good:
                return status, answer
            await asyncio.sleep(0.5)
        raise CannotRun("%s %s was not answered" % (method, path))

    async def submit(self, path, job, plan, machines=None):
        self.note_job(path, job, plan)
        return await self.until_answered("POST", path, job, (200,),
                                         machines=machines)

    def note_job(self, path, job, plan):
        name = path.rsplit("/", 1)[1]
        self.jobs[name] = job
        self.plans[name] = plan

    # start and end

    def holder(self):
        """The machine that holds the cell, by the system's row of it."""
        entry = self.store.rows.get(("cell", "cell", "epoch"))
        for row, value in self.store.rows.items():
            if row[0] == "cell" and row[2] == "epoch":
                entry = value
        if not entry:
            return None
        text = base64.b64decode(entry[0])
        for machine in self.machines:
            if machine.name.encode() + b"-" in text:
                return machine
        return None

    async def start(self, routes, runners):
        """runners: list of (id, zone, kind, rack, capacity)."""
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["fleetd"]["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun("%s is not built" % command[0])
        await self.store.server.start()
        self.configure(1, routes)
        for spec in runners:
            self.runners.append(Runner(self, *spec))
        for runner in self.runners:
            await runner.start()
        self.expiry = asyncio.create_task(self.expire_entries())
        counts = {"palermo": 3, "catania": 2, "trapani": 2}
        for zone in ZONES:
            for number in range(1, counts[zone] + 1):
                self.machines.append(
                    Machine(self, "front-%s-%d" % (zone, number), zone))
        for machine in self.machines:
            await machine.start(command)
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(10)
        job = {"spec": "first", "steps": [
            {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 200}]}
        path = routes[0]["pathPrefix"] + "00000000000000f0"
        await self.submit(path, job, lambda step, index, run: (0.2, "done"))
        await self.wait_state(path, "completed", 10)

    async def wait_state(self, path, state, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            _, answer = await self.until_answered("GET", path)
            if answer and answer.get("state") == state:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("%s is not %s" % (path, state))

    async def wait_for(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.02)
        raise CannotRun("not seen in %d s: %s" % (seconds, what))

    def check_processes(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is not None:
                raise CannotRun("%s has ended by itself" % machine.name)

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process:
                await machine.process.wait()
                await machine.log_task
        for runner in self.runners:
            runner.up = False
            runner.server.stop()
        self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record.write("logs are kept in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, priority, attempts=4, target_ms=1000, stretch=3.0):
    return {"name": name, "host": "clock.example", "pathPrefix": prefix,
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": target_ms,
            "priority": priority, "service": SERVICE, "attempts": attempts,
            "stretch": stretch, "allowAnonymous": False}


def small_fleet(count=48, per_rack=8):
    """Runners as the small sites have them: 64 cores, 128 GB, 8 GPUs."""
    return [("i-%04d" % number, ZONES[number // per_rack % 3], "a",
             "r%d" % (number // per_rack + 1),
             {"cpu": 64000, "memMb": 131072, "gpu": 8})
            for number in range(count)]


def play(folder, case):
    """Plays case(deployment), which returns what broke the rule or None, and
    exits with 1 if something did, 0 if nothing, 2 if it could not run."""

    async def main():
        deployment = Deployment(folder)
        # Ends the processes also where the script itself is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                broken = await case(deployment)
            deployment.check_processes()
        except CannotRun as error:
            deployment.record.write("could not run: %s" % error)
            return 2
        except TimeoutError:
            deployment.record.write("could not run: it took too long")
            return 2
        except asyncio.CancelledError:
            deployment.record.write("could not run: it was stopped")
            return 2
        except Exception as error:  # a fault of the case says nothing
            deployment.record.write("could not run: %r" % error)
            return 2
        finally:
            await deployment.stop()
        deployment.record.write(
            "RULE BROKEN: %s" % broken if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
