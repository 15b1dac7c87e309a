"""Stand-ins for the platform on loopback: its store, its machine service, executors and callers. Only the standard
library is needed. Every server listens on 127.0.0.1, on a port that the system chooses, and the scheduler processes are
started as deploy/system.toml says."""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"

# The settings of a small deployment, as DEPLOY.md shows them.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_ms": 2000, "max_hold_ms": 10000,
          "stop_ms": 900, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
          "status_s": 120, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2, "require_fence": True,
          "lease_ms": 3000, "pace_ms": 100}
HEARTBEAT_MS = 1500


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class HttpServer:
    """HTTP/1.1 with persistent connections. handle() returns (status, JSON value), or None to break the connection."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        """Stops listening and resets every connection."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, value = line.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the peer has gone, or the case is over
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: rows-tx, rows-get, rows-parts and rows-feed."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, table, part, key, value or None)
        self.version = 1
        self.changed = asyncio.Event()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def apply(self, writes, removals=()):
        self.version += 1
        for table, part, key, value in writes:
            self.rows[table, part, key] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        for name in removals:
            if self.rows.pop(name, None):
                self.log.append((self.version, *name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())])

    def drop(self, table, key):
        self.apply([], [(table, "", key)])

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def encode(self, name, row):
        table, part, key = name
        return {"table": table, "part": part, "key": key, "value": row[0], "row_version": row[1]}

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-tx":
            await asyncio.sleep(0.006)
            return self.transact(json.loads(body))
        await asyncio.sleep(0.004)
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, {"parts": parts, "has_more": False}
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        name = lambda each: (each["table"], each.get("part", ""), each["key"])
        conditions = call.get("precondition", [])
        if any(self.rows.get(name(each), (None, 0))[1] != each["row_version"] for each in conditions):
            present = [self.encode(name(each), self.rows[name(each)]) for each in conditions if name(each) in self.rows]
            return 412, {"rows": present, "row_version": self.version, "now_ms": self.now_ms()}
        self.apply([(*name(each), each["value"]) for each in call.get("writes", [])],
                   [name(each) for each in call.get("remove", [])])
        return 200, {"row_version": self.version, "now_ms": self.now_ms()}

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted((name for name in self.rows
                        if name[0] == query["table"] and name[1] == query.get("part", "")
                        and name[2] >= query.get("from", "") and ("target" not in query or name[2] < query["target"])),
                       key=lambda name: name[2].encode())
        return 200, {"rows": [self.encode(name, self.rows[name]) for name in names[:limit]],
                     "has_more": len(names) > limit, "row_version": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changes = [each for each in self.log if each[0] > after and each[1] == query["table"]][:500]
            left = end - time.monotonic()
            if changes or left <= 0:
                rows = [{"table": table, "part": part, "key": key, "row_version": version}
                        | ({"deleted": True} if value is None else {"value": value})
                        for version, table, part, key, value in changes]
                return 200, {"rows": rows, "row_version": changes[-1][0] if changes else self.version,
                             "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Cloud(HttpServer):
    """The platform's machine service, which only lists machines."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    async def handle(self, method, target, headers, body):
        if not target.startswith("/-/machines"):
            return 400, {}
        return 200, {"next_token": None, "machines": [
            {"host_id": each.host, "pool": each.service, "state": "up" if each.is_up else "down", "zone": each.zone,
             "labels": each.labels, "capacity": each.capacity} | ({"id": each.id} if each.is_up else {})
            for each in self.world.executors]}


class Run:
    def __init__(self, number, duration_s):
        self.number = number
        self.started = time.monotonic()
        self.duration_s = duration_s

    def percent(self):
        return min(99, int(100 * (time.monotonic() - self.started) / self.duration_s))


class Executor(HttpServer):
    """Runs tasks whose spec says `ms=N`. Everything ends when the lease does."""

    def __init__(self, world, name, service, zone, kind, rack, cpu=16000):
        super().__init__()
        self.world = world
        self.id = name
        self.host = "m-" + name
        self.service = service
        self.zone = zone
        self.labels = [kind, rack]
        self.capacity = {"cpu": cpu, "mem_mb": 32768, "gpu": 0}
        self.is_up = False
        self.seq = 0

    def begin(self):
        """A new life, which knows nothing of the one before."""
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.highest = {}
        self.finished = []
        self.end_count = 0
        self.ended = asyncio.Event()

        self.entry_at = float("inf")

    def clock_ms(self):
        return int((time.monotonic() - self.epoch) * 1000)

    def register(self):
        self.seq += 1
        self.entry_at = time.monotonic() + HEARTBEAT_MS / 1000
        self.world.store.put("servers", self.id, {
            "service": self.service, "addr": f"{LOOPBACK}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
            "host_id": self.host, "born": self.born, "clock_ms": self.clock_ms(), "seq": self.seq})

    async def crash(self, down_s, kind, entry_s):
        """Ends this life, and starts another one under the same id and at the same address."""
        self.is_up = False
        for task, run in self.runs.items():
            self.world.note("crashed", self.id, task, run.number)
        self.runs = {}
        await self.close()
        await asyncio.sleep(down_s)
        self.labels = [kind, self.labels[1]]
        self.begin()
        await self.listen(self.port)
        self.world.note("up", self.id, "", 0, f"kind {kind}, a new life under the same id")
        await asyncio.sleep(entry_s)
        self.register()
        self.world.note("entry", self.id, "", 0, f"kind {kind}")

    async def lose(self):
        """Is lost for good, silently: nothing is answered any more, and the entry goes after three heartbeats."""
        self.is_up = False
        for task, run in self.runs.items():
            self.world.note("lost", self.id, task, run.number)
        self.runs = {}
        self.world.note("dark", self.id, "", 0, "for good")
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        self.world.store.drop("servers", self.id)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.end_count += 1
        self.finished.append([self.end_count, task, run.number, how, ""])
        self.world.note("ended", self.id, task, run.number, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        if now >= self.entry_at:
            self.register()
        for task, run in list(self.runs.items()):
            if self.clock_ms() > self.until_ms:
                self.end(task, "lapsed")
            elif now - run.started >= run.duration_s:
                self.end(task, "done")

    def extend(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + BOUNDS["max_hold_ms"]))

    async def handle(self, method, target, headers, body):
        while not self.is_up:
            await asyncio.sleep(1)
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        call = json.loads(body)
        if call.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = call.get("fence", 0)
        if target == "/-/run-start":
            return self.start(call)
        if target == "/-/run-stop":
            return self.stop(call)
        if target == "/-/hold":
            return await self.hold(call)
        return 200, {"clock_ms": self.clock_ms()}

    def start(self, call):
        task, number = call["task"], call["run_id"]
        refuse = lambda reason: (409, {"clock_ms": self.clock_ms(), "reason": reason})
        present = self.runs.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if call["until_ms"] <= self.clock_ms():
            return refuse("late")
        if number <= self.highest.get(task, 0):
            return refuse("old")
        self.highest[task] = number
        self.extend(call["until_ms"])
        self.runs[task] = Run(number, int(re.search(r"ms=(\d+)", call["spec"]).group(1)) / 1000)
        self.world.started(self, task, number, call["spec"])
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, call):
        task, number = call["task"], call["run_id"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        if task in self.runs and self.runs[task].number <= number:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, call):
        if "until_ms" in call:
            self.extend(call["until_ms"])
        self.finished = [each for each in self.finished if each[0] > call.get("acked", 0)]
        if call.get("wait_ms") and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "finished": self.finished[:500],
                     "running": [[task, run.number, "", run.percent(), 1000] for task, run in self.runs.items()]}


class Scheduler:
    """One entry VM: a process of the deploy file with settings from the template of the deploy file."""

    def __init__(self, world, name, zone, cpu_share=0.25):
        self.world = world
        self.name = name
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        fields = {"node": name, "zone": zone, "limits": {"cpu_share": cpu_share}, "bounds": BOUNDS,
                  "listen": {"front": f"{LOOPBACK}:{self.front}", "ready": f"{LOOPBACK}:{self.ready}",
                             "control": f"{LOOPBACK}:{self.control}"},
                  "platform": {"addr": f"{LOOPBACK}:{world.store.port}", "row_bytes": 65536},
                  "cloud": {"addr": f"{LOOPBACK}:{world.cloud.port}", "duty_per_s": 64.0}}
        self.settings = pathlib.Path(world.folder, name + ".settings")
        self.settings.write_text(fill((ROOT / role["template"]).read_text(encoding="utf-8"), fields))
        self.process = None

    def start(self):
        log = open(pathlib.Path(self.world.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "WAXWINGLUG_BOOT": str(self.settings)}
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.world.note("process", self.name, "", self.process.pid, "started")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def fill(text, fields):
    """Fills the part of the platform's template language that the template uses."""
    def look_up(path):
        value = fields
        for each in path.split("."):
            value = value.get(each) if isinstance(value, dict) else None
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda found: found[2].replace("{{.}}", look_up(found[1])) if look_up(found[1]) else "", text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: look_up(found[1]), text)


class World:
    def __init__(self, record):
        self.folder = tempfile.mkdtemp(prefix="waxwinglug-review-")
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store = Store()
        self.cloud = Cloud(self)
        self.executors = []
        self.schedulers = []
        self.violations = []
        self.jobs = {}  # id -> body
        self.starts = 0
        self.ticker = None

    def note(self, event, where, what, number=0, text=""):
        self.record.write(f"{time.monotonic() - self.began:9.3f} {event} {where} {what} {number} {text}\n")
        self.record.flush()

    def started(self, executor, task, number, spec):
        self.starts += 1
        self.note("start", executor.id, task, number, f"labels {','.join(executor.labels)}")

    def violate(self, text):
        self.violations.append(text)
        self.note("VIOLATION", "", "", 0, text)

    async def set_up(self, executors, schedulers, queue="jobs", service="s1"):
        await self.store.listen()
        await self.cloud.listen()
        for each in executors:
            each.begin()
            await each.listen()
            each.register()
            self.executors.append(each)
        self.schedulers = [Scheduler(self, f"edge-{index}", f"z{index}") for index in range(schedulers)]
        for each in self.schedulers:
            each.start()
        self.ticker = asyncio.create_task(self.tick())
        self.store.put("op", "config", {
            "version": 3, "limits": {},
            "routes": [{"name": queue, "host": "jobs.example", "path_prefix": f"/{queue}/", "kind": "unsafe",
                        "timeout_ms": 3000, "goal_ms": 600, "priority": 0, "service": service, "retries": 4,
                        "stretch_factor": 1.6, "public": False}],
            "services": [{"name": service, "enforces_capacity": False}],
            "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "weight": 50,
                         "cap": {"cpu": 10_000_000, "mem_mb": 10_000_000}}]})
        for _ in range(100):
            await asyncio.sleep(0.1)
            if self.store.value("lead", "scheduler", "lead") and await self.is_ready():
                return
        raise RuntimeError("no scheduler leads within 10 s")

    async def is_ready(self):
        answers = [await request(each.ready, "GET", "/-/readyz") for each in self.schedulers]
        return all(status == 200 for status, _ in answers)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for each in self.executors:
                if each.is_up:
                    each.tick()

    async def submit(self, job, body, queue="jobs"):
        """Hands a job in until it is accepted or rejected, at one scheduler after another."""
        self.jobs[job] = body
        for attempt in range(6):
            scheduler = self.schedulers[(int(job[-2:], 16) + attempt) % len(self.schedulers)]
            status, _ = await request(scheduler.front, "POST", f"/{queue}/{job}", body)
            self.note("post", scheduler.name, job, status)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, queue="jobs"):
        for attempt in range(6):
            scheduler = self.schedulers[(int(job[-2:], 16) + attempt) % len(self.schedulers)]
            status, value = await request(scheduler.front, "GET", f"/{queue}/{job}")
            if status in (200, 410):
                return value.get("state") if status == 200 else "410"
            await asyncio.sleep(0.3)
        return "no answer"

    async def tear_down(self):
        if self.ticker:
            self.ticker.cancel()
        for each in self.schedulers:
            each.stop()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)


async def request(port, method, path, body=None, timeout_s=4):
    """Returns (status, JSON value); the status is 0 without an answer."""
    try:
        return await asyncio.wait_for(exchange(port, method, path, body), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}


async def exchange(port, method, path, body):
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        text = b"" if body is None else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nKey: key-a\r\nDeadline-Ms: 3000\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        status = int((await reader.readline()).split()[1])
        length = 0
        while (line := await reader.readline()) not in (b"\r\n", b""):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        answer = await reader.readexactly(length)
        return status, json.loads(answer) if answer else {}
    finally:
        writer.transport.abort()
