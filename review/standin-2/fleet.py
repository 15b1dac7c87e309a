"""A small deployment on loopback for the cases of REPORT-2.md: the platform's store and machine list, executors and
clients as stand-ins after PROTOCOL.md, and the project's scheduler as separate processes, started as deploy/system.toml
says. One event loop plays all stand-ins, and every event of interest goes to record.txt of the case."""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 10_000
STOP_MS = 900
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, event, **fields):
        values = "".join(f" {key}={value}" for key, value in fields.items())
        self.file.write(f"{now():.3f} {event}{values}\n")

    def close(self):
        self.file.close()


def free_ports(count):
    """Ports below the system's range for outgoing connections."""
    ports, port = [], 20000 + os.getpid() * 37 % 9000
    while len(ports) < count:
        port = port + 1 if port < 31000 else 20000
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
    return ports


async def serve(handler, port):
    """HTTP/1.1 server. The handler returns (status, object), or None to close the connection without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await handler(method, target, headers, body)
                if answer is None:
                    break
                text = b"" if answer[1] is None else json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=8 << 20, backlog=500)


async def call(port, method, path, headers=None, body=None, timeout=3.0):
    """Returns (status, object), or (0, None) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=8 << 20)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}"]
            if body is not None:
                lines.append("Content-Type: application/json")
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await reader.read()
            head, _, text = answer.partition(b"\r\n\r\n")
            if not head:
                return 0, None
            status = int(head.split(b" ")[1])
            try:
                return status, json.loads(text) if text else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None


class Store:
    """The platform's metadata store: rows with versions from one counter, and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.changes = deque()
        self.version = 0
        self.changed = asyncio.Condition()
        self.fault = None  # async function (method, path, headers, body) -> (handled, answer)

    async def put(self, table, key, value, part=""):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self.apply([(table, part, key, text)], [])

    async def drop(self, table, key, part=""):
        await self.apply([], [(table, part, key)])

    async def apply(self, writes, removals):
        async with self.changed:
            self.version += 1
            for table, part, key, text in writes:
                self.rows[(table, part, key)] = (base64.b64encode(text).decode(), self.version)
                self.changes.append((self.version, table, part, key))
            for table, part, key in removals:
                if self.rows.pop((table, part, key), None):
                    self.changes.append((self.version, table, part, key))
            self.changed.notify_all()
        return self.version

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "row_version": version}

    def answer(self, **fields):
        return 200, {"row_version": self.version, "now_ms": int(now() * 1000), **fields}

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        if self.fault:
            handled, answer = await self.fault(method, url.path, headers, body)
            if handled:
                return answer
        await asyncio.sleep(0.004)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        if url.path == "/-/rows-get":
            return self.read(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("wait_ms", "0")) / 1000)
        if url.path == "/-/rows-parts":
            parts = sorted({name[1] for name in self.rows if name[0] == query["table"]})
            return self.answer(parts=[part for part in parts if part > query.get("after", "")][:1000])
        return 404, None

    async def transact(self, request):
        def name(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        conditions = [(name(entry), entry["row_version"]) for entry in request.get("precondition", [])]
        if any(self.rows.get(row, (None, 0))[1] != version for row, version in conditions):
            return 412, {"rows": [self.row(row) for row, _ in conditions if row in self.rows]}
        writes = [(*name(entry), base64.b64decode(entry["value"])) for entry in request.get("writes", [])]
        removals = [name(entry) for entry in request.get("remove", [])]
        if any(row[0] in ("op", "servers") for row in writes + removals):
            return 403, None
        if len(conditions) + len(writes) + len(removals) > 100 or any(len(row[3]) > 65536 for row in writes):
            return 400, None
        await self.apply(writes, removals)
        return self.answer()

    def read(self, query):
        limit = min(int(query.get("limit", "500")), 500)
        low, high = query.get("from", ""), query.get("target")
        names = sorted(name for name in self.rows if name[0] == query["table"] and name[1] == query.get("part", "")
                       and name[2] >= low and (not high or name[2] < high))
        return self.answer(rows=[self.row(name) for name in names[:limit]], has_more=len(names) > limit)

    async def feed(self, table, after, wait):
        end = now() + wait

        def latest():
            found = {}
            for version, changed_table, part, key in reversed(self.changes):
                if version <= after:
                    break
                if changed_table == table:
                    found.setdefault((table, part, key), version)
            return found

        async with self.changed:
            found = latest()
            while not found and now() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
                except asyncio.TimeoutError:
                    break
                found = latest()
        rows = []
        for name, version in sorted(found.items(), key=lambda item: item[1])[:500]:
            rows.append(self.row(name) if name in self.rows else
                        {"table": name[0], "part": name[1], "key": name[2], "deleted": True, "row_version": version})
        known = self.version if len(rows) < 500 else rows[-1]["row_version"]
        return 200, {"rows": rows, "row_version": known, "now_ms": int(now() * 1000)}


class Link:
    """Proxy between one node and the store. While it is cut, it forwards nothing and answers nothing; bytes that it
    holds are lost if their sender closes the connection."""

    def __init__(self, fleet, port):
        self.fleet, self.port = fleet, port
        self.is_cut = False
        self.commits = 0

    async def live(self):
        await asyncio.start_server(self.connection, "127.0.0.1", self.port, backlog=500)

    async def connection(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection("127.0.0.1", self.fleet.store_port)
        except OSError:
            return writer.close()
        await asyncio.gather(self.pump(reader, store_writer, True), self.pump(store_reader, writer, False))

    async def pump(self, reader, writer, counts):
        try:
            while data := await reader.read(65536):
                if counts:
                    self.commits += data.count(b"POST /-/rows-tx")
                while self.is_cut:
                    await asyncio.sleep(0.02)
                    if reader.at_eof() or reader.exception():
                        return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


def duration(spec, task):
    """Milliseconds of work. "even=N" holds for the occurrences with an even number."""
    words = dict(word.split("=") for word in spec.split() if "=" in word)
    occurrence = int(task.split(".")[1])
    return int(words.get("even" if occurrence % 2 == 0 and "even" in words else "ms", "500"))


class Run:
    def __init__(self, task, number, ms, lasts):
        self.task, self.number, self.ms, self.lasts = task, number, ms, lasts
        self.saved = ""  # the latest checkpoint
        self.began = now()
        self.timer = None
        self.ending = False

    def percent(self):
        if self.ending:
            return 0
        return min(int((now() - self.began) * 1000 / self.ms * 100), 100 if self.lasts else 99)


class Executor:
    """One machine with one executor. The `spec` of a job says what its tasks do: "ms=N", or "lasts"."""

    def __init__(self, fleet, name, service, port, cpu, rack):
        self.fleet, self.host, self.service, self.port = fleet, name, service, port
        self.id = f"i-{name}"
        self.cpu, self.rack = cpu, rack
        self.state = "ready"
        self.fails_all = False  # disruption srv_grey: it fails all that it starts
        self.began_at = now()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.running = {}
        self.highest = {}  # by task: the highest run that was started, stopped or has ended here
        self.finished = []
        self.last_end = 0
        self.lease_until = 0
        self.lapses = []  # when its lease ran out
        self.end_listed = asyncio.Event()

    def clock_ms(self):
        return int((now() - self.began_at) * 1000)

    def beat(self):
        return {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", self.rack], "clock_ms": self.clock_ms(), "seq": int(now() * 1000),
                "host_id": self.host, "born": self.born}

    async def live(self):
        await serve(self.handle, self.port)
        ticks = 0
        while True:
            if ticks % 30 == 0:
                await self.fleet.store.put("servers", self.id, self.beat())
            ticks += 1
            await asyncio.sleep(HEARTBEAT_MS / 1000 / 30)
            if self.clock_ms() > self.lease_until > 0:
                self.lease_until = 0
                self.lapses.append(now())
                self.fleet.record("lease lapsed", executor=self.id, running=len(self.running))
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, run.saved])
        self.fleet.on_end(self, run, how)
        self.end_listed.set()

    def extend(self, until):
        if until is not None:
            self.lease_until = max(self.lease_until, min(until, self.clock_ms() + MAX_HOLD_MS))

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 200, None
        if headers.get("expect-instance", self.id) != self.id:
            return 421, None
        request = json.loads(body)
        if target == "/-/run-start":
            return self.start(request)
        fence = request.get("fence", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if target == "/-/run-stop":
            return self.stop(request)
        if target == "/-/hold":
            return await self.hold(request)
        return 200, {"clock_ms": self.clock_ms()}

    def start(self, request):
        def refuse(reason):
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}

        task, number = request["task"], request["run_id"]
        if request.get("fence", 0) < self.fence:
            return refuse("fence")
        self.fence = request.get("fence", 0)
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest.get(task, 0):
            self.extend(request.get("until_ms"))
            return refuse("old")
        if request["until_ms"] < self.clock_ms():
            return refuse("late")
        self.extend(request["until_ms"])
        lasts = request["spec"].startswith("lasts")
        run = Run(task, number, duration(request["spec"], task), lasts)
        run.saved = request.get("checkpointed", "")
        self.running[task] = run
        self.highest[task] = number
        self.fleet.on_start(self, run)
        self.work(run)
        return 200, {"clock_ms": self.clock_ms()}

    def work(self, run):
        loop = asyncio.get_running_loop()
        if self.fails_all:
            run.timer = loop.call_later(0.02, self.end, run, "failed")
        elif not run.lasts:
            run.timer = loop.call_later(run.ms / 1000, self.end, run, "done")

    def stop(self, request):
        task, number = request["task"], request["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and not run.ending:
            run.ending = True
            if run.timer:
                run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(0.1, self.end, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, request):
        acked = request.get("acked", 0)
        self.fleet.on_acked(self, [end for end in self.finished if end[0] <= acked])
        self.finished = [end for end in self.finished if end[0] > acked]
        self.extend(request.get("until_ms"))
        if not self.finished and request.get("wait_ms"):
            self.end_listed.clear()
            try:
                await asyncio.wait_for(self.end_listed.wait(), request["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, run.saved, run.percent(), 10 if run.lasts else 100]
                   for run in self.running.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}


class Node:
    """One process of the scheduler, with the settings file that DEPLOY.md describes."""

    def __init__(self, fleet, name, zone, ports):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready, self.control, link = ports
        self.link = Link(fleet, link)
        self.process = None
        self.log = None

    def fields(self):
        bounds = {"grace_s": 6, "max_hold_ms": MAX_HOLD_MS, "cancel_ms": 3000, "lease_ms": 3000, "maintenance_s": 2,
                  "status_s": 120, "stop_ms": STOP_MS, "visible_ms": 3000, "drain_ms": 2000, "contact_ms": 3000}
        return {"node": self.name, "zone": self.zone, "limits": {"cpu_share": 0.25},
                "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}",
                           "control": f"127.0.0.1:{self.control}"},
                "platform": {"addr": f"127.0.0.1:{self.link.port}", "row_bytes": 65536},
                "cloud": {"addr": f"127.0.0.1:{self.fleet.cloud_port}", "duty_per_s": 64.0}, "bounds": bounds}

    async def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["scheduler"]
        program, *words = role["run"].split(" ")
        if not (ROOT / program).exists():
            raise CannotRun(f"{program} is missing; run the build of the deploy file")
        settings = self.fleet.folder / f"{self.name}.settings"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.fields()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WAXWINGLUG_BOOT"] = str(settings)
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program), *words, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.fleet.record("process started", node=self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.fleet.record("signal", node=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def render(template, fields):
    """The part of the platform's template language that platform/settings.ini.in uses."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(1))
        return "" if value is None else match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1))), text)


class Fleet:
    def __init__(self, folder, executors, nodes=3, cpu=32000):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        ports = free_ports(2 + len(executors) + 4 * nodes)
        self.store_port, self.cloud_port = ports.pop(), ports.pop()
        self.executors = [Executor(self, name, service, ports.pop(), cpu, f"r1-{index // 4}")
                          for index, (name, service) in enumerate(executors)]
        self.nodes = [Node(self, f"edge-{index}", "zone-a", [ports.pop() for _ in range(4)]) for index in range(nodes)]
        self.host = "pule25.example"
        self.key = "sjnbanfqasnmgkcuyj8p"
        self.starts = {}  # by task: [(time, executor, run)]
        self.ends = {}  # by task: [(time, executor, run, how)]
        self.acked = {}  # by task: [(time, executor, run, how)]
        self.next_node = 0
        self.background = []

    def on_start(self, executor, run):
        self.starts.setdefault(run.task, []).append((now(), executor.id, run.number))
        self.record(f"start {run.task} {run.number} {executor.id}")

    def on_end(self, executor, run, how):
        self.ends.setdefault(run.task, []).append((now(), executor.id, run.number, how))
        self.record(f"end {run.task} {run.number} {executor.id} {how}")

    def on_acked(self, executor, ends):
        for _, task, number, how, _ in ends:
            self.acked.setdefault(task, []).append((now(), executor.id, number, how))

    def config(self, routes, services):
        return {"version": 7,
                "routes": [{"name": f"r-{service}", "host": self.host, "path_prefix": f"/{service}/", "kind": "unsafe",
                            "timeout_ms": 3000, "goal_ms": 600, "priority": 0, "service": service, "retries": retries,
                            "stretch_factor": 1.6, "public": False} for service, retries in routes],
                "services": [{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                              "enforces_capacity": False, "standby": False} for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "cugo130", "api_keys": [self.key], "priority": 1, "weight": 49,
                             "cap": {"cpu": 1_000_000, "mem_mb": 1_000_000, "gpu": 0}}]}

    async def machines(self, method, target, headers, body):
        if method != "GET":
            return 409, {"reason": "busy"}
        return 200, {"machines": [{"host_id": each.host, "pool": each.service, "state": "up", "zone": "zone-a",
                                   "labels": ["a", each.rack], "capacity": {"cpu": each.cpu, "mem_mb": 65536, "gpu": 0},
                                   "id": each.id} for each in self.executors], "next_token": None}

    async def start(self, routes):
        await serve(self.store.handle, self.store_port)
        await serve(self.machines, self.cloud_port)
        services = sorted({each.service for each in self.executors})
        await self.store.put("op", "config", self.config(routes, services))
        for executor in self.executors:
            self.background.append(asyncio.create_task(executor.live()))
        for node in self.nodes:
            await node.link.live()
            await node.start()
        await self.wait_until_ready()
        await asyncio.sleep(3)

    async def leader(self):
        """The node that writes most often under a condition: a leader does so several times a second."""
        for node in self.nodes:
            node.link.commits = 0
        await asyncio.sleep(1.5)
        return max(self.nodes, key=lambda node: node.link.commits)

    async def wait_until_ready(self):
        end = now() + 15
        while now() < end:
            ready = [(await call(node.ready, "GET", "/-/readyz"))[0] for node in self.nodes]
            if all(status == 200 for status in ready):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("a node is not ready within 15 s")

    async def roll(self):
        """Planned work: each process gets SIGTERM in turn, ends, and is started again."""
        for node in self.nodes:
            node.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(node.process.wait(), 6)
            except asyncio.TimeoutError:
                await node.kill()
            await node.start()
            await self.wait_until_ready()

    async def send(self, method, service, job="", body=None, deadline=3.0, tries=4):
        """A client's call: after no answer, a 5xx or a 429 it asks another node, as PROTOCOL.md says."""
        status, answer = 0, None
        for _ in range(tries):
            node = self.nodes[self.next_node % len(self.nodes)]
            self.next_node += 1
            headers = {"Host": self.host, "Key": self.key, "Deadline-Ms": str(int(deadline * 1000))}
            status, answer = await call(node.front, method, f"/{service}/{job}", headers, body, deadline + 0.2)
            self.record(f"{method} /{service}/{job} {node.name} {status}", **(answer or {}))
            if status and status not in (429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status, answer

    async def state(self, service, job):
        status, answer = await self.send("GET", service, job)
        return answer.get("state") if status == 200 and answer else f"status {status}"

    async def close(self):
        for task in self.background:
            task.cancel()
        for node in self.nodes:
            await node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def started_again(fleet):
    """Tasks that were started after a run of them had ended `done`, where that end was acknowledged and the lease of the
    executor had not lapsed between the two."""
    broken = []
    lapses = {each.id: each.lapses for each in fleet.executors}
    for task, acked in fleet.acked.items():
        for acked_at, executor, number, how in acked:
            if how != "done":
                continue
            ended = next(end[0] for end in fleet.ends[task] if end[1:3] == (executor, number))
            if any(ended <= lapse <= acked_at for lapse in lapses[executor]):
                continue
            later = [start for start in fleet.starts[task] if start[0] > ended]
            if later:
                broken.append(f"TWICE: {task} run {number} ended done on {executor} at {ended:.3f} s, which was "
                              f"acknowledged, and run {later[0][2]} began on {later[0][1]} at {later[0][0]:.3f} s")
    return broken


def job_id(number):
    return f"{(number * 0x9E3779B97F4A7C15 + 0x1234567) % (1 << 64):016x}"


def play(case, folder, limit_s=115, **options):
    """Runs `case(fleet)`, which returns the list of broken promises, and exits with 1, 0 or 2."""

    async def main():
        # Connections that end with the case are no problem of it.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(folder, **options)
        try:
            return await asyncio.wait_for(case(fleet), limit_s)
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # any other end would count as a broken rule
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        print(f"BROKEN {line}")
    print("broken" if broken else "held", "with" if TROUBLE else "without", "the disruption")
    sys.exit(1 if broken else 0)
