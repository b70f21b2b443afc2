#!/usr/bin/env python3
"""Checks that the instances' logs give the cause of each request that the bench lists as not served.

    fleetbench run SITE DAY --log all > day.log
    scripts/check-explained.py day.log [more.log ...]

For each listed request it prints the last step that the bench saw and the matching event of the logs.
Requests without a matching event are counted, and make the script exit with status 1.
"""

import json
import re
import sys

REQUEST = re.compile(r"^\s+[\d.]+ s\s+request ([0-9a-f]+) \(([\w-]+),")
STEP = re.compile(r"^\s+[\d.]+ s\s+(.*)")
GROUP = re.compile(r"^not served, last try '(.*)':")

# A log without a line for this long has ended, or its instance was unavailable.
SILENCE_MS = 900

# The last steps that the bench may have seen, each with a test for the log events that explain it.
EXPLANATIONS = [
    (re.compile(r"client gets (\d+)"), lambda e, m: e["event"] == "concluded" and str(e["status"]) == m[1]),
    (re.compile(r"closed in the middle"), lambda e, m: e["event"] == "stream_ended" and e["outcome"] == "cut"),
    (re.compile(r"deadline passes|client leaves|gives up"), lambda e, m: e["event"] in ("caller_left", "concluded", "stream_ended")),
    (re.compile(r"run ends: (0|200) "), lambda e, m: e["event"] in ("stream_broken", "attempt_failed")),
    (re.compile(r"connection (is )?(closed|reset)"), lambda e, m: e["event"] in ("placed", "attempt_failed", "concluded")),
]


def read(path):
    """Returns the listed requests with the bench's steps, and the logged events by request."""
    listed, events, steps = [], {}, None
    times = {}
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            at = line.find('{"time_ms"')
            if at >= 0:
                try:
                    event = json.loads(line[at:])
                except ValueError:
                    continue
                events.setdefault(event.get("request"), []).append(event)
                times.setdefault(event.get("instance"), []).append(event["time_ms"])
                continue
            if GROUP.match(line):
                steps = []
                continue
            found = REQUEST.match(line)
            if found and steps is not None:
                listed.append((found[1], found[2], steps))
            step = STEP.match(line)
            if step and steps is not None:
                steps.append(step[1].strip())
            elif steps:
                steps = None
    return listed, events, times


def explained_by(steps, events):
    """Returns the last step that an event can explain, and the event that explains it, if there is one."""
    for step in reversed(steps):
        for pattern, explains in EXPLANATIONS:
            match = pattern.search(step)
            if match:
                return step, next((e for e in reversed(events) if explains(e, match)), None)
    return (steps or ["nothing"])[-1], None


def end_of_log(events, times):
    """Returns the end of an instance's log right after the request's last event, if it ends there:
    an instance that loses power logs nothing more."""
    if not events:
        return None
    last = events[-1]
    after = [at for at in times[last["instance"]] if at > last["time_ms"]]
    if sum(1 for at in after if at < last["time_ms"] + SILENCE_MS) > 0 and (
        min((at for at in after if at > last["time_ms"] + SILENCE_MS), default=0)
        < last["time_ms"] + 2 * SILENCE_MS
    ):
        return None
    return {"instance": last["instance"], "event": "end of its log"}


def main(paths):
    unexplained = 0
    for path in paths:
        listed, events, times = read(path)
        for request, kind, steps in listed:
            step, event = explained_by(steps, events.get(request, []))
            if step == "no connection":
                print(f"{path} {request} {kind}: reached no instance")
                continue
            if event is None:
                event = end_of_log(events.get(request, []), times)
            if event is None:
                unexplained += 1
                print(f"{path} {request} {kind}: NOT TOLD: {step}")
                continue
            cause = event.get("reason") or event.get("cause") or event.get("outcome") or ""
            print(f"{path} {request} {kind}: {step} <- {event['instance']} {event['event']} {cause}")
    print(f"{unexplained} not told")
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
