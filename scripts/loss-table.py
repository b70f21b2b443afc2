#!/usr/bin/env python3
"""Tabulates why requests of a played day were late or failed, by kind of request and by span of time.

Usage: loss-table.py LOG [SPAN_SECONDS]

LOG holds the lines of all instances, each preceded by the simulated time and the instance's name. Kinds
are distinguished by their objective. Each request has one cause, so the causes of a kind add up to its
requests; an unknown cause is counted as such. The last table shows the calls to the platform's tables.
"""

import collections
import json
import sys

PAUSE_MS = 150
WAY_MS = 6
FAR_PAUSE_MS = 1900


def read(path):
    """Returns the events of each request: its sendings, and the newest event of each other kind; and
    how many calls to the platform's tables there were, by table, kind and end."""
    requests = collections.defaultdict(lambda: {"placed": []})
    calls = collections.Counter()
    for line in open(path, errors="replace"):
        start = line.find('{"time_ms"')
        if start < 0:
            continue
        try:
            at, event = float(line[:start].split()[0]), json.loads(line[start:])
        except (ValueError, IndexError):
            continue
        if event.get("event") == "table_called":
            calls[event["dependency"], event["call"], event["outcome"]] += 1
        if "request" not in event:
            continue
        request = requests[event["request"]]
        if event["event"] == "placed":
            request["placed"].append((at, event))
        else:
            request[event["event"]] = (at, event)
    return requests, calls


def cause(request):
    """Returns why a request was not on time, or `on time`."""
    reads = [one for one in request["placed"] if one[1]["stage"] == "read"]
    runs = [one for one in request["placed"] if one[1]["stage"] == "generate"]
    if "caller_left" in request:
        return f"caller left while {'generating' if runs else 'reading' if reads else 'held'}"
    if "concluded" not in request:
        return "its instance ended"
    at, concluded = request["concluded"]
    if concluded["status"] != 200:
        return f"{concluded['status']} {concluded['reason']}"
    ended = request.get("stream_ended", (0, None))[1]
    if ended is None and concluded["reason"] == "streaming":
        return "its instance ended"
    if ended and ended["outcome"] != "whole":
        far = ended["longest_pause_ms"] > FAR_PAUSE_MS
        return f"stream {ended['outcome']}" + (" after a long pause" if far else "")
    if concluded["took_ms"] + WAY_MS > concluded["objective_ms"]:
        return late_cause(at, concluded, reads, runs)
    if ended and ended["longest_pause_ms"] > PAUSE_MS:
        return "late: a pause between events"
    return "on time"


def late_cause(at, concluded, reads, runs):
    """Returns which part of a late request's time was the longest."""
    if not runs:
        return "late: plain"
    if len(reads) + len(runs) > 2:
        return "late: sent again"
    parts = {"the generator": (at - runs[-1][0]) * 1e3}
    parts["held before the generator"] = runs[-1][1]["held_ms"]
    if reads:
        took = (runs[0][0] - reads[0][0]) * 1e3 - runs[0][1]["held_ms"]
        work = min(took, reads[0][1]["work_ms"])
        parts["held before the reader"] = reads[0][1]["held_ms"]
        parts["its own reading"] = work
        parts["the reader's queue"] = took - work
    return "late: " + max(parts, key=parts.get)


def main():
    requests, calls = read(sys.argv[1])
    span = float(sys.argv[2]) if len(sys.argv) > 2 else 4.0
    kinds = collections.defaultdict(collections.Counter)
    spans = collections.defaultdict(collections.Counter)
    for request in requests.values():
        ends = [request[name] for name in ("concluded", "caller_left") if name in request]
        objective = ends[0][1].get("objective_ms", 0) if ends else 0
        why = cause(request)
        kinds[objective][why] += 1
        if ends and why != "on time":
            spans[int(ends[0][0] // span) * span][why] += 1
    for objective, causes in sorted(kinds.items()):
        print(f"objective {objective} ms: {sum(causes.values())} requests")
        for why, count in causes.most_common():
            print(f"  {count:6d}  {why}")
    print("by seconds:")
    for start, causes in sorted(spans.items()):
        text = ", ".join(f"{why} {count}" for why, count in causes.most_common(4))
        print(f"  {start:6.0f}  {sum(causes.values()):5d}  {text}")
    print(f"calls to tables that have ended: {sum(calls.values())}")
    for (table, call, outcome), count in calls.most_common():
        print(f"  {count:6d}  {table} {call} {outcome}")


if __name__ == "__main__":
    main()
