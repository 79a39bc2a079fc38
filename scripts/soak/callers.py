"""Callers that submit jobs and follow them until they end."""
import heapq
import http.client
import json
import random
import threading
import time

from soak.deployment import FRONT_PORT

CALL_TIMEOUT_S = 4
POLL_S = 1.0
SUBMITS_MAX = 20
# A request arrives again, seconds after it was accepted, with this share.
REPEATED_SHARE = 0.03
CANCELLED_SHARE = 0.02
# A submission that got no answer is cancelled with this share, else repeated.
WITHDRAWN_SHARE = 0.3
ENDED = ("completed", "failed", "canceled")


class Job:
    def __init__(self, job_id, queue, body, key):
        self.id = job_id
        self.path = f"/{queue}/{job_id}"
        self.body = body
        self.key = key
        # "new", then "accepted" and a state of ENDED; or "given-up", if no VM
        # has accepted it; or "withdrawing" and "withdrawn", if it was cancelled
        # after no answer and is no job.
        self.state = "new"
        self.attempts = 0
        self.cancelled = False
        self.repeat = False


def make_job(rng, organisations):
    """Returns a job like those of the largest deployment, with shorter runs.
    """
    kind = rng.choices(("verify", "ranking", "archive", "steps"),
                       (19.6, 2.7, 2.7, 2))[0]
    gang = rng.random() < 0.5
    if kind == "verify":
        steps = [{"count": 8, "cpu": 7500, "memMb": 800,
                  "gpu": rng.choice((1, 1, 2, 4, 8)),
                  "estimateMs": rng.randint(300, 4000), "gang": gang,
                  "sameRack": gang and rng.random() < 0.5}]
        queue = "q0"
    elif kind == "ranking":
        steps = [{"count": 26, "cpu": 26000, "memMb": 2000,
                  "gpu": rng.choice((1, 2, 4)),
                  "estimateMs": rng.randint(3000, 12000), "gang": gang}]
        queue = "q1"
    elif kind == "archive":
        steps = [{"count": 78, "cpu": 5600, "memMb": 500, "gpu": 1,
                  "estimateMs": rng.randint(2000, 10000)}]
        queue = "q2"
    else:
        steps = [{"count": 3, "cpu": 1000, "memMb": 100, "gpu": 8,
                  "estimateMs": 800, "gang": True, "sameRack": True},
                 {"count": 4, "cpu": 1000, "gpu": 1, "estimateMs": 800,
                  "after": [0]}]
        queue = "q1"
    return Job(f"{rng.getrandbits(64):016x}", queue,
               json.dumps({"spec": "x", "steps": steps}),
               f"k{rng.randrange(organisations)}")


def shrink(job, workers):
    """Limits a job to a size that fits a small deployment."""
    body = json.loads(job.body)
    for step in body["steps"]:
        step["count"] = min(step["count"], max(2, workers // 8))
    job.body = json.dumps(body)


class Callers:
    """Threads that share the jobs; each keeps its connections open until the
    process at the other end is gone."""

    def __init__(self, deployment, options):
        self.deployment = deployment
        self.options = options
        self.jobs = []
        self.lock = threading.Lock()
        self.ending = False  # no further jobs are submitted
        self.stopped = False
        self.threads = [
            threading.Thread(target=self.run, args=(n,), daemon=True)
            for n in range(options.callers)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def count(self, *states):
        with self.lock:
            return sum(job.state in states for job in self.jobs)

    def open_jobs(self):
        with self.lock:
            return [job for job in self.jobs
                    if job.state in ("accepted", "withdrawing")]

    def withdrawn_ids(self):
        with self.lock:
            return {job.id for job in self.jobs if job.state == "withdrawn"}

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def run(self, number):
        rng = random.Random(f"{self.options.seed}-{number}")
        interval = len(self.threads) / self.options.rate
        connections = {}
        due = [(time.monotonic() + rng.random() * interval, 0, None)]
        sequence = 0
        while not self.stopped:
            if not due or due[0][0] > time.monotonic():
                time.sleep(0.01)
                continue
            at, _, job = heapq.heappop(due)
            sequence += 1
            if job is None:
                if self.ending:
                    continue
                heapq.heappush(due, (max(at + interval,
                                         time.monotonic() - interval),
                                     -sequence, None))
                job = make_job(rng, self.options.organisations)
                if self.options.workers < 400:
                    shrink(job, self.options.workers)
                with self.lock:
                    self.jobs.append(job)
            wait = self.advance(rng, connections, job)
            if wait is not None:
                heapq.heappush(due, (time.monotonic() + wait, sequence, job))

    def advance(self, rng, connections, job):
        """Makes the next request of a job and returns when the one after that
        is due, or None if there is none."""
        vm = rng.choice(self.deployment.vms)
        if job.state == "new" or job.repeat:
            return self.submit(rng, connections, vm, job)
        if job.state == "withdrawing":
            return self.withdraw(connections, vm, job)
        if job.state == "accepted" and not job.cancelled and \
                rng.random() < CANCELLED_SHARE:
            job.cancelled = True
            self.call(connections, vm, "DELETE", job, None)
            return POLL_S
        status, body = self.call(connections, vm, "GET", job, None)
        if status == 200:
            state = json.loads(body).get("state")
            if state in ENDED:
                job.state = state
                return None
        return POLL_S * (0.5 + rng.random())

    def submit(self, rng, connections, vm, job):
        status, _ = self.call(connections, vm, "POST", job, job.body)
        job.attempts += 1
        if job.repeat:
            job.repeat = False
            return POLL_S
        if status == 200:
            job.state = "accepted"
            if rng.random() < REPEATED_SHARE:
                job.repeat = True
                return rng.uniform(0.5, 4)
            return POLL_S
        if status is None and rng.random() < WITHDRAWN_SHARE:
            job.state = "withdrawing"
            return 0.05
        if self.ending and job.attempts >= SUBMITS_MAX:
            job.state = "given-up"
            return None
        return rng.uniform(0.1, 0.6)

    def withdraw(self, connections, vm, job):
        status, _ = self.call(connections, vm, "DELETE", job, None)
        if status == 410:
            job.state = "withdrawn"
            return None
        if status == 200:
            job.state = "accepted"
            job.cancelled = True
            return POLL_S
        return 0.3

    def call(self, connections, vm, method, job, body):
        connection = connections.get(vm.number)
        if connection is None:
            connection = http.client.HTTPConnection(vm.ip, FRONT_PORT,
                                                    timeout=CALL_TIMEOUT_S)
            connections[vm.number] = connection
        try:
            connection.request(method, job.path, body,
                               {"Host": "h", "Authorization":
                                "Token " + job.key, "Content-Type":
                                "application/json", "X-Deadline-Ms": "3000"})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del connections[vm.number]
            return None, b""
