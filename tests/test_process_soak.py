#!/usr/bin/env python3
"""Guards against a soak of processes that sees no violation: a task is started
on a second worker behind the back of the VMs, which the stand-in must report
and the record of the run must explain; and against one that overlooks a holder
that takes the answer of one worker for that of another.
usage: test_process_soak.py BUILD"""
import argparse
import base64
import http.client
import json
import os
import re
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
sys.dont_write_bytecode = True

from soak import record  # noqa: E402
from soak.deployment import FRONT_PORT, Deployment  # noqa: E402

WAIT_S = 60
JOB = "00000000000000aa"
TASK = JOB + ".0.0.0"


def call(address, method, path, body=None):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request(method, path, json.dumps(body) if body else None,
                       {"Host": "h", "Authorization": "Token k0",
                        "Content-Type": "application/json"})
    response = connection.getresponse()
    text = response.read()
    connection.close()
    return response.status, text


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.1)
    raise AssertionError("not reached in time")


def first_worker(folder):
    """Returns the worker that has started the task, or None."""
    for _, _, event, detail in record.read_lines(folder):
        if event == "worker-run-started" and TASK in detail:
            return re.search(r"worker ([^\s/]+)/\d+ ", detail)[1]
    return None


def other_address(store, worker):
    _, text = call(store, "GET", "/rows-get?table=servers&part=&limit=500")
    for row in json.loads(text)["rows"]:
        if row["key"] != worker:
            return json.loads(base64.b64decode(row["value"]))["addr"]
    raise AssertionError("no other worker")


def check(deployment, folder):
    front = f"{deployment.vms[0].ip}:{FRONT_PORT}"
    job = {"spec": "x", "steps": [{"count": 1, "cpu": 100, "gpu": 1,
                                   "estimateMs": 60000}]}
    assert deployment.wait_until_ready(WAIT_S)
    wait_for(lambda: call(front, "POST", "/q0/" + JOB, job)[0] == 200)
    worker = wait_for(lambda: first_worker(folder))
    assert deployment.state()["violations"] == 0
    status, _ = call(other_address(deployment.store, worker), "POST",
                     "/run-start", {"task": TASK, "run": 7, "spec": "x",
                                    "untilMs": 10**9, "fence": 1000})
    assert status == 200, status
    check_logged_workers(folder, worker)
    assert deployment.state()["violations"] == 1
    found = list(record.violations(folder))
    assert len(found) == 1 and TASK in found[0][1], found
    lines = "\n".join(record.explain(folder, *found[0]))
    for text in ("cell-taken", "job-accepted", "run 1 worker " + worker,
                 "run 7 worker", "epoch 1000"):
        assert text in lines, f"{text} is missing:\n{lines}"


def write_log(folder, process, event, details):
    with open(os.path.join(folder, process + ".log"), "a",
              encoding="utf-8") as file:
        for detail in details:
            file.write(json.dumps({"time_us": 1, "process": process, "event":
                                   event, "detail": detail}) + "\n")


def check_foreign_runs(folder):
    """Lines as the stand-in and a holder write them: only the run of the
    incarnation that has started it is known."""
    run = "task " + TASK + " run 1 worker "
    write_log(folder, "standin", "worker-run-started",
              [run + "w-1/1700000000001 epoch 1 late 4 ms"])
    write_log(folder, "vm", "run-unknown",
              [run + worker + " is stopped, no such task"
               for worker in ("w-1/1700000000001", "w-2/1700000000001",
                              "w-1/1700000000002")])
    found = [detail for _, detail in record.foreign_runs(folder)]
    assert len(found) == 2, found
    assert "worker w-2/1700000000001" in found[0], found
    assert "worker w-1/1700000000002" in found[1], found


def check_logged_workers(folder, worker):
    """The stand-in's own line of a start must fit the check: a run-unknown of
    the same incarnation is known, one of the next is not."""
    started = [detail for _, _, event, detail in record.read_lines(folder)
               if event == "worker-run-started" and TASK in detail]
    name = re.search(r"worker (" + worker + r"/\d+) ", started[0])[1]
    run = f"task {TASK} run 1 worker {name}"
    write_log(folder, "check", "run-unknown", [run + " is stopped",
                                               run + "0 is stopped"])
    found = [detail for _, detail in record.foreign_runs(folder)
             if TASK in detail]
    assert len(found) == 1 and run + "0" in found[0], found


def main():
    with tempfile.TemporaryDirectory() as folder:
        check_foreign_runs(folder)
    options = argparse.Namespace(build=sys.argv[1], vms=2, workers=4, zones=2,
                                 rack=2, organisations=1, seed=1,
                                 direct_workers=150)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(options, folder)
        try:
            deployment.start(options)
            check(deployment, folder)
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
