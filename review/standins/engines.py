"""Stand-ins for model runners: one stage each, prefill with handles, and streams of numbered events."""

import asyncio
import json
import secrets

from runners import Runner
from site_parts import message, now, read_body, read_head

PREFILL_TOKENS_PER_MS = 64.2


class Engine(Runner):
    """A model runner. Each stream takes `gap_s` for an event, as many events as tokens are asked for."""

    def __init__(self, record, store, ip, name, service, stage, slots, gap_s, **more):
        super().__init__(record, store, ip, name, service, slots=slots, **more)
        self.stage, self.gap_s = stage, gap_s
        self.handles, self.running, self.waiting = {}, {}, 0
        self.extra = {"stage": stage, "models": [{"name": "m", "version": 1, "adapters": []}]}

    def report(self):
        return {"stage": self.stage, "models": self.extra["models"], "busy": False, "sequence": 0,
                "waiting": self.waiting, "running": len(self.running), "kv_used": 0, "kv_total": 385388,
                "handles": len(self.handles), "runs": [[one, 0, made, 5] for one, made in self.running.items()]}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                start, headers = head
                await read_body(reader, headers)
                await self.take(writer, start, headers)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def take(self, writer, start, headers):
        path = start.split(" ")[1]
        if headers.get("anvilhook-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {"Anvilhook-Instance-Id": self.name}))
        elif path == "/api/report":
            self.send_json(writer, self.report())
        elif path == "/api/order":
            writer.write(message("HTTP/1.1 409 Conflict", {}))
        elif path.startswith("/api/kv-handle/"):
            self.handles.pop(path.rsplit("/", 1)[1], None)
            writer.write(message("HTTP/1.1 200 OK", {}))
        elif (headers.get("anvilhook-serving-stage") == "prefill") != (self.stage == "prefill"):
            writer.write(message("HTTP/1.1 421 Misdirected Request", {}))
        elif self.stage == "prefill":
            await self.prefill(writer, headers)
        else:
            await self.generate(writer, headers)

    @staticmethod
    def send_json(writer, value, **headers):
        writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json", **headers},
                             json.dumps(value).encode()))

    async def prefill(self, writer, headers):
        request = headers["anvilhook-request-id"]
        tokens = int(headers["anvilhook-token-counts"].split(",")[0])
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000)
        handle = secrets.token_hex(6)
        self.handles[handle] = request
        self.record.line(f"{self.name} has read the prompt of {request}")
        self.send_json(writer, {"handle": handle, "tokens": tokens, "version": 1},
                       **{"Anvilhook-Request-Id": request})

    async def generate(self, writer, headers):
        request = headers["anvilhook-request-id"]
        self.arrived.append((now(), request))
        events = int(headers["anvilhook-token-counts"].split(",")[1])
        self.waiting += 1
        async with self.working:
            self.waiting -= 1
            self.running[request] = 0
            self.ran.append((now(), request))
            self.record.line(f"{self.name} runs {request}")
            try:
                await self.stream(writer, request, events, int(headers.get("last-event-id", "0")))
            finally:
                self.running.pop(request, None)

    async def stream(self, writer, request, events, after):
        head = {"Anvilhook-Request-Id": request, "Anvilhook-Response-Signature": f"s.{request}",
                "Anvilhook-Server-Load": f"{len(self.running)},{self.waiting},{self.slots}",
                "Content-Type": "text/event-stream", "Anvilhook-Weight-Versions": "1",
                "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        for number in range(after + 1, events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            if lines:
                chunk, lines = ("\r\n".join(lines) + "\r\n\r\n").encode() + chunk, None
            if writer.is_closing():
                raise ConnectionError
            writer.write(chunk)
            await writer.drain()
            self.running[request] = number
        writer.write(b"0\r\n\r\n")
