"""A manifest brings in tenants, whose keys all clients already present, while requests wait for a runner.

Three instances, two runners of stage prefill and one of stage decode. Clients ask for streams, a little more than the
runners can serve, so that some wait at the instances. All of them carry a key from the start. The new version has the
tenants that hold these keys. Without the disruption it has the same routes and no tenants.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from engines import Engine  # noqa: E402
from site_parts import (  # noqa: E402
    TROUBLE, Instance, Store, loopback_ip, message, now, play, read_body, read_head, settings)

SERVICE = "huvo11a"
ZONES = ["piraeus", "marousi", "glyfada"]
SLOTS = 24
GAP_S = 0.05
EVENTS = 13
PROMPT_TOKENS = 3_720
RATE = 45.0
LENGTH_S = 16.0
CHANGE_AT_S = 8.0
DEADLINE_MS = 6_000
CONTACT_S = 3.0
KEYS = [f"key-{number:02}-4f1d" for number in range(6)]
# DENIED allows this many, and one in 500 of all requests.
ALLOWED = 5


def manifest(version, with_tenants):
    value = {
        "version": version,
        "routes": [{"name": "r-x73d3zj", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming",
                    "timeout_ms": DEADLINE_MS, "latency_target_ms": 600, "priority": 1, "service": SERVICE,
                    "max_attempts": 2, "sticky": True, "can_resume": True, "gap_aim_ms": 150}],
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 210, "protocol": "h1",
                      "tls": False,
                      "engine": {"slots": SLOTS, "kv_tokens": 385388, "kv_token_bytes": 163840,
                                 "link_mbps": 1300000.0, "moves": True, "backups": True, "stride": 9, "most": 12,
                                 "handle_ttl_s": 5.0, "stage_switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                                 "models": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }
    if with_tenants:
        value["tenants"] = [{"name": f"tenant{number}", "api_keys": [key]} for number, key in enumerate(KEYS)]
    return value


async def client(record, node, number, outcomes):
    name = f"r-{number}"
    headers = {"Host": "ficu95.example", "Anvilhook-Request-Id": name, "Anvilhook-Deadline-Ms": DEADLINE_MS,
               "Anvilhook-Model": "m", "Anvilhook-Token-Counts": f"{PROMPT_TOKENS},{EVENTS}",
               "Anvilhook-Prompt-Prefix": f"{number + 4096:x}:{PROMPT_TOKENS}",
               "Authorization": f"Bearer {KEYS[number % len(KEYS)]}", "Connection": "close"}
    sent_at = now()
    try:
        reader, writer = await asyncio.open_connection(*node.front)
        record.line(f"client sends {name}")
        writer.write(message("POST /lohu930/2f HTTP/1.1", headers, b"{}"))
        head = await read_head(reader)
        status = head[0].split()[1] if head else "closed"
        if status == "200":
            await read_body(reader, head[1])
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        status = "cut"
    outcomes.append((sent_at, status))
    record.line(f"client {name}, sent at {sent_at:.3f} s: {status}")


async def case(record, temporary, instances):
    ip = loopback_ip(1)
    store = Store(ip)
    await store.start()
    await store.put("op", "config", manifest(7, False))
    for number, stage in enumerate(["prefill", "prefill", "decode"]):
        await Engine(record, store, ip, f"i-{number}", SERVICE, stage, SLOTS, GAP_S, zone=ZONES[number]).start()
    for number, zone in enumerate(ZONES):
        values = settings(f"edge-{zone}-1", loopback_ip(number + 1), store.address, zone=zone)
        instances.append(Instance(record, temporary, values))
        await instances[-1].keep()
    for node in instances:
        await node.ready()
    await asyncio.sleep(CONTACT_S)
    outcomes, clients, began_at, changed_at = [], [], now(), None
    while now() < began_at + LENGTH_S:
        number = len(clients)
        clients.append(asyncio.create_task(client(record, instances[number % len(instances)], number, outcomes)))
        if changed_at is None and now() >= began_at + CHANGE_AT_S:
            changed_at = now()
            await store.put("op", "config", manifest(8, TROUBLE))
            record.line("the store has acknowledged version 8, " + ("with" if TROUBLE else "without") + " tenants")
        await asyncio.sleep(max(0.0, began_at + number / RATE - now()))
    await asyncio.gather(*clients)
    statuses = {status: [one for _, one in outcomes].count(status) for status in sorted({one[1] for one in outcomes})}
    denied = [at for at, status in outcomes if status == "401"]
    allowed = ALLOWED + len(outcomes) / 500
    text = (f"{len(outcomes)} requests, outcomes {statuses}; denied with 401: {len(denied)} "
            f"(DENIED allows {allowed:.1f})")
    if denied:
        text += f", sent {changed_at - max(denied):.2f} to {changed_at - min(denied):.2f} s before the change"
    record.line(text)
    print(text)
    return 1 if len(denied) > allowed else 0


play(HERE, case)
