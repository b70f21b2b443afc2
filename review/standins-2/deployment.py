"""Stand-ins for the platform, the runners and the clients of a small deployment, and the start of the system's processes.

Everything listens on loopback addresses. The stand-ins follow the pages: the store's row calls, the runners' calls of
`PROTOCOL.md`, and clients that send whole requests and read whole answers.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


# ---- HTTP/1.1 ------------------------------------------------------------------------------------------------------

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def answer(status, headers=(), body=b""):
    text = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
            412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
            500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {text}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def json_answer(status, value):
    return answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Server:
    """An HTTP server on one address. `handle(method, path, query, headers, body, writer)` returns the answer's bytes, or
    None once it has written the answer itself."""

    def __init__(self, ip, port):
        self.ip, self.port, self.server, self.writers, self.tasks = ip, port, None, set(), set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=512)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                body = await read_body(reader, headers)
                query = dict(part.partition("=")[::2] for part in query.split("&") if part)
                out = await self._watched(reader, self.handle(method, path, query, headers, body, writer))
                if out is not None:
                    writer.write(out)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _watched(self, reader, work):
        """Runs a request, and drops it when its connection is closed."""
        work = asyncio.ensure_future(work)
        watch = asyncio.ensure_future(self._closed(reader))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionError("closed")
            return work.result()
        finally:
            work.cancel()
            watch.cancel()

    @staticmethod
    async def _closed(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    def close(self):
        """Ends as a killed process does: nothing listens any more and every connection breaks."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


# ---- the platform's store ------------------------------------------------------------------------------------------

class Store(Server):
    """The platform's store: rows with a version from one counter, transactions, ranges and changes."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.rows, self.log, self.ver, self.changed = {}, [], 1, asyncio.Event()

    def put(self, table, key, value):
        self.ver += 1
        self._set(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def drop(self, table, key):
        if (table, key) in self.rows:
            self.ver += 1
            self._set(table, key, None)

    def _set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.log.append((self.ver, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _now(self):
        return int(time.monotonic() * 1000)

    async def handle(self, method, path, query, headers, body, writer):
        await asyncio.sleep(0.002)
        if path == "/api/rows-get":
            start = query.get("from", "").replace("%00", "\0")
            limit = int(query.get("limit", 500))
            keys = sorted(key for table, key in self.rows if table == query["table"] and key >= start)
            rows = [{"table": query["table"], "part": "", "key": key, "value": self.rows[(query["table"], key)][0],
                     "ver": self.rows[(query["table"], key)][1]} for key in keys[:limit]]
            return json_answer(200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.ver, "now_ms": self._now()})
        if path == "/api/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = [{"table": table, "part": "", "key": key, "value": value, "ver": ver,
                         "deleted": value is None} for ver, of, key, value in self.log if of == table and ver > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return json_answer(200, {"rows": rows[:500], "has_more": len(rows) > 500,
                                             "ver": rows[:500][-1]["ver"] if len(rows) > 500 else self.ver,
                                             "now_ms": self._now()})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/rows-tx":
            call = json.loads(body)
            for row in call.get("expected_revision", []):
                known = self.rows.get((row["table"], row["key"]))
                if (known[1] if known else 0) != row["ver"]:
                    rows = [{"key": row["key"], "value": known[0] if known else None, "ver": known[1] if known else 0}]
                    return json_answer(412, {"rows": rows, "ver": self.ver, "now_ms": self._now()})
            self.ver += 1
            for row in call.get("puts", []):
                self._set(row["table"], row["key"], row["value"])
            for row in call.get("remove", []):
                self._set(row["table"], row["key"], None)
            return json_answer(200, {"ver": self.ver, "now_ms": self._now()})
        return json_answer(404, {})


# ---- runners -------------------------------------------------------------------------------------------------------

class Runner(Server):
    """A runner. It registers itself in the store; its entry lapses three reports after it has fallen silent."""

    HEARTBEAT_S = 1.2

    def __init__(self, site, name, ip, port, service, zone, slots, stage=None, version="1.0"):
        super().__init__(ip, port)
        self.site, self.id, self.service, self.zone, self.slots, self.stage = site, name, service, zone, slots, stage
        self.version, self.sequence, self.orders, self.fence, self.busy = version, 0, 0, 0, False
        self.handles, self.running, self.prefilled, self.beat, self.dead = {}, {}, {}, None, False

    def entry(self, state="ready"):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return entry

    async def start(self):
        await self.listen()
        self.site.store.put("servers", self.id, self.entry())

    def crash(self):
        """Ends at once. The store drops the entry after three reports' time of silence."""
        self.dead = True
        self.close()
        self.site.log("crash", runner=self.id, running=sorted(self.running))
        asyncio.get_running_loop().call_later(3 * self.HEARTBEAT_S, self.site.store.drop, "servers", self.id)

    async def handle(self, method, path, query, headers, body, writer):
        expected = headers.get("anvilhook-expect-instance")
        if expected and expected != self.id:
            return answer(421, [("Anvilhook-Instance-Id", self.id)])
        if path == "/api/report":
            runs = [[run, 100, events, 5] for run, events in self.running.items()]
            return json_answer(200, {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                                     "busy": self.busy, "sequence": self.orders, "waiting": 0, "running": len(runs),
                                     "kv_used": 0, "kv_total": 385388, "handles": len(self.handles), "runs": runs})
        if path == "/api/order":
            return self._order(json.loads(body))
        if path == "/api/kv-list":
            return json_answer(200, {"epoch": 1, "next": 0, "held": []})
        if path.startswith("/api/kv-handle/"):
            self.handles.pop(path.rsplit("/", 1)[1], None)
            return answer(200)
        if path == "/health":
            return answer(200, [("Anvilhook-Instance-Id", self.id)])
        if self.stage:
            return await self._model(headers, writer)
        return await self.plain(method, path, headers, body, writer)

    def _order(self, order):
        if "holder" not in order or "fencing_token" not in order:
            return answer(400)
        self.site.orders.append((time.monotonic(), self.id, order["holder"], order["fencing_token"], order.get("stage")))
        if order["fencing_token"] < self.fence:
            return answer(412)
        self.fence = order["fencing_token"]
        if self.busy or order.get("expected_revision", self.orders) != self.orders:
            return answer(409)
        if order["stage"] == self.stage:
            return answer(200)
        self.orders, self.busy = self.orders + 1, True

        async def switch():
            while self.running:
                await asyncio.sleep(0.02)
            await asyncio.sleep(3.0)
            if not self.dead:
                self.stage, self.busy = order["stage"], False
                self.site.store.put("servers", self.id, self.entry())
        self.site.spawn(switch())
        return answer(202)

    def _not_run(self):
        return answer(503, [("Anvilhook-Not-Executed", "1"), self._load()])

    def _load(self):
        return ("Anvilhook-Server-Load", f"{len(self.running)},0,{self.slots}")

    async def _model(self, headers, writer):
        request = headers.get("anvilhook-request-id")
        if not request:
            return answer(400, [("Anvilhook-Not-Executed", "1")])
        wanted = "prefill" if headers.get("anvilhook-serving-stage") == "prefill" else "decode"
        if wanted != self.stage:
            return answer(421, [("Anvilhook-Instance-Id", self.id)])
        if self.busy or len(self.running) >= self.slots:
            return self._not_run()
        prompt = headers.get("anvilhook-prompt-prefix", "")
        parts = [part.split(":") for part in prompt.split(",") if part]
        tokens = sum(int(part[1]) for part in parts)
        fresh = sum(int(part[1]) for part in parts if part[0] not in self.prefilled)
        if wanted == "prefill":
            await asyncio.sleep(fresh / 64.2 / 1000 + 0.003)
            self.prefilled.update((part[0], True) for part in parts)
            handle = f"{random.getrandbits(48):012x}"
            self.handles[handle] = request
            body = json.dumps({"handle": handle, "tokens": tokens, "version": 1}).encode()
            return answer(200, [("Content-Type", "application/json"), ("Anvilhook-Request-Id", request)], body)
        source = headers.get("anvilhook-kv-source")
        if source:
            address, _, handle = source.partition("/")
            reader = self.site.by_address.get(address)
            if reader is None or reader.dead or reader.handles.pop(handle, None) != request:
                return self._not_run()
            await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(fresh / 32.1 / 1000 + 0.003)
        return await self._stream(request, headers, writer)

    async def _stream(self, request, headers, writer):
        events, pause = self.site.events_of(headers), self.site.event_pause_s
        start = int(headers.get("last-event-id") or 0)
        self.running[request] = start
        self.site.log("run", runner=self.id, request=request, after=start)
        try:
            await asyncio.sleep(self.site.first_event_s)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Anvilhook-Request-Id: {request}",
                    "Anvilhook-Response-Signature: s." + request, "Anvilhook-Weight-Versions: 1",
                    "%s: %s" % self._load(), "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(start + 1, events + 1):
                event = f"id: {number}\ndata: {request} {number} of {events}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.running[request] = number
                await asyncio.sleep(pause)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.site.log("ran", runner=self.id, request=request)
            return None
        finally:
            self.running.pop(request, None)

    async def plain(self, method, path, headers, body, writer):
        request = headers.get("anvilhook-request-id")
        self.running[request] = 0
        self.site.log("run", runner=self.id, request=request)
        self.site.runs[request] = self.id
        try:
            await asyncio.sleep(self.site.work_s)
        finally:
            self.running.pop(request, None)
        self.site.log("ran", runner=self.id, request=request)
        return answer(200, [("Anvilhook-Request-Id", request), ("Anvilhook-Response-Signature", "s." + request),
                            self._load()], b"x" * 800)


# ---- the deployment ------------------------------------------------------------------------------------------------

def is_free(ip, port, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Site:
    """A small deployment: a store, runners, and the system's processes."""

    events, event_pause_s, first_event_s, work_s = 13, 0.01, 0.03, 0.015

    def __init__(self, folder):
        self.folder, self.tmp = folder, tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.began, self.processes, self.by_address, self.orders = time.monotonic(), {}, {}, []
        self.runs = {}
        self.background, self.next_port, self.starts = set(), random.randrange(20000, 28000), 0
        self.store = Store("127.0.0.1", self.port("127.0.0.1"))

    def events_of(self, headers):
        return self.events

    def log(self, what, **fields):
        fields = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{time.monotonic() - self.began:9.3f} {what} {fields}\n")
        self.record.flush()

    def say(self, text):
        self.log("note", text=text)
        print(text, flush=True)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def port(self, ip, count=1):
        for _ in range(2000):
            first = self.next_port
            self.next_port += count
            if all(is_free(ip, first + at, kind) for at in range(count)
                   for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                return first
        raise CannotRun("no free ports")

    async def runner(self, name, service, zone, slots, stage=None, kind=Runner, **more):
        runner = kind(self, name, "127.0.0.1", self.port("127.0.0.1"), service, zone, slots, stage, **more)
        await runner.start()
        self.by_address[runner.address] = runner
        return runner

    def manifest(self, version, routes, services, **more):
        value = {"version": version, "routes": routes, "services": services,
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                            "idle_timeout_ms": 30000}}
        value.update(more)
        self.store.put("op", "config", value)
        self.log("manifest", version=version)

    BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
              "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
              "max_stretch_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "recover_s": 12,
              "transit_ms": 120, "retry_after_s": 9.3, "require_fence": True, "lease_ms": 3000,
              "unfreeze_slack_ms": 300}

    def add_instance(self, number, zone, zones, **bounds):
        """Writes the settings of an instance on its own loopback address."""
        ip = f"127.0.0.{10 + number}"
        if not hasattr(self, "ports"):
            self.ports = [self.port(ip) for _ in range(3)] + [self.port(ip)]
        front, ready, control, peer = self.ports
        settings = {
            "node_name": f"edge-{zone}-{number}", "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "r", "zones": {one: "r" for one in zones},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}", "control": f"{ip}:{control}"},
            "internal_ports": [peer, peer + 3], "seeds": [f"127.0.0.10:{control}", f"127.0.0.11:{control}"],
            "bootstrap": True, "budgeted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": {**self.BOUNDS, **bounds},
            "platform": {"address": self.store.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000,
                         "tx_ms": 3.0, "partition_writes_s": 300, "row_bytes": 65536, "across": True, "history_s": 20,
                         "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0}}
        settings.update(getattr(self, "more_settings", {}))
        path = os.path.join(self.tmp, f"{number}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return settings["node_name"], path, settings

    async def start_process(self, number, path):
        program = os.path.join(ROOT, "target", "release", "anvilhook-entry")
        if not os.path.exists(program):
            raise CannotRun(f"{program} is missing: run the build of the deploy file")
        log = open(os.path.join(self.tmp, f"{number}.log"), "a")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["ANVILHOOK_SETTINGS"] = path
        process = await asyncio.create_subprocess_exec(program, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.processes[number] = process
        self.log("start", instance=number, pid=process.pid)
        return process

    async def wait_ready(self, settings, seconds=15):
        ip, _, port = settings["listen"]["ready"].partition(":")
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                got = await call(ip, int(port), "GET", "/api/readiness", {}, timeout=1)
                if got.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("an instance does not become ready")

    def signal(self, number, name):
        self.log("signal", instance=number, name=name)
        self.processes[number].send_signal(getattr(signal, "SIG" + name))

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for runner in self.by_address.values():
            runner.close()
        self.store.close()
        self.record.close()
        # With KEEP_LOGS the settings and logs of the processes stay.
        if os.environ.get("KEEP_LOGS"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    @property
    def is_runners(self):
        return "anvilhook-response-signature" in self.headers


async def call(ip, port, method, path, headers, body=b"", timeout=10.0):
    """Sends one request on a new connection and returns its answer; status 0 if the connection ends without one."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            try:
                await writer.drain()
                line, got = await read_head(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(0, {}, b"", False)
            try:
                content = await read_body(reader, got)
                return Answer(int(line.split(" ")[1]), got, content, True)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(int(line.split(" ")[1]), got, b"", False)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def new_id():
    return f"{random.getrandbits(64):016x}"


def play(folder, case, limit_s=110):
    """Plays a case: `case(site)` returns whether the rule held. Exits with 0 if so, with 1 if not, 2 if it can't run."""
    async def run():
        site = Site(folder)
        try:
            await site.store.listen()
            held = await asyncio.wait_for(case(site), limit_s)
            site.say("the rule held" if held else "THE RULE WAS BROKEN")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as err:
            site.say(f"the case could not run: {err!r}")
            return 2
        finally:
            await site.end()
    sys.exit(asyncio.run(run()))
