"""Stand-ins for the platform, runners and clients, and the start of real processes, for the cases of this review.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Returns the time since the start of the script, in seconds."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


def loopback_ip(number):
    """Returns a loopback address that is unlikely to be used by another run."""
    pid = os.getpid()
    return f"127.{20 + pid % 200}.{pid // 200 % 250}.{number}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message, or None at its end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks; raises if it is cut."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows with versions, conditional transactions and feeds."""

    def __init__(self, ip):
        self.address = f"{ip}:{free_port(ip)}"
        self.rows, self.history, self.version = {}, [], 1
        self.changed = asyncio.Condition()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def put(self, table, key, value):
        """Writes a row as the operator or a runner does and returns its version."""
        return await self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def remove(self, table, key):
        return await self.apply([], [(table, "", key)])

    async def apply(self, puts, removals):
        async with self.changed:
            self.version += 1
            for table, part, key, value in puts:
                self.rows[table, part, key] = (value, self.version)
                self.history.append((self.version, table, part, key, value))
            for table, part, key in removals:
                self.rows.pop((table, part, key), None)
                self.history.append((self.version, table, part, key, None))
            self.changed.notify_all()
            return self.version

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                start, headers = head
                method, target, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                status, answer = await self.answer(method, target, body)
                answer["now_ms"] = int(time.monotonic() * 1000)
                payload = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, payload))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/api/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/api/rows-get":
            wanted = query["table"], query.get("part", "")
            rows = [self.row(*key, *value) for key, value in sorted(self.rows.items()) if key[:2] == wanted]
            return 200, {"rows": rows, "has_more": False, "ver": self.version}
        if path == "/api/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("wait_ms", "0")))
        return 404, {}

    async def transact(self, call):
        for row in call["expected_revision"]:
            known = self.rows.get((row["table"], row["part"], row["key"]), (None, 0))
            if known[1] != row["ver"]:
                return 412, {"rows": [], "ver": self.version}
        puts = [(row["table"], row["part"], row["key"], row["value"]) for row in call["puts"]]
        removals = [(row["table"], row["part"], row["key"]) for row in call["remove"]]
        return 200, {"ver": await self.apply(puts, removals)}

    async def feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                rows = [self.row(*change[1:], change[0]) for change in self.history if change[0] > after and change[1] == table]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    @staticmethod
    def row(table, part, key, value, version):
        if value is None:
            return {"table": table, "part": part, "key": key, "ver": version, "deleted": True}
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}


def manifest(service, kind, timeout_ms, target_ms, version=7):
    """Returns a manifest with one route to one plain service."""
    return {
        "version": version,
        "routes": [{"name": "r-x73d3zj", "host": "ficu95.example", "prefix": "/pule252/", "kind": kind,
                    "timeout_ms": timeout_ms, "latency_target_ms": target_ms, "priority": 2, "service": service,
                    "max_attempts": 1}],
        "services": [{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1",
                      "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


def post(request, deadline_ms, body=b"", close=False):
    """Returns a client's request on the route of `manifest`."""
    headers = {"Host": "ficu95.example", "Anvilhook-Request-Id": request, "Anvilhook-Deadline-Ms": deadline_ms}
    if close:
        headers["Connection"] = "close"
    return message("POST /pule252/2f HTTP/1.1", headers, body)


def settings(name, ip, store, seeds=(), zone="piraeus"):
    """Returns the settings of a small deployment, with free ports of a loopback address."""
    front, ready, control, peer = (free_port(ip) for _ in range(4))
    return {
        "node_name": name, "role": "entry", "machine_class": "edge", "serves": ["edge", "control"],
        "ip": ip, "zone": zone, "region": "attica",
        "zones": {"piraeus": "attica", "marousi": "attica", "glyfada": "attica"},
        "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}", "control": f"{ip}:{control}"},
        "internal_ports": [peer, peer], "seeds": list(seeds), "bootstrap": True, "budgeted": False,
        "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                   "disk_mb": 0},
        "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "active_contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
                             "platform"],
        "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                   "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                   "rollback_slack_ms": 250, "max_stretch_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
                   "budget_slack": 56, "recover_s": 12, "transit_ms": 120, "retry_after_s": 9.3,
                   "require_fence": True, "lease_ms": 3000, "unfreeze_slack_ms": 300},
        "platform": {"address": store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0,
                     "partition_writes_s": 300, "row_bytes": 65536, "across": True, "history_s": 20,
                     "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
    }


class Instance:
    """A real process of the program that the deploy file runs, which is started again when it ends."""

    def __init__(self, record, folder, values):
        self.record, self.values = record, values
        self.path = pathlib.Path(folder) / f"{values['node_name']}.json"
        self.path.write_text(json.dumps(values))
        self.log = open(pathlib.Path(folder) / f"{values['node_name']}.log", "ab")
        self.starts, self.process, self.keeper = 0, None, None
        host, port = values["listen"]["front"].split(":")
        self.front = (host, int(port))

    async def start(self):
        run = re.search(r'^run = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.MULTILINE)
        if run is None:
            raise CannotRun("the deploy file names no program")
        words = run.group(1).split()
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(program), *words[1:], cwd=ROOT, env={**kept, "ANVILHOOK_SETTINGS": str(self.path)},
            stdout=self.log, stderr=self.log)
        self.starts += 1
        self.record.line(f"{self.values['node_name']} starts (start {self.starts})")

    async def keep(self):
        """Starts the process, and again after a short delay whenever it ends."""
        await self.start()
        self.keeper = asyncio.create_task(self.restart())

    async def restart(self):
        while True:
            status = await self.process.wait()
            self.record.line(f"{self.values['node_name']} has ended with {status}")
            await asyncio.sleep(0.5)
            await self.start()

    async def is_ready(self):
        """Returns whether the process answers the platform's question with 200."""
        host, port = self.values["listen"]["ready"].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
        except OSError:
            return False
        return head is not None and head[0].split()[1] == "200"

    async def ready(self, limit=20):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.values['node_name']} is not ready after {limit} s")
            await asyncio.sleep(0.05)

    def rss_mb(self):
        """Returns the resident memory of the process in MB, 0 if it has ended."""
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def signal(self, number):
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def end(self):
        if self.keeper:
            self.keeper.cancel()
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


def play(folder, case, limit=110):
    """Plays a case and exits with its status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    temporary = tempfile.mkdtemp(prefix="anvilhook-review-")
    record = Record(folder)
    instances = []

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, temporary, instances), limit)
        finally:
            for instance in instances:
                await instance.end()

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as err:  # An error of the case itself shows nothing about the rule.
        record.line(f"could not run: {err!r}")
        print(f"could not run: {err!r}")
        status = 2
    if os.environ.get("KEEP"):
        record.line(f"settings and logs: {temporary}")
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    raise SystemExit(status)
