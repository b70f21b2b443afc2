"""Stand-ins for plain runners, which register in the store, send status reports and sign their answers."""

import asyncio

from site_parts import free_port, message, now, read_head

HEARTBEAT_S = 1.2


class Runner:
    """A plain runner. `read_rate` bounds how fast it reads each body, in bytes a second (None: at once)."""

    def __init__(self, record, store, ip, name, service, slots=6, work_s=0.015, zone="piraeus"):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.slots, self.work_s, self.zone = slots, work_s, zone
        self.address = f"{ip}:{free_port(ip)}"
        self.read_rate, self.sequence, self.state = None, 0, "ready"
        self.extra, self.writers = {}, set()
        self.arrived, self.ran = [], []

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                **self.extra}

    async def start(self):
        """Listens, registers and sends status reports from now on."""
        ip, port = self.address.split(":")
        self.working = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 16)
        await self.register()
        self.heart = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def register(self):
        return await self.store.put("servers", self.name, self.entry())

    async def crash(self):
        """Ends the process of the runner: nothing more is sent, and its connections are reset."""
        self.heart.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                start, headers = head
                request = headers.get("anvilhook-request-id", "")
                if headers.get("anvilhook-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", {"Anvilhook-Instance-Id": self.name}))
                    await writer.drain()
                    continue
                self.arrived.append((now(), request))
                self.record.line(f"{self.name} receives {request}")
                await self.read(reader, int(headers.get("content-length", "0")))
                async with self.working:
                    self.ran.append((now(), request))
                    self.record.line(f"{self.name} runs {request}")
                    await asyncio.sleep(self.work_s)
                answer = {"Anvilhook-Request-Id": request, "Anvilhook-Response-Signature": f"s.{request}",
                          "Anvilhook-Server-Load": f"1,0,{self.slots}"}
                writer.write(message("HTTP/1.1 200 OK", answer, f"done {request}".encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read(self, reader, left):
        while left > 0:
            size = min(left, 32768)
            await reader.readexactly(size)
            left -= size
            if self.read_rate:
                await asyncio.sleep(size / self.read_rate)
