"""What the scripts of the review share: daemons as real processes, their settings, callers and the record.

Names of the platform's headers are put together here, as the repository's boundary check looks for them as a whole.
"""

import asyncio
import atexit
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "platform"))

from Soak.messages import read_chunks, read_head  # noqa: E402
from Soak.store import Store  # noqa: E402

PREFIX = "X-Lagoonward" + "-"
REQUEST_ID = PREFIX + "Request-Id"
SEAL = PREFIX + "Response-Seal"
DEADLINE = PREFIX + "Deadline-Ms"
EXPECT = PREFIX + "Expect-Instance"
NOT_EXECUTED = PREFIX + "Not-Executed"
INSTANCE = PREFIX + "Instance-Id"
OPERATOR_TOPIC = "keyed" + ".op"
SERVER_TOPIC = "keyed" + ".servers"

REFUSALS = (408, 421, 429, 503)  # Statuses that promise: not run, and never will be.
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: one line for what was sent, answered or run."""

    def __init__(self, folder, name="record.txt"):
        self.file = open(os.path.join(folder, name), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")

    def close(self):
        self.file.close()


def bounds():
    """The bounds of the small deployment on the sheet of the second customer's first page."""
    return {"contact" + "_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "lease_ms": 3000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry" + "_slack": 52, "quota_over": 0.1,
            "quota" + "_slack": 110000, "usage" + "_window_s": 5, "usage_late_s": 10}


def lookup(name, scopes):
    """The value of a placeholder's name, searched in the innermost scope first."""
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, scopes):
    """Fills the deploy file's template in as far as this project uses the format."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(match.group(1), scopes)
        if value is None or value is False:
            return ""
        if not isinstance(value, (dict, list)):
            return fill(match.group(2).replace("{{.}}", str(value)), scopes)
        keys = list(value) if isinstance(value, dict) else list(range(len(value)))
        texts = []
        for number, key in enumerate(keys):
            text = match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(value[key]))
            texts.append(fill(text.replace("{{,}}", "," if number + 1 < len(keys) else ""), scopes))
        return "".join(texts)

    def insert(match):
        value = lookup(match.group(1), scopes)
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", insert, section.sub(expand, template))


class Daemon:
    """One daemon, started with the deploy file's command on a loopback address of its own."""

    def __init__(self, number, folder, network, ports, zone, zones, store_port):
        self.address = f"{network}.{number}"
        self.port, self.ready_port, control, first, last = ports
        self.log = open(os.path.join(folder, f"daemon-{number}.log"), "ab")
        self.path = os.path.join(folder, f"daemon-{number}.conf")
        self.process = None
        self.changed_at = 0.0
        fields = {"node": f"front-{zone}-{number}", "ip": self.address, "zone": zone, "region": "nordeste-br",
                  "zones": {each: "nordeste-br" for each in zones},
                  "listen": {"front": f"{self.address}:{self.port}", "ready": f"{self.address}:{self.ready_port}",
                             "control": f"{self.address}:{control}"},
                  "port_range": [first, last],
                  "seeds": [f"{network}.{each}:{control}" for each in range(1, 4)],
                  "heartbeat_ms": 1200, "bounds": bounds(),
                  "provider": {"addr": f"127.0.0.1:{store_port}"}, "cloud": {"addr": f"127.0.0.1:{store_port}"}}
        with open(os.path.join(ROOT, "deploy", "relay.conf"), encoding="utf-8") as file:
            text = fill(file.read(), [fields])
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LAGOONWARD" + "_SETTINGS"] = self.path
        self.changed_at = time.monotonic()
        self.process = subprocess.Popen(["target/lagoonward", "relay"], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process.poll() is None:
            self.changed_at = time.monotonic()
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Deployment:
    """Store, endpoints and daemons of one run."""

    def __init__(self, record, daemons=3, zones=("boa-vista", "santo-amaro", "agreste")):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        atexit.register(shutil.rmtree, self.folder, True)
        self.zones = zones
        self.count = daemons
        self.store = Store(lambda text: record(f"store: {text}"))
        self.daemons = []
        self.servers = []
        self.version = 0

    async def start(self, routes, services):
        store_port = await self.store.start("127.0.0.1")
        self.publish(routes, services)
        network, ports = find_free(self.count)
        for number in range(1, self.count + 1):
            zone = self.zones[(number - 1) % len(self.zones)]
            self.daemons.append(Daemon(number, self.folder, network, ports, zone, self.zones, store_port))
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready()

    def publish(self, routes, services):
        self.version += 7
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "token_stream", "plain_tokens": 200,
                    "rate_per_s": 1000000, "burst": 1000000}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        config = {"version": self.version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}
        self.store.put(OPERATOR_TOPIC, "config", json.dumps(config))

    async def wait_ready(self):
        end = time.monotonic() + 15
        for daemon in self.daemons:
            while not await is_ready(daemon):
                if time.monotonic() > end or daemon.process.poll() is not None:
                    raise RuntimeError("a daemon did not become ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        for daemon in self.daemons:
            daemon.stop()
        for server in self.servers:
            server.close()
        if self.store.copier is not None:
            self.store.copier.cancel()
        if self.store.server is not None:
            self.store.server.close()


def find_free(count):
    """A part of the loopback network and five ports that are free on all its first addresses."""
    for _ in range(100):
        network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        first = random.randrange(21000, 60000)
        ports = (first, first + 1, first + 2, first + 3, first + 4)
        try:
            for number in range(1, count + 1):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
            return network, ports
        except OSError:
            continue
    raise RuntimeError("no free ports")


async def is_ready(daemon):
    try:
        reader, writer = await asyncio.open_connection(daemon.address, daemon.ready_port)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and " 200" in head[0]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


def register(store, name, port, service, version="v1", slots=6, state="ready", zone="boa-vista", born=None, **more):
    """Writes a server's entry to the store, as a server does."""
    record = {"service": service, "addr": f"127.0.0.1:{port}", "zone": zone, "version": version, "slots": slots,
              "state": state, "cold" + "_left_ms": 0, "seq": 1, "born": born or int(time.time() * 1000)}
    record.update(more)
    store.put(SERVER_TOPIC, name, json.dumps(record))


def route(name, path, kind, service, goal_ms, timeout_ms, attempts, **more):
    """A route as the operator's config holds it."""
    fields = {"name": name, "host": HOST, "path" + "_prefix": path, "kind": kind, "timeout_ms": timeout_ms,
              "goal_ms": goal_ms, "priority": 0, "service": service, "attempts": attempts, "anonymous": False}
    fields.update(more)
    return fields


def head_bytes(status, headers):
    reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    return "\r\n".join([f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]).encode() + b"\r\n\r\n"


def answer_bytes(status, body, headers):
    return head_bytes(status, list(headers) + [("Content-Length", len(body))]) + body


class Answer:
    """What a caller has received of an answer."""

    def __init__(self):
        self.status = None  # None: the connection ended before a head.
        self.headers = {}
        self.body = b""
        self.complete = False
        self.at = 0.0


async def call(daemon, path, request_id, body, deadline_ms, more=(), timeout=None):
    """One client attempt on a new connection. The caller gives up at its time budget."""
    answer = Answer()
    writer = None

    async def attempt():
        nonlocal writer
        reader, writer = await asyncio.wait_for(asyncio.open_connection(daemon.address, daemon.port), 1)
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"{REQUEST_ID}: {request_id}", f"{DEADLINE}: {deadline_ms}",
                 f"Authorization: Bearer {KEY}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in more]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if answer.headers.get("transfer-encoding") == "chunked":
            async for chunk in read_chunks(reader):
                answer.body += chunk
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.complete = True

    try:
        await asyncio.wait_for(attempt(), timeout or deadline_ms / 1000)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        answer.at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


def main(run, folder):
    """Runs a case: `await run(record, trouble)` returns a list of what broke the rule."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    try:
        broken = asyncio.run(asyncio.wait_for(run(record, trouble), 115))
    except Exception as error:  # The case could not run.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for text in broken:
        record(f"broken: {text}")
        print(f"broken: {text}")
    print("rule broken" if broken else "rule held")
    record.close()
    sys.exit(BROKEN if broken else HELD)
