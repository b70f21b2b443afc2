"""Three of twelve runners crash at once while they run the first requests with a new checklist."""
import asyncio, os, random, sys, time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from deployment import TROUBLE, Answer, CannotRun, call, new_id, play

HOST = "wiki.example"
ZONES = ["piraeus", "marousi"]
SERVICES = [{"name": "checklist-llm", "engine": {"slots": 24, "kv_tokens": 385388, "kv_token_bytes": 163840,
                                                 "link_mbps": 1300000.0, "stage_switch_s": 3.0}}]
ROUTES = [{"name": "next-step", "host": HOST, "prefix": "/step/", "kind": "streaming", "timeout_ms": 3000,
           "latency_target_ms": 500, "gap_aim_ms": 150, "priority": 0, "service": "checklist-llm", "max_attempts": 1,
           "can_resume": False}]
RUNNERS, PREFILL, CRASHED = 12, 4, 3
CRASH_S, CONTACT_S = 2.0, 3.0


async def case(site):
    site.first_event_s, site.event_pause_s = 0.15, 0.02
    site.manifest(1, ROUTES, SERVICES)
    for at in range(RUNNERS):
        stage = "prefill" if at < PREFILL else "decode"
        await site.runner(f"i-{at:04x}", "checklist-llm", ZONES[at % 2], 24, stage)
    instances = []
    for at, zone in enumerate(ZONES):
        _, path, settings = site.add_instance(at, zone, ZONES)
        await site.start_process(at, path)
        instances.append(settings)
    for settings in instances:
        await site.wait_ready(settings)
    await asyncio.sleep(1)

    answered = []

    async def ask(at, checklist, tag):
        ip, _, port = instances[at % 2]["listen"]["front"].partition(":")
        request, sent_at = new_id(), time.monotonic()
        headers = {"Host": HOST, "Anvilhook-Request-Id": request, "Anvilhook-Model": "m",
                   "Anvilhook-Token-Counts": "400,13", "Anvilhook-Deadline-Ms": "3000",
                   "Anvilhook-Prompt-Prefix": f"{checklist}:300,{random.getrandbits(32):08x}:100"}
        site.log("sent", request=request, checklist=checklist, to=instances[at % 2]["node_name"])
        try:
            got = await call(ip, int(port), "POST", "/step/2f", headers, request.encode(), 4)
        except (OSError, asyncio.TimeoutError):
            got = Answer(0, {}, b"", False)
        site.log("answered", request=request, status=got.status, by="runner" if got.is_runners else "system",
                 whole=got.whole, body="" if got.is_runners else got.body.decode())
        answered.append((tag, sent_at, got))

    async def load(checklist, tag, per_s, seconds):
        asked = []
        for at in range(int(per_s * seconds)):
            asked.append(site.spawn(ask(at, checklist, tag)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*asked)

    # Usual traffic with an old checklist.
    await load("0a01", "old", 20, 4)
    # Three cooks ask about a new one at the same moment.
    for number in range(6):
        new = f"0b{number:02d}"
        asked = [site.spawn(ask(at, new, "first")) for at in range(CRASHED)]
        await asyncio.sleep(0.1)
        hosts = [runner for runner in site.by_address.values() if runner.running]
        if len(hosts) == CRASHED:
            break
        await asyncio.gather(*asked)
    else:
        raise CannotRun("the first requests did not run on three runners")
    crashed_at = time.monotonic()
    if TROUBLE:
        for runner in hosts:
            runner.crash()

        async def restart():
            await asyncio.sleep(CRASH_S)
            for runner in hosts:
                await site.runner(f"i-b{runner.id[2:]}", "checklist-llm", runner.zone, 24, "decode")
        site.spawn(restart())
    await asyncio.gather(*asked)
    # A second later, others begin to ask about it too.
    await load("0a01", "old", 10, 1)
    await asyncio.gather(load(new, "new", 10, 15), load("0a01", "old", 10, 15))

    judged = [got for _, sent_at, got in answered if not crashed_at < sent_at < crashed_at + CONTACT_S]
    own = [got for got in judged if 300 <= got.status < 500 and got.status not in (408, 421, 429) and not got.is_runners]
    for tag in ("old", "first", "new"):
        statuses = [got.status for of, _, got in answered if of == tag]
        site.say(f"{tag}: " + ", ".join(f"{statuses.count(one)} x {one}" for one in sorted(set(statuses))))
    bound = 5 + len(answered) / 500
    site.say(f"{len(own)} of {len(answered)} proper requests were ended with a 3xx or 4xx of the system's own by "
             f"machines in touch; the rule allows {bound:.1f}")
    return len(own) <= bound


play(FOLDER, case)
