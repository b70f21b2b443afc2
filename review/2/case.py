"""A machine stands still as it is told to stop, and accepts work that its end then cuts.

Two instances. Clients keep connections to one of them, idle for some seconds, and each sends one request that takes
2.4 s, at times from 0.5 s before the SIGTERM to 6.5 s after it. The machine is frozen from 0.2 s before the SIGTERM
to 2 s after it. The platform sends SIGKILL `grace_s` after the SIGTERM. Without the disruption it isn't frozen.
"""

import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from runners import Runner  # noqa: E402
from site_parts import (  # noqa: E402
    TROUBLE, Instance, Store, loopback_ip, manifest, now, play, post, read_body, read_head, settings)

SERVICE = "wuno96b"
ZONES = ["piraeus", "marousi"]
DEADLINE_MS = 3_000
WORK_S = 2.4
SLOTS = 24
GRACE_S = 8.0
CONTACT_S = 3.0
FROZEN_BEFORE_S = 0.2
FROZEN_AFTER_S = 2.0
# The end of the grace may cut what was sent up to this long after the SIGTERM.
EARLY_S = 3.0
CLIENTS = 60
SENT_FROM_S, SENT_TO_S = -0.5, 6.5


class Stop:
    """The times of the stop."""

    def __init__(self, at):
        self.at = at
        self.thawed_at = at + FROZEN_AFTER_S if TROUBLE else at


async def client(record, node, number, at, stop, outcomes):
    """Sends a short request, and one on the same connection `at` seconds after the SIGTERM."""
    name = f"kept-{number}"
    reader, writer = await asyncio.open_connection(*node.front)
    writer.write(post(f"first-{number}", DEADLINE_MS))
    head = await read_head(reader)
    await read_body(reader, head[1])
    await asyncio.sleep(max(0.0, stop.at + at - now()))
    if reader.at_eof():
        record.line(f"{name}: the idle connection has been closed")
        return
    sent_at, status = now(), "closed"
    try:
        writer.write(post(name, DEADLINE_MS))
        await writer.drain()
        record.line(f"client has sent {name}, {sent_at - stop.at:.2f} s after the SIGTERM")
        head = await read_head(reader)
        if head is not None:
            await read_body(reader, head[1])
            status = head[0].split()[1]
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    record.line(f"{name}: {status} after {now() - sent_at:.2f} s")
    outcomes.append((name, sent_at, status, now()))
    writer.close()


def is_lost(outcome, stop, arrived):
    """Returns whether LOST counts a request: passed on, closed without an answer, and not excused."""
    name, sent_at, status, ended_at = outcome
    is_cut = status == "closed" and name in arrived
    is_late = sent_at > stop.at + EARLY_S
    is_calm = not TROUBLE or sent_at > stop.thawed_at + CONTACT_S
    has_time = ended_at < sent_at + DEADLINE_MS / 1000
    return is_cut and is_late and is_calm and has_time


async def case(record, temporary, instances):
    ip = loopback_ip(1)
    store = Store(ip)
    await store.start()
    await store.put("op", "config", manifest(SERVICE, "non_idempotent", DEADLINE_MS, 300))
    runners = [Runner(record, store, ip, f"i-{number}", SERVICE, slots=SLOTS) for number in range(3)]
    for runner in runners:
        await runner.start()
    for number, zone in enumerate(ZONES):
        values = settings(f"edge-{zone}-1", loopback_ip(number + 1), store.address, zone=zone)
        instances.append(Instance(record, temporary, values))
        await instances[-1].keep()
    for node in instances:
        await node.ready()
    await asyncio.sleep(CONTACT_S)
    node, stop, draw, outcomes = instances[0], Stop(now() + 3.0), random.Random(5), []
    times = [draw.uniform(SENT_FROM_S, SENT_TO_S) for _ in range(CLIENTS)]
    clients = [asyncio.create_task(client(record, node, number, at, stop, outcomes))
               for number, at in enumerate(times)]
    await asyncio.sleep(1.5)
    for runner in runners:
        runner.work_s = WORK_S
    await asyncio.sleep(max(0.0, stop.at - FROZEN_BEFORE_S - now()))
    if TROUBLE:
        node.signal(signal.SIGSTOP)
        record.line(f"{node.values['node_name']} stands still")
    await asyncio.sleep(max(0.0, stop.at - now()))
    stopped = node.process
    node.signal(signal.SIGTERM)
    record.line(f"SIGTERM to {node.values['node_name']}")
    if TROUBLE:
        await asyncio.sleep(max(0.0, stop.thawed_at - now()))
        node.signal(signal.SIGCONT)
        record.line(f"{node.values['node_name']} goes on")
    await asyncio.sleep(max(0.0, stop.at + GRACE_S - now()))
    if stopped.returncode is None:
        stopped.send_signal(signal.SIGKILL)
        record.line(f"SIGKILL to {node.values['node_name']}, {GRACE_S} s after the SIGTERM")
    await asyncio.gather(*clients)
    arrived = {request for runner in runners for _, request in runner.arrived}
    lost = [outcome for outcome in outcomes if is_lost(outcome, stop, arrived)]
    statuses = [status for _, _, status, _ in outcomes]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    text = (f"outcomes {counts}; sent later than {EARLY_S} s after the SIGTERM, in calm, passed on and closed without "
            f"an answer: {len(lost)}")
    if lost:
        sent = [sent_at - stop.at for _, sent_at, _, _ in lost]
        text += f" (sent {min(sent):.2f} to {max(sent):.2f} s after it)"
    record.line(text)
    print(text)
    return 1 if lost else 0


play(HERE, case)
