"""Servers whose answers are an endless body: event lines without the blank line that would end an event."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from common import (  # noqa: E402
    EXPECT, INSTANCE, REQUEST_ID, SEAL, Deployment, Record, answer_bytes, call, head_bytes, main, register, route)
from Soak.messages import read_message  # noqa: E402

SERVERS = 6
FAULTY = 2  # Of the servers: the site file's share of servers that spoil answers is 0.35.
SPOILED_SHARE = 0.05  # Of their answers: the site file's largest, for answers without a length.
SECONDS = 40
PER_SECOND = 22.4
TIMEOUT_MS = 6000
EVENTS = 8
PIECE = b"data: 1\n" * 8192


class Server:
    """Streams events; in trouble a share of its answers are bytes without end, until the caller closes."""

    def __init__(self, name, record, rng):
        self.name = name
        self.record = record
        self.rng = rng
        self.spoils = False
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        request = message.headers[REQUEST_ID.lower()]
        if message.headers.get(EXPECT.lower()) != self.name:
            writer.write(answer_bytes(421, b"", [(REQUEST_ID, request), (INSTANCE, self.name)]))
            return True
        headers = [(REQUEST_ID, request), (SEAL, f"seal.{self.name}"), ("Content-Type", "text/event-stream"),
                   ("Transfer-Encoding", "chunked")]
        self.record(f"{self.name} runs {request}")
        writer.write(head_bytes(200, headers))
        if self.spoils and self.rng.random() < SPOILED_SHARE:
            self.record(f"{self.name} answers {request} without end")
            begin = time.monotonic()
            sent = 0
            try:
                while True:
                    writer.write(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
                    await writer.drain()
                    sent += len(PIECE)
                    await asyncio.sleep(0)
            finally:
                self.record(f"{self.name} was closed after {time.monotonic() - begin:.1f} s, {sent} bytes for {request}")
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.05)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def serve(path, spoils):
    """The servers, in a process of their own so that they do not hold up the clients. SIGUSR1 begins the trouble."""
    record = Record(path, "servers.txt")
    servers = [Server(f"i-{number}", record, random.Random()) for number in range(SERVERS)]
    print(json.dumps([await server.start() for server in servers]), flush=True)

    def begin():
        for server in servers[:FAULTY]:
            server.spoils = spoils

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, begin)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    record.close()


async def run(record, trouble):
    rng = random.Random()
    late, long_requests, lost = [], [], []
    deployment = Deployment(record)
    servers = subprocess.Popen([sys.executable, __file__, "servers", deployment.folder, "1" if trouble else "0"],
                               stdout=subprocess.PIPE)
    try:
        for number, port in enumerate(json.loads(servers.stdout.readline())):
            register(deployment.store, f"i-{number}", port, "atelie-ia", slots=64, zone=deployment.zones[number % 3])
        routes = [route("r-1", "/lohu930/", "stream", "atelie-ia", 600, TIMEOUT_MS, 1, resumable=False,
                        **{"gap_target" + "_ms": 400})]
        await deployment.start(routes, [{"name": "atelie-ia", "max_conns": 360, "health_path": "/healthz"}])
        await asyncio.sleep(4)
        servers.send_signal(signal.SIGUSR1)
        tasks = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(ask(deployment, rng, record, late, long_requests, lost)))
            await asyncio.sleep(rng.expovariate(PER_SECOND))
        await asyncio.gather(*tasks)
        for daemon in deployment.daemons:
            state = daemon.process.poll()
            record(f"daemon {daemon.address} {'runs' if state is None else f'has ended: {state}'}")
    finally:
        servers.terminate()
        servers.wait()
        await deployment.stop()
    with open(os.path.join(deployment.folder, "servers.txt"), encoding="utf-8") as file:
        for line in file:
            record("servers: " + line.rstrip())
    print(f"{len(tasks)} requests; {len(long_requests)} lasted longer than the route's timeout, {len(late)} of these had "
          f"no final answer half a second later; {len(lost)} never")
    record(f"{len(long_requests)} long, {len(late)} late, {len(lost)} never")
    if len(late) >= 8 and len(late) > 0.25 * len(long_requests):
        return [f"CONFIG: of {len(long_requests)} requests that lasted longer than timeout_ms {len(late)} had no final "
                "answer 0.5 s after it"]
    return []


async def ask(deployment, rng, record, late, long_requests, lost):
    daemon = rng.choice(deployment.daemons)
    request = f"{rng.getrandbits(64):016x}"
    record(f"client sends {request} to {daemon.address}")
    begin = time.monotonic()
    answer = await call(daemon, "/lohu930/2f", request, b"concept " * 100, 15000)
    took = answer.at - begin
    record(f"client gets {answer.status} for {request} after {took:.2f} s, complete: {answer.complete}")
    if took > TIMEOUT_MS / 1000:
        long_requests.append(request)
    if took > TIMEOUT_MS / 1000 + 0.5:
        late.append(request)
    if took > 14.9:
        lost.append(request)


if __name__ == "__main__" and sys.argv[1:2] == ["servers"]:
    asyncio.run(serve(sys.argv[2], sys.argv[3] == "1"))
elif __name__ == "__main__":
    main(run, os.path.dirname(os.path.abspath(__file__)))
