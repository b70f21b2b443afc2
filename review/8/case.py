"""The store stops answering the machines that follow the manifest for their zones, and the manifest changes."""
import asyncio, os, sys, time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from deployment import TROUBLE, Answer, CannotRun, Server, call, new_id, play

HOST = "shop.example"
ZONES = ["hu-mid-1", "hu-mid-2", "hu-mid-3"]
MACHINES, REPLACED, ROUNDS = 12, 5, 3
SILENT_S, CONTACT_S, APPLY_S, SHARE = 9.0, 3.0, 2.0, 0.35
SERVICES = [{"name": "folt-bolt"}, {"name": "folt-uj"}]


def routes(service):
    return [{"name": "lot-peek", "host": HOST, "prefix": "/peek/", "kind": "idempotent", "timeout_ms": 2500,
             "latency_target_ms": 150, "priority": 1, "service": service, "max_attempts": 2}]


class StoreGate(Server):
    """The store as one machine reaches it. While it is silent, calls of that machine get no answer."""

    def __init__(self, store, ip, port):
        super().__init__(ip, port)
        self.store, self.silent, self.waits = store, False, []

    async def handle(self, method, path, query, headers, body, writer):
        if path == "/api/rows-feed" and query["table"] == "op" and int(query.get("wait_ms", 0)) > 0:
            self.waits.append(time.monotonic())
        if self.silent:
            await asyncio.sleep(3600)
        got = await self.store.handle(method, path, query, headers, body, writer)
        if self.silent:
            await asyncio.sleep(3600)
        return got


async def case(site):
    site.work_s = 0.01
    site.manifest(1, routes("folt-bolt"), SERVICES)
    for at in range(6):
        service = SERVICES[at % 2]["name"]
        await site.runner(f"i-{at:04x}", service, ZONES[at % 3], 12)
    service_of = {runner.id: runner.service for runner in site.by_address.values()}
    gates, instances = {}, {}
    for number in range(MACHINES + REPLACED):
        gate = StoreGate(site.store, "127.0.0.1", site.port("127.0.0.1"))
        await gate.listen()
        site.more_settings = {"platform": {"address": gate.address, "form": "table"}}
        _, path, settings = site.add_instance(number, ZONES[number % 3], ZONES)
        await site.start_process(number, path)
        gates[number], instances[number] = gate, settings
    for settings in instances.values():
        await site.wait_ready(settings)
    # Five machines are replaced: their successors run, and they are stopped as planned.
    await asyncio.sleep(3)
    for number in range(REPLACED):
        site.signal(number, "TERM")
    for number in range(REPLACED):
        await asyncio.wait_for(site.processes[number].wait(), 10)
        del instances[number], gates[number]
    await asyncio.sleep(4)

    answered = []

    async def ask(number):
        ip, _, port = instances[number]["listen"]["front"].partition(":")
        request, sent_at = new_id(), time.monotonic()
        headers = {"Host": HOST, "Anvilhook-Request-Id": request, "Anvilhook-Deadline-Ms": "2500"}
        try:
            got = await call(ip, int(port), "GET", "/peek/2f", headers, b"", 4)
        except (OSError, asyncio.TimeoutError):
            got = Answer(0, {}, b"", False)
        answered.append((number, request, sent_at, got.status))

    async def load():
        while True:
            for number in instances:
                site.spawn(ask(number))
            await asyncio.sleep(0.1)

    loading, late, worst = site.spawn(load()), [], 0.0
    for played in range(ROUNDS):
        await asyncio.sleep(CONTACT_S + 1.0)
        since = time.monotonic() - 3.8
        followers = [number for number, gate in gates.items() if sum(at > since for at in gate.waits) > 1]
        site.log("followers", machines=followers)
        if len(followers) > SHARE * MACHINES:
            raise CannotRun(f"{len(followers)} machines follow the manifest themselves")
        silent = followers if TROUBLE else []
        for number in silent:
            site.log("silent", instance=number)
            gates[number].silent = True
        await asyncio.sleep(0.05)
        service = SERVICES[(played + 1) % 2]["name"]
        site.manifest(played + 2, routes(service), SERVICES)
        acked_at = time.monotonic()
        await asyncio.sleep(SILENT_S - 3.0)
        runs = {request: runner for request, runner in site.runs.items()}
        for number, request, sent_at, status in answered:
            if sent_at < acked_at or number in silent or request not in runs:
                continue
            if service_of[runs[request]] != service:
                worst = max(worst, sent_at - acked_at)
                if sent_at > acked_at + APPLY_S:
                    late.append(request)
                    site.log("old", request=request, to=instances[number]["node_name"], runner=runs[request],
                             after_ack_ms=int((sent_at - acked_at) * 1000))
        answered.clear()
        for number in silent:
            site.log("answers", instance=number)
            gates[number].silent = False
            gates[number].close()
            await gates[number].listen()
    loading.cancel()
    site.say(f"the last request that the old service ran was sent {worst * 1000:.0f} ms after the ack (bound "
             f"{APPLY_S * 1000:.0f} ms)")
    site.say(f"{len(late)} requests sent later than that to machines in touch were run by the old service")
    return not late


play(FOLDER, case)
