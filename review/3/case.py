"""A runner starts again under its id after its machine's clock was set back, and then leaves.

Three instances, three runners with `born` in their entries. One runner starts, ends 1.2 s later and starts again
under its id. Between the two starts the time of day of its machine steps back by 2 s, for 6 s. Later it reports
`draining`, goes on serving for 8 s, and exits. Without the disruption the clock doesn't step.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from runners import Runner  # noqa: E402
from site_parts import TROUBLE, Instance, Store, loopback_ip, manifest, now, play, post, read_head, settings  # noqa: E402

SERVICE = "wuno96b"
WORK_S = 0.4
LINGER_S = 8.0
ZONES = ["piraeus", "marousi", "glyfada"]
CLIENTS = 15
PAUSE_S = 0.05
DEADLINE_MS = 1_000
STEP_MS = -2_000
STEP_FOR_S = 6.0
DRAIN_S = 2.0
CONTACT_S = 3.0


class Clock:
    """The time of day of a runner's machine."""

    def __init__(self):
        self.offset_ms = 0

    def born(self):
        return int(time.time() * 1000) + self.offset_ms


async def client(record, nodes, number, counts, until):
    attempt = 0
    while now() < until[0]:
        attempt += 1
        try:
            reader, writer = await asyncio.open_connection(*nodes[number % len(nodes)].front)
            record.line(f"client sends c{number}-{attempt}")
            writer.write(post(f"c{number}-{attempt}", DEADLINE_MS, close=True))
            head = await read_head(reader)
            status = head[0].split()[1] if head else "closed"
            writer.close()
        except OSError:
            status = "no connection"
        counts[status] = counts.get(status, 0) + 1
        if status != "200":
            record.line(f"client c{number}-{attempt}: {status}")
        await asyncio.sleep(PAUSE_S)


async def case(record, temporary, instances):
    ip = loopback_ip(1)
    store = Store(ip)
    await store.start()
    await store.put("op", "config", manifest(SERVICE, "non_idempotent", DEADLINE_MS, 100))
    runners = [Runner(record, store, ip, f"i-{number}", SERVICE, work_s=WORK_S, zone=zone)
               for number, zone in enumerate(ZONES)]
    leaving, clock = runners[0], Clock()
    for runner in runners[1:]:
        runner.extra = {"born": clock.born()}
        await runner.start()
    for number, zone in enumerate(ZONES):
        values = settings(f"edge-{zone}-1", loopback_ip(number + 1), store.address, zone=zone)
        instances.append(Instance(record, temporary, values))
        await instances[-1].keep()
    for node in instances:
        await node.ready()
    await asyncio.sleep(CONTACT_S)
    counts, until = {}, [float("inf")]
    clients = [asyncio.create_task(client(record, instances, number, counts, until)) for number in range(CLIENTS)]

    leaving.extra = {"born": clock.born()}
    await leaving.start()
    record.line(f"i-0 has started, born {leaving.extra['born']}")
    await asyncio.sleep(0.6)
    if TROUBLE:
        clock.offset_ms = STEP_MS
        record.line(f"the clock of the machine of i-0 steps by {STEP_MS} ms")
    stepped_at = now()
    await asyncio.sleep(0.6)
    await leaving.crash()
    record.line("i-0 has ended")
    await asyncio.sleep(0.3)
    leaving.sequence, leaving.extra = 0, {"born": clock.born()}
    await leaving.start()
    record.line(f"i-0 has started again under its id, born {leaving.extra['born']}")
    await asyncio.sleep(max(0.0, stepped_at + STEP_FOR_S - now()))
    clock.offset_ms = 0
    await asyncio.sleep(CONTACT_S + 0.5)
    leaving.state = "draining"
    await leaving.register()
    acked_at = now()
    record.line("the store has acknowledged that i-0 is draining")
    await asyncio.sleep(LINGER_S)
    before = sum(counts.values()) - counts.get("200", 0)
    await leaving.crash()
    await store.remove("servers", "i-0")
    record.line("i-0 has exited")
    await asyncio.sleep(2)
    until[0] = now()
    await asyncio.gather(*clients, return_exceptions=True)
    late = [at - acked_at for at, _ in leaving.arrived if at > acked_at + DRAIN_S]
    lost = sum(counts.values()) - counts.get("200", 0) - before
    text = (f"answers {dict(sorted(counts.items()))}; requests that reached i-0 later than {DRAIN_S} s after the ack: "
            f"{len(late)}" + (f", the last one {max(late):.2f} s after it" if late else "")
            + f"; requests that failed as it exited: {lost}")
    record.line(text)
    print(text)
    return 1 if late else 0


play(HERE, case)
