"""What the logs of a run say about a violation."""
import glob
import json
import os
import re

CELL_EVENTS = ("cell-taken", "cell-loaded", "cell-lost", "cell-offered",
               "former-holder-ended", "former-holder-wait", "tenure-written",
               "tasks-lost")
# Lines about the cell and the VMs within this time of a line of the task.
AROUND_US = 20_000_000
MAX_LINES = 400


def read_lines(folder):
    """Yields the lines of all logs as (time_us, process, event, detail)."""
    for path in glob.glob(os.path.join(folder, "*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                if not text.startswith("{"):
                    continue
                try:
                    line = json.loads(text)
                except ValueError:
                    continue
                yield (line["time_us"], line["process"], line["event"],
                       line["detail"])


def violations(folder):
    with open(os.path.join(folder, "standin.log"), encoding="utf-8",
              errors="replace") as file:
        for text in file:
            if '"event":"violation"' in text:
                line = json.loads(text)
                yield line["time_us"], line["detail"]


def foreign_runs(folder):
    """Yields the lines in which a holder finds a run on an incarnation of a
    worker that has never started it, so that it took the answer of another
    worker, or of another incarnation, for this one's."""
    pattern = re.compile(r"task (\S+) run (\d+) worker (\S+/\d+)\b")
    started = set()
    found = []
    for time_us, _, event, detail in read_lines(folder):
        match = pattern.match(detail)
        if match and event == "worker-run-started":
            started.add(match.groups())
        elif match and event == "run-unknown":
            found.append((match.groups(), time_us, detail))
    for run, time_us, detail in found:
        if run not in started:
            yield time_us, "run of another worker: " + detail


def withdrawn_runs(folder, jobs):
    """Yields the starts of jobs whose cancel was answered with "no such job".
    """
    for time_us, _, event, detail in read_lines(folder):
        if event == "worker-run-started" and \
                (task_of(detail) or "")[:16] in jobs:
            yield time_us, "run of a cancelled job: " + detail


def task_of(detail):
    match = re.search(r"\b([0-9a-f]{16}(?:\.\d+){0,3})", detail)
    return match[1] if match else None


def explain(folder, time_us, detail):
    """Returns the lines of all processes that name the task of a violation or
    its job, and those about the cell around them, in time order."""
    task = task_of(detail)
    if task is None:
        return [detail]
    job = task[:16]
    # Lines that name a task name this one.
    pattern = re.compile(re.escape(task) + r"(?!\d)" if "." in task
                         else re.escape(job))
    of_job = re.compile(re.escape(job) + r"(?!\.\d)")
    found = []
    around = []
    for line in read_lines(folder):
        if pattern.search(line[3]) or of_job.search(line[3]):
            found.append(line)
        elif line[2] in CELL_EVENTS or line[1] == "driver":
            around.append(line)
    first = min((line[0] for line in found), default=time_us) - AROUND_US
    last = max((line[0] for line in found), default=time_us) + AROUND_US
    lines = sorted(found + [line for line in around
                            if first <= line[0] <= last])
    return [f"{(at - time_us) / 1e6:+9.3f} {process:10} {event} {text}"
            for at, process, event, text in lines[:MAX_LINES]]
