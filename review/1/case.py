"""A rejection that reaches the next request on the connection: servers send a few answers a second time, late."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from common import (  # noqa: E402
    EXPECT, INSTANCE, NOT_EXECUTED, REFUSALS, REQUEST_ID, SEAL, Deployment, answer_bytes, call, main, register, route)
from Soak.messages import read_message  # noqa: E402

SERVERS = 3
SLOTS = 6
SECONDS = 60
PER_SECOND = 17.2  # Requests of the sheet's kind that may run once.
EXTRA_SERVERS, EXTRA_SHARE = 2, 0.03  # Of the servers, and of their answers: the site file's late extra answers.
SHED_SERVERS, SHED_SHARE = 3, 0.45  # The site file's servers that fail part of their requests, none spared.


class Server:
    """Answers plain requests; keeps connections. In trouble it may shed, and send an answer once more, late."""

    def __init__(self, name, record, runs, rng):
        self.name = name
        self.record = record
        self.runs = runs
        self.rng = rng
        self.repeats = False
        self.sheds = False
        self.slots = asyncio.Semaphore(SLOTS)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()

    async def serve(self, reader, writer):
        late = None  # An answer that is sent once more, at the point where the next one is expected.
        try:
            while (message := await read_message(reader)) is not None:
                if late is not None:
                    writer.write(late)
                    self.record(f"{self.name} sends an extra answer")
                answer = await self.answer(message)
                writer.write(answer)
                await writer.drain()
                late = answer if self.repeats and self.rng.random() < EXTRA_SHARE else None
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        request = message.headers[REQUEST_ID.lower()]
        if message.headers.get(EXPECT.lower()) != self.name:
            return answer_bytes(421, b"", [(REQUEST_ID, request), (INSTANCE, self.name)])
        if self.sheds and self.rng.random() < SHED_SHARE:
            self.record(f"{self.name} sheds {request}")
            return answer_bytes(503, b"", [(REQUEST_ID, request), (NOT_EXECUTED, "1")])
        async with self.slots:
            self.runs[request] = self.runs.get(request, 0) + 1
            self.record(f"{self.name} runs {request}")
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))
        body = f"order {request}".encode().ljust(800)
        return answer_bytes(200, body, [(REQUEST_ID, request), (SEAL, f"seal.{self.name}")])


async def run(record, trouble):
    rng = random.Random()
    runs, answers = {}, {}
    deployment = Deployment(record)
    try:
        servers = [Server(f"i-{number}", record, runs, rng) for number in range(SERVERS)]
        for server, zone in zip(servers, deployment.zones):
            register(deployment.store, server.name, await server.start(), "mesa-grafica", slots=SLOTS, zone=zone)
        deployment.servers = servers
        await deployment.start([route("r-1", "/puxa403/", "non_idempotent", "mesa-grafica", 100, 600, 1)],
                               [{"name": "mesa-grafica", "max_conns": 96, "health_path": "/healthz"}])
        await asyncio.sleep(4)
        for number, server in enumerate(servers):
            server.repeats = trouble and number < EXTRA_SERVERS
            server.sheds = trouble and number < SHED_SERVERS
        tasks = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(order(deployment, rng, record, answers, len(tasks))))
            await asyncio.sleep(rng.expovariate(PER_SECOND))
        await asyncio.gather(*tasks)
        await asyncio.sleep(1)
    finally:
        await deployment.stop()
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    record(f"answers by status: {counts}")
    print(f"{len(answers)} requests; answers by status: {counts}")
    broken = [f"REFUSED: {each} was answered {answers[each]} and has run" for each in answers
              if answers[each] in REFUSALS and runs.get(each)]
    broken += [f"TWICE: {each} ran {count} times" for each, count in runs.items() if count > 1]
    return broken


async def order(deployment, rng, record, answers, number):
    daemon = rng.choice(deployment.daemons)
    request = f"{rng.getrandbits(64):016x}"
    record(f"client sends {request} to {daemon.address}")
    answer = await call(daemon, "/puxa403/2f", request, b"order of plates " * 30, 600, timeout=1.5)
    answers[request] = answer.status
    record(f"client gets {answer.status} for {request}")


if __name__ == "__main__":
    main(run, os.path.dirname(os.path.abspath(__file__)))
