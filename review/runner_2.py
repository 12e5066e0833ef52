"""A runner of the cases of the second review, as a process of its own. It serves sound answers; some have no length and end
with their connection. Its standard output names each request that begins to run."""

import argparse
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"))

from Soak.messages import read_message  # noqa: E402

PREFIX = "x-" + "lagoonward-"


def plain_piece(request, number):
    return f"{request} piece {number}\n".encode()


def event(request, number):
    return f"id: {number}\ndata: {request} event {number}\n\n".encode()


class Runner:
    def __init__(self, arguments):
        self.arguments = arguments

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        options = self.arguments
        request = message.headers.get(PREFIX + "request-id", "")
        if message.headers.get(PREFIX + "expect-instance", options.name) != options.name:
            writer.write(f"HTTP/1.1 421 X\r\n{PREFIX}not-executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        print("run", request, flush=True)
        head = ["HTTP/1.1 200 OK", f"{PREFIX}request-id: {request}", f"{PREFIX}response-seal: seal-{options.name}"]
        is_stream = message.path.startswith("/stream")
        if is_stream:
            head.append("Content-Type: text/event-stream")
        last = int(message.headers.get("last-event-id", 0)) if is_stream else 0
        make = event if is_stream else plain_piece
        pieces = [make(request, number) for number in range(last + 1, options.pieces + 1)]
        if not options.unframed:
            head.append("Transfer-Encoding: chunked")
        await asyncio.sleep(options.work_ms / 1000)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number, piece in enumerate(pieces):
            if message.body == b"deadly" and number == options.deadly_after:
                os.kill(os.getpid(), signal.SIGKILL)
            writer.write(piece if options.unframed else f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
            await asyncio.sleep(options.gap_ms / 1000)
        if not options.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not options.unframed


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--pieces", type=int, default=12)
    parser.add_argument("--gap-ms", type=float, default=40)
    parser.add_argument("--work-ms", type=float, default=20)
    parser.add_argument("--deadly-after", type=int, default=0, help="pieces after which a deadly request crashes it")
    arguments = parser.parse_args()
    server = await asyncio.start_server(Runner(arguments).serve, arguments.ip, arguments.port)
    print("port", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
