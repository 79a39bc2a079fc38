"""Stand-ins for the users' platform: store, runners, clients.

They speak what PROTOCOL.md says, over HTTP on loopback addresses and the real
clock, and note what they see in a record. Everything runs in one event loop;
the programs under review are started as processes of their own.
"""

import asyncio
import base64
import bisect
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
import zlib

sys.dont_write_bytecode = True

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "cs-fleetd")

# As in the site files of the small deployments.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "revokeStrict": False, "revokeMs": 5000, "recoveryS": 12,
    "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 3, "checkpointS": 1, "restoreMs": 600, "noticeMs": 4500,
    "moveS": 1.5, "upkeepS": 2, "requireFencing": False, "leaseMs": 3000,
    "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "reclaimMs": 3400,
}
HEARTBEAT_MS = 1500
ROW_BYTES = 65536
TX_S = 0.005
READ_S = 0.004
HISTORY_S = 20
KEY = "d4a3hwrr6x73d3zji9n7"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()

    def close(self):
        self.file.close()


# --- HTTP -----------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    size = int(headers.get("content-length") or 0)
    if size:
        try:
            body = await reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server whose handler returns a status and a JSON value.

    None instead of these closes the connection without an answer.
    """

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(
            self.serve, ip, port, limit=1 << 22, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target = first.split(" ")[:2]
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d %s\r\ncontent-type: "
                             b"application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, REASONS[status].encode(), len(text))
                             + text)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()


async def call(address, method, path, value=None, key=KEY, host="h.example",
               timeout_s=3.0, deadline_ms=3000):
    """A client's call on a connection of its own.

    Returns (status, value); (None, reason) without an answer.
    """
    ip, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        body = json.dumps(value).encode() if value is not None else b""
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n" % (
            method, path, host, deadline_ms)
        if key:
            head += "Authorization: Token %s\r\n" % key
        if body:
            head += "Content-Type: application/json\r\n"
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return None, "connection ended"
        try:
            answer = json.loads(message[2]) if message[2] else None
        except ValueError:
            answer = message[2].decode("latin-1")
        return int(message[0].split(" ")[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        return None, "no answer in %d ms" % (timeout_s * 1000)
    except OSError as error:
        return None, "no connection: %s" % error
    finally:
        if writer:
            writer.close()


# --- The platform's store ---------------------------------------------------


class Store:
    """Rows with transactions, reads and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}      # (table, part, key) to (text, version)
        self.version = 0
        self.logs = {}      # table to [(version, time, part, key)]
        self.dropped = {}   # table to the last version that was dropped
        self.changed = {}   # table to an event
        self.server = Server(self.handle)
        self.start = time.monotonic()
        self.refused = 0    # changes refused with 400

    def put(self, table, part, key, text):
        """A write by the platform itself, the operator or a runner."""
        self.version += 1
        self.set_row(table, part, key, text)
        self.wake([table])

    def set_row(self, table, part, key, text):
        if text is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (text, self.version)
        self.logs.setdefault(table, []).append(
            (self.version, time.monotonic(), part, key))

    def wake(self, tables):
        for table in tables:
            self.changed.pop(table, asyncio.Event()).set()

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000) + 1000

    def answer(self, **values):
        values.update(ver=self.version, nowMs=self.now_ms())
        return values

    def row(self, name):
        table, part, key = name
        text, version = self.rows[name]
        return {"table": table, "part": part, "key": key, "ver": version,
                "value": text}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, True))
        if method == "POST" and path == "/rows-tx":
            return await self.transact(json.loads(body), len(body))
        if method == "GET" and path == "/rows-get":
            await asyncio.sleep(READ_S)
            return self.read(arguments)
        if method == "GET" and path == "/rows-feed":
            return await self.feed(arguments)
        return 404, {}

    async def transact(self, change, size):
        await asyncio.sleep(TX_S)
        return self.apply(change, size)

    def apply(self, change, size=0):
        conditions = change.get("ifRev") or []
        puts = change.get("puts") or []
        removals = change.get("remove") or []
        entries = conditions + puts + removals
        if len(entries) > 100 or size > 1 << 20 or \
                len({row.get("part", "") for row in entries}) > 1:
            self.refused += 1
            return 400, {}
        for row in puts:
            # The value is the base64 of at most rowBytes.
            if len(base64.b64decode(row["value"])) > ROW_BYTES:
                self.refused += 1
                self.record.note(
                    "store: change refused, %s/%s has %d bytes"
                    % (row["table"], row["key"],
                       len(base64.b64decode(row["value"]))))
                return 400, {}
        if any(row["table"] in ("op", "servers") for row in puts + removals):
            return 403, {}
        names = [(row["table"], row.get("part", ""), row["key"])
                 for row in conditions]
        if any(self.rows.get(name, ("", 0))[1] != row["ver"]
               for name, row in zip(names, conditions)):
            return 412, self.answer(rows=[self.row(name) for name in names
                                          if name in self.rows])
        self.version += 1
        for row in puts:
            self.set_row(row["table"], row.get("part", ""), row["key"],
                         row["value"])
        for row in removals:
            self.set_row(row["table"], row.get("part", ""), row["key"], None)
        self.wake({row["table"] for row in puts + removals})
        return 200, self.answer()

    def read(self, arguments):
        table, part = arguments["table"], arguments.get("part", "")
        first, end = arguments.get("from", ""), arguments.get("to")
        limit = min(int(arguments.get("limit") or 500), 500)
        names = sorted(name for name in self.rows
                       if name[:2] == (table, part) and name[2] >= first and
                       (end is None or name[2] < end))
        rows = []
        size = 0
        for name in names:
            size += len(self.rows[name][0])
            if len(rows) == limit or (rows and size > 1 << 20):
                break
            rows.append(self.row(name))
        return 200, self.answer(rows=rows, hasMore=len(rows) < len(names))

    async def feed(self, arguments):
        table, after = arguments["table"], int(arguments["after"])
        end = time.monotonic() + int(arguments.get("waitMs") or 0) / 1000
        await asyncio.sleep(READ_S)
        while True:
            log = self.logs.setdefault(table, [])
            oldest = time.monotonic() - HISTORY_S
            while log and log[0][1] < oldest:
                self.dropped[table] = log.pop(0)[0]
            if after < self.dropped.get(table, 0):
                return 410, {}
            first = bisect.bisect_right(log, (after, float("inf")))
            newest = {(table, part, key): version
                      for version, _, part, key in log[first:]}
            if newest:
                break
            rest = end - time.monotonic()
            if rest <= 0:
                return 200, self.answer(rows=[])
            changed = self.changed.setdefault(table, asyncio.Event())
            try:
                await asyncio.wait_for(changed.wait(), rest)
            except asyncio.TimeoutError:
                pass
        rows = []
        order = sorted(newest.items(), key=lambda item: item[1])
        for name, version in order[:500]:
            if name in self.rows:
                rows.append(self.row(name))
            else:
                rows.append({"table": name[0], "part": name[1],
                             "key": name[2], "ver": version, "deleted": True})
        answer = self.answer(rows=rows)
        if len(order) > 500:
            # Resumed from the last change that was returned.
            answer["ver"] = order[499][1]
            answer["hasMore"] = True
        return 200, answer


# --- Runners -----------------------------------------------------------------


class Run:
    def __init__(self, task, run, begin, work_s):
        self.task = task
        self.run = run
        self.begin = begin
        self.work_s = work_s
        self.saved = ""
        self.demand = {}
        self.timer = None
        self.stopping = False


class Runner:
    """A runner with a call for each order; its work lasts as `spec` says.

    The clients of these cases write the work's milliseconds and the demand of
    one subtask into `spec`, which reaches the runner unchanged.
    """

    def __init__(self, fleet, name, service, labels, capacity, zone="z1"):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.service = service
        self.labels = labels
        self.capacity = capacity
        self.zone = zone
        self.state = "ready"
        self.slots = 8
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.lease_timer = None
        self.lapses = []
        self.fails_until = 0   # by the record's clock
        self.running = {}      # (task, run) to Run
        self.highest = {}      # task to the highest run stopped or ended
        self.ended = []        # [number, task, run, how, saved]
        self.end_number = 0
        self.noted = 0
        self.free = dict(capacity)
        self.change = asyncio.Event()
        self.server = Server(self.handle)

    def clock_ms(self):
        return int((time.monotonic() - self.start) * 1000) + 1000

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "addr": self.server.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock_ms(), "seq": self.sequence,
                "born": self.born}

    def check_in(self):
        text = base64.b64encode(json.dumps(self.entry()).encode()).decode()
        self.fleet.store.put("servers", "", self.name, text)

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected and expected != self.name:
            return 421, {"clockMs": self.clock_ms()}
        order = json.loads(body)
        if target == "/run-start":
            return self.run_start(order)
        if target == "/run-stop":
            return self.run_stop(order)
        if target == "/hold":
            return await self.hold(order)
        return 404, {}

    def clocked(self, **values):
        values["clockMs"] = self.clock_ms()
        return values

    def refuse(self, reason):
        return 409, self.clocked(reason=reason)

    def is_fenced(self, order):
        fence = order.get("fence", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def extend(self, until_ms):
        limit = self.clock_ms() + BOUNDS["holdMaxMs"]
        self.lease_ms = max(self.lease_ms, min(until_ms, limit))
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(self.lease_ms - self.clock_ms(), 0) / 1000, self.lapse)

    def lapse(self):
        self.lapses.append(self.record.now())
        for run in list(self.running.values()):
            self.end(run, "lapsed")

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if self.is_fenced(order):
            return self.refuse("fence")
        if (task, number) in self.running:
            return 200, self.clocked()
        if number <= self.highest.get(task, 0):
            self.extend(order["untilMs"])
            return self.refuse("old")
        if order["untilMs"] <= self.clock_ms():
            return self.refuse("late")
        work = json.loads(order["spec"])
        demand = {name: work.get(name, 0) for name in self.free}
        if any(demand[name] > self.free[name] for name in demand):
            self.extend(order["untilMs"])
            return self.refuse("room")
        run = Run(task, number, time.monotonic(), work["ms"] / 1000)
        run.demand = demand
        run.saves = work.get("saves", False)
        run.saved = order.get("checkpointData", "")
        for name in demand:
            self.free[name] -= demand[name]
        self.running[(task, number)] = run
        self.extend(order["untilMs"])
        fails = self.record.now() < self.fails_until
        run.timer = asyncio.get_running_loop().call_later(
            run.work_s / 4 if fails else run.work_s, self.end, run,
            "failed" if fails else "done")
        self.fleet.on_start(self, run, order)
        return 200, self.clocked()

    def run_stop(self, order):
        if self.is_fenced(order):
            return self.refuse("fence")
        run = self.running.get((order["task"], order["run"]))
        if run and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                0.1, self.end, run, "stopped")
        if not run:
            self.highest[order["task"]] = max(
                self.highest.get(order["task"], 0), order["run"])
        return 200, self.clocked()

    def end(self, run, how):
        if (run.task, run.run) not in self.running:
            return
        run.timer.cancel()
        del self.running[(run.task, run.run)]
        for name in run.demand:
            self.free[name] += run.demand[name]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.run, how,
                           self.saved(run)])
        self.fleet.on_end(self, run, how, self.end_number)
        self.change.set()
        self.change = asyncio.Event()

    async def hold(self, order):
        if self.is_fenced(order):
            return self.refuse("fence")
        seen = order.get("seenUpto", 0)
        if seen > self.noted:
            self.noted = seen
            self.fleet.on_noted(self, seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "untilMs" in order:
            self.extend(order["untilMs"])
        if not self.ended and order.get("waitMs"):
            try:
                await asyncio.wait_for(self.change.wait(),
                                       min(order["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, self.saved(run), self.percent(run)]
                   for run in self.running.values()]
        # 500 ends at a time.
        return 200, self.clocked(running=running, ended=self.ended[:500],
                                 born=self.born)

    def saved(self, run):
        """A new checkpoint comes with each checkpointS of work."""
        count = int((time.monotonic() - run.begin) / BOUNDS["checkpointS"])
        if run.saves and count > 0:
            return "%08x%s" % (count, run.task[:8])
        return run.saved

    def percent(self, run):
        share = (time.monotonic() - run.begin) / max(run.work_s, 0.001)
        return min(int(share * 100), 99)


# --- The whole deployment -----------------------------------------------------


PORTS = {"front": 8521, "ready": 8523, "control": 8526, "link": 7000}


def choose_network():
    """Returns the first three numbers of loopback addresses whose ports are
    free; each machine has an address of its own and the same ports."""
    for attempt in range(200):
        number = (os.getpid() + attempt * 7919) % 60000
        network = "127.%d.%d." % (number // 250 + 5, number % 250 + 1)
        try:
            for machine in range(1, 10):
                for port in PORTS.values():
                    with socket.socket() as probe:
                        probe.bind((network + str(machine), port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Machine:
    """A machine of the system with one process of the program."""

    def __init__(self, fleet, name, ip, zone="z1"):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.killed = False
        self.front = "%s:%d" % (ip, PORTS["front"])
        self.ready = "%s:%d" % (ip, PORTS["ready"])
        self.control = "%s:%d" % (ip, PORTS["control"])
        self.settings_path = os.path.join(fleet.folder, name + ".json")

    def write_settings(self):
        zones = {machine.zone: "r1" for machine in self.fleet.machines}
        settings = {
            "node": self.name, "role": "fleetd", "class": "front",
            "serves": ["front", "control"], "ip": self.ip,
            "zone": self.zone, "region": "r1", "zones": zones,
            "listen": {"front": self.front, "ready": self.ready,
                       "control": self.control},
            "portRange": [PORTS["link"], PORTS["link"] + 15],
            "seeds": [machine.control for machine in self.fleet.machines[:3]],
            "bootstrap": True, "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS, "bounds": BOUNDS, "orders": "call",
            "platform": {"addr": self.fleet.store_paths.get(
                             self.name, self.fleet.store.server.address),
                         "form": "table", "writesPerS": 600,
                         "readsPerS": 2000, "txMs": 5.0,
                         "partWritesPerS": 200, "rowBytes": ROW_BYTES,
                         "across": False, "historyS": HISTORY_S},
        }
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                                                           "LANG")
                       if name in os.environ}
        environment["CORIANDERSTAIR_NODE_FILE"] = self.settings_path
        # The command of deploy/system.toml, in the repository's root.
        self.killed = False
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.fleet.record.note("%s started" % self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.killed = self.killed or number == signal.SIGKILL
        self.fleet.record.note("%s gets %s" % (self.name,
                                               signal.Signals(number).name))

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            await self.process.wait()

    def log_text(self):
        path = os.path.join(self.fleet.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    """The store, runners and machines of one case."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="corianderstair-review-")
        self.store = Store(self.record)
        self.runners = []
        self.machines = []
        self.starts = []   # (time, runner, task, run, order)
        self.ends = []     # (time, runner, task, run, how, number)
        self.notes = []    # (time, runner, seenUpto)
        self.tasks = []
        self.note_runs = True
        self.store_paths = {}  # name of a machine to its way to the store

    def on_start(self, runner, run, order):
        self.starts.append((self.record.now(), runner, run.task, run.run,
                            order))
        if self.note_runs:
            self.record.note("%s: start of %s run %d" % (runner.name,
                                                         run.task, run.run))

    def on_end(self, runner, run, how, number):
        self.ends.append((self.record.now(), runner, run.task, run.run, how,
                          number))
        if self.note_runs:
            self.record.note("%s: end %d of %s run %d: %s"
                             % (runner.name, number, run.task, run.run, how))

    def on_noted(self, runner, upto):
        self.notes.append((self.record.now(), runner, upto))
        if self.note_runs:
            self.record.note("%s: ends up to %d are taken note of"
                             % (runner.name, upto))

    def put_config(self, version, routes, services=("svc-a",), tenants=None):
        """Writes op/config; routes are (name, prefix, service, more)."""
        config = {
            "version": version,
            "routes": [dict({"name": name, "host": "h.example",
                             "pathPrefix": prefix, "kind": "unsafe",
                             "timeoutMs": 3000, "targetLatencyMs": 1000,
                             "priority": 1, "service": service,
                             "attempts": 2, "stretch": 3.0,
                             "allowAnonymous": False}, **more)
                       for name, prefix, service, more in routes],
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionControl": True, "spare": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "t1", "apiKeys": [KEY],
                                    "priority": 1}],
        }
        self.store.put("op", "", "config", base64.b64encode(
            json.dumps(config).encode()).decode())
        self.record.note("operator: configuration %d" % version)

    async def add_runner(self, name, service, labels, capacity, zone="z1",
                         slots=8):
        runner = Runner(self, name, service, labels, capacity, zone)
        runner.slots = slots
        await runner.server.start()
        self.runners.append(runner)
        runner.check_in()
        self.tasks.append(asyncio.ensure_future(self.check_in_forever(runner)))
        return runner

    async def check_in_forever(self, runner):
        # The runners' check-ins are spread over the interval.
        await asyncio.sleep(HEARTBEAT_MS / 1000 * (
            zlib.crc32(runner.name.encode()) % 97) / 97)
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            runner.check_in()

    async def start(self):
        await self.store.server.start()

    async def start_machines(self, count, wait_s=15):
        network = choose_network()
        self.machines = [Machine(self, "front-%d" % number,
                                 network + str(number),
                                 "z%d" % (number % 3 + 1))
                         for number in range(1, count + 1)]
        for machine in self.machines:
            await machine.start()
        end = time.monotonic() + wait_s
        for machine in self.machines:
            while (await call(machine.ready, "GET", "/ready"))[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError("%s isn't ready" % machine.name)
                await asyncio.sleep(0.1)

    def holder(self):
        """The machine that wrote to the store last under a condition."""
        texts = [text for name, (text, _) in self.store.rows.items()
                 if name[0] == "cell" and name[2] == "epoch"]
        text = base64.b64decode(texts[0]) if texts else b""
        for machine in self.machines:
            if machine.name.encode() + b"-" in text:
                return machine
        return None

    async def wait_for_holder(self, wait_s=15):
        end = time.monotonic() + wait_s
        while not self.holder():
            if time.monotonic() > end:
                raise RuntimeError("no machine schedules")
            await asyncio.sleep(0.05)

    async def submit(self, machine, prefix, job, steps, work, quiet=False,
                     **options):
        value = {"spec": json.dumps(work), "steps": steps}
        value.update(options.pop("more", {}))
        status, answer = await call(machine.front, "POST", prefix + job,
                                    value, **options)
        if not quiet:
            self.record.note("client: POST %s%s at %s -> %s %s" % (
                prefix, job, machine.name, status,
                "" if status == 200 else answer))
        return status

    async def state(self, machine, prefix, job, **options):
        status, answer = await call(machine.front, "GET", prefix + job,
                                    **options)
        self.record.note("client: GET %s%s at %s -> %s %s" % (
            prefix, job, machine.name, status, answer))
        return status, (answer or {}).get("state") if isinstance(
            answer, dict) else None

    async def cancel(self, machine, prefix, job, **options):
        status, answer = await call(machine.front, "DELETE", prefix + job,
                                    **options)
        self.record.note("client: DELETE %s%s at %s -> %s" % (
            prefix, job, machine.name, status))
        return status

    def find_lost(self, jobs, samples):
        """LOST: accepted jobs that have nothing running in all samples (3 s),
        though a subtask's turn has come, there is capacity for it twice over
        and under half of the service's capacity is in use.

        A job is a dict with id, steps (each with count, after, requires and
        the demand), times, attempts. Its occurrences are all due by now.
        Not counted: jobs of which a subtask has ended `failed` as often as
        its queue allows.
        """
        broken = []
        use = max(sample["use"] for sample in samples)
        for job in jobs:
            ends = [(task, how) for _, _, task, _, how, _ in self.ends
                    if task.startswith(job["id"])]
            done = {task for task, how in ends if how == "done"}
            failed = {}
            for task, how in ends:
                failed[task] = failed.get(task, 0) + (how == "failed")
            if max(failed.values(), default=0) >= job["attempts"]:
                continue
            turns = self.find_turns(job, done)
            if turns and use < 0.5 and all(
                    job["id"] not in sample["running"] and
                    any(self.room(sample, step) >= 2 for step in turns)
                    for sample in samples):
                broken.append(
                    "LOST: %s was accepted; %d of its subtasks are done, %d "
                    "have their turn, nothing ran for 3 s, at most %.0f%% of "
                    "the capacity was in use" % (
                        job["id"], len(done),
                        sum(step["open"] for step in turns), 100 * use))
        return broken

    def find_turns(self, job, done):
        """Returns the steps with subtasks whose turn has come."""
        turns = []
        for occurrence in range(job["times"]):
            open_counts = [
                sum("%s.%d.%d.%d" % (job["id"], occurrence, number, index)
                    not in done for index in range(step["count"]))
                for number, step in enumerate(job["steps"])]
            for number, step in enumerate(job["steps"]):
                if open_counts[number] and not any(
                        open_counts[earlier]
                        for earlier in step.get("after", [])):
                    turns.append(dict(step, open=open_counts[number]))
        return turns

    def sample(self):
        free = [dict(runner.free) for runner in self.runners]
        used = [1 - sum(item[name] for item in free) /
                sum(runner.capacity[name] for runner in self.runners)
                for name in ("cpu", "memMb", "gpu")]
        return {"running": {task[:16] for runner in self.runners
                            for task, _ in runner.running},
                "use": max(used), "free": free}

    def room(self, sample, step):
        """Returns how many subtasks of a step fit on the runners that have
        its label and don't drain."""
        label = step.get("requires")
        return sum(
            min(item[name] // step[name]
                for name in ("cpu", "memMb", "gpu") if step.get(name))
            for runner, item in zip(self.runners, sample["free"])
            if runner.state == "ready" and
            (not label or label in runner.labels))

    async def sample_for(self, seconds):
        samples = []
        end = self.record.now() + seconds
        while self.record.now() < end:
            samples.append(self.sample())
            await asyncio.sleep(0.05)
        return samples

    def find_twice(self):
        """TWICE: starts after a run of the subtask has ended `done`, where
        that end is taken note of at any time, and two runs at a time."""
        broken = []
        done = {}
        for at, runner, task, run, how, number in self.ends:
            if how != "done":
                continue
            noted = [when for when, other, upto in self.notes
                     if other is runner and upto >= number]
            if noted and not any(at < lapse < noted[0]
                                 for lapse in runner.lapses):
                done.setdefault(task, []).append((at, run, runner.name,
                                                  noted[0]))
        for at, runner, task, run, _ in self.starts:
            for ended, first_run, where, noted in done.get(task, []):
                if at > ended and run > first_run:
                    broken.append(
                        "TWICE: %s run %d ended done on %s at %.3f (noted at "
                        "%.3f), run %d was started on %s at %.3f" % (
                            task, first_run, where, ended, noted, run,
                            runner.name, at))
        spans = {}
        for at, runner, task, run, _ in self.starts:
            spans.setdefault(task, []).append([at, None, run, runner.name])
        for at, runner, task, run, _, _ in self.ends:
            for span in spans.get(task, []):
                if span[2] == run and span[3] == runner.name:
                    span[1] = at
        for task, runs in spans.items():
            runs.sort()
            for first, second in zip(runs, runs[1:]):
                if first[1] is None or first[1] > second[0]:
                    broken.append(
                        "TWICE: %s run %d on %s still ran when run %d was "
                        "started on %s at %.3f" % (
                            task, first[2], first[3], second[2], second[3],
                            second[0]))
        return broken

    def check_processes(self):
        for machine in self.machines:
            status = machine.process.returncode
            if status is not None and not machine.killed:
                raise RuntimeError("%s ended by itself with %d: %s" % (
                    machine.name, status, machine.log_text()[-300:]))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            await machine.end()
        for runner in self.runners:
            runner.server.stop()
        self.store.server.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (couldn't run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("%s is missing: run the build of deploy/system.toml" % PROGRAM)
        sys.exit(2)
    path = os.path.join(folder, "record.txt")

    async def run():
        fleet = Fleet(path)
        fleet.record.note("trouble %s" % ("on" if trouble else "off"))
        try:
            await fleet.start()
            broken = await asyncio.wait_for(case(fleet, trouble), 110)
            fleet.check_processes()
            return broken, fleet
        finally:
            await fleet.end()

    try:
        broken, fleet = asyncio.run(run())
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        print("the case couldn't run: %r" % error)
        sys.exit(2)
    verdict = "BROKEN" if broken else "held"
    fleet.record.note("%s: %s" % (verdict, "; ".join(broken[:3]) or
                                  "nothing was seen that the rule forbids"))
    fleet.record.close()
    print(verdict, *broken[:3], sep="\n  ")
    sys.exit(1 if broken else 0)
