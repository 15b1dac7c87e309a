"""Stand-ins for the platform, the executors and the clients, after the users' PROTOCOL page, and the start of the
project's own scheduler processes. Standard library only; everything listens on 127.0.0.1."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STATUS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
          421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def now_ms():
    return int(time.monotonic() * 1000)


def free_ports(count):
    """Free ports below the range from which the kernel takes those of outgoing connections, so that a process that was
    stopped finds its port free when it starts again."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class HttpServer:
    """HTTP/1.1 server with kept-alive connections. `handle` returns (status, body) or None for no answer."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()
        self.silent = set()  # connections that are not answered any more
        self.is_dark = False  # nothing that arrives now is answered

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port or free_ports(1)[0], backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        """Ends the server as a killed process would: every connection is closed at once."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        if self.is_dark:
            self.silent.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if writer in self.silent and not self.is_dark:
                    break  # the peer does not know this connection any more
                answer = await self.handle(method, target, headers, body) if writer not in self.silent else None
                while writer in self.silent:
                    await asyncio.sleep(0.05)
                if answer is None:
                    break
                status, payload = answer
                data = json.dumps(payload, separators=(",", ":")).encode()
                writer.write((f"HTTP/1.1 {status} {STATUS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, row_bytes=65536, txn_ms=6):
        super().__init__()
        self.rows = {}
        self.log = []
        self.version = 1
        self.row_bytes = row_bytes
        self.txn_ms = txn_ms
        self.changed = asyncio.Event()
        self.rejected = 0

    def put(self, table, part, key, value):
        self.version += 1
        self.apply([((table, part, key), value)])

    def remove(self, table, part, key):
        self.version += 1
        self.apply([((table, part, key), None)])

    def apply(self, changes):
        for name, value in changes:
            if value is None:
                if self.rows.pop(name, None) is None:
                    continue
            else:
                self.rows[name] = (value, self.version)
            self.log.append((self.version, name, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return row[0] if row else None

    @staticmethod
    def encode(name, value, version):
        return {"table": name[0], "part": name[1], "key": name[2], "value": base64.b64encode(value).decode(),
                "row_version": version}

    def meta(self):
        return {"row_version": self.version, "now_ms": now_ms()}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = {key: values[0] for key, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/-/rows-tx":
            await asyncio.sleep(self.txn_ms / 1000)
            return self.transaction(json.loads(body))
        if path == "/-/rows-get":
            await asyncio.sleep(0.004)
            return self.get(args)
        if path == "/-/rows-feed":
            return await self.feed(args)
        return 404, {}

    def transaction(self, call):
        def name(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        conditions, writes = call.get("precondition") or [], call.get("writes") or []
        removals = call.get("remove") or []
        decoded = [(name(each), base64.b64decode(each.get("value", ""))) for each in writes]
        if len(conditions) + len(writes) + len(removals) > 100 or any(len(v) > self.row_bytes for _, v in decoded):
            self.rejected += 1
            return 400, {}
        if len({name(each)[1] for each in conditions + writes + removals}) > 1:
            return 400, {}
        current = {name(each): self.rows.get(name(each)) for each in conditions}
        if any((current[name(each)][1] if current[name(each)] else 0) != each["row_version"] for each in conditions):
            rows = [self.encode(each, *(row or (b"", 0))) for each, row in current.items()]
            return 412, {"rows": rows, **self.meta()}
        self.version += 1
        self.apply(decoded + [(name(each), None) for each in removals])
        return 200, self.meta()

    def get(self, args):
        table, part = args["table"], args.get("part", "")
        low, high = args.get("from", ""), args.get("target", "")
        limit = min(int(args.get("limit", "500")), 500)
        keys = sorted(key for (t, p, key) in self.rows
                      if t == table and p == part and key >= low and (not high or key < high))
        rows = [self.encode((table, part, key), *self.rows[table, part, key]) for key in keys[:limit]]
        return 200, {"rows": rows, "has_more": len(keys) > limit, **self.meta()}

    async def feed(self, args):
        table, after = args["table"], int(args["after"])
        end = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        while True:
            changes = []
            for version, name, value in reversed(self.log):
                if version <= after:
                    break
                if name[0] == table:
                    changes.append((version, name, value))
            left = end - time.monotonic()
            if changes or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for version, name, value in reversed(changes):
            row = self.encode(name, value or b"", version)
            if value is None:
                row["deleted"] = True
            rows.append(row)
        meta = self.meta()
        if len(rows) > 500:
            rows = rows[:500]
            meta["row_version"] = rows[-1]["row_version"]
        return 200, {"rows": rows, **meta}


class Cloud(HttpServer):
    """The list of machines, and upkeep. Moves are refused: no pool is on standby."""

    def __init__(self, executors):
        super().__init__()
        self.executors = executors

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if target.startswith("/-/machines"):
            return 200, {"machines": [each.machine() for each in self.executors], "next_token": None}
        if target == "/-/machine-upkeep":
            host = json.loads(body)["host_id"]
            executor = next((each for each in self.executors if each.host == host), None)
            if executor is None:
                return 400, {}
            if executor.state != "up":
                return 409, {"reason": "busy"}
            executor.state = "upkeep"
            asyncio.create_task(executor.upkeep())
            return 200, {}
        return 409, {"reason": "busy"}


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number, self.checkpoint = task, number, checkpoint
        options = dict(each.split("=") for each in spec.split(";") if "=" in each)
        step, index = task.split(".")[2:4]
        self.work = int(options.get("ms", "300"))
        # The first `count` tasks of step 0 end earlier, one after the other.
        if "count" in options and step == "0" and int(index) < int(options["count"]):
            self.work = int(options["first"]) + int(options["each"]) * int(index)
        self.saves = options.get("saves") == "1"
        self.lasts = options.get("lasts") == "1"
        self.began = now_ms()
        self.before = int(checkpoint, 16) if checkpoint else 0
        self.stop_at = None

    def done_ms(self):
        return self.before + now_ms() - self.began

    def percent(self):
        if self.lasts:
            return 100 if self.done_ms() >= 300 else 0  # at work after a short startup
        return min(100, self.done_ms() * 100 // max(self.work, 1))

    def save(self, period):
        done = self.done_ms()
        if self.saves and done // period * period > 0:
            self.checkpoint = f"{done // period * period:016x}"


class Executor(HttpServer):
    """One life of an executor. Everything that it is told and does goes to `record`."""

    checkpoint_ms = 500
    max_hold_ms = 10000

    def __init__(self, world, name, service, zone, rack, cpu=32000, mem=65536):
        super().__init__()
        self.world, self.name, self.service, self.zone, self.rack = world, name, service, zone, rack
        self.capacity = {"cpu": cpu, "mem_mb": mem, "gpu": 0}
        self.host = "m-" + name
        self.kind = "a"
        self.state = "up"
        self.begin()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.start = now_ms()
        self.fence, self.lease = 0, 0
        self.runs, self.highest, self.finished = {}, {}, []
        self.next_end = 1
        self.seq = 0
        self.lapsed_at = 0.0  # when the lease was last seen expired
        self.ended_at = {}  # number of an end: when it was listed
        self.acked = 0
        self.ended = asyncio.Event()

    def clock(self):
        return now_ms() - self.start

    def machine(self):
        return {"host_id": self.host, "pool": self.service, "state": self.state, "zone": self.zone,
                "labels": [self.kind, self.rack], "capacity": self.capacity,
                "id": self.name if self.state == "up" else ""}

    def row(self):
        return json.dumps({"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                           "capacity": self.capacity, "labels": [self.kind, self.rack], "host_id": self.host,
                           "born": self.born, "clock_ms": self.clock(), "seq": self.next_seq()}).encode()

    def next_seq(self):
        self.seq += 1
        return self.seq

    def register(self):
        self.world.store.put("servers", "", self.name, self.row())

    def tick(self):
        now = self.clock()
        lapsed = now > self.lease
        if lapsed:
            self.lapsed_at = self.world.time()
        for run in list(self.runs.values()):
            if lapsed:
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                run.save(self.checkpoint_ms)
                self.end(run, "stopped")
            elif not run.lasts and run.done_ms() >= run.work:
                self.end(run, "done")

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.finished.append([self.next_end, run.task, run.number, how, run.checkpoint if how != "done" else ""])
        self.ended_at[self.next_end] = self.world.time()
        self.next_end += 1
        self.world.note("end", self.name, run.task, run.number, how)
        self.world.on_end(self, run, how)
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    async def handle(self, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        if target == "/-/run-start":
            return self.run_start(call)
        if call.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = max(self.fence, call.get("fence", 0))
        if target == "/-/run-stop":
            return self.run_stop(call)
        if target == "/-/hold":
            return await self.hold(call)
        if target == "/-/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def run_start(self, call):
        task, number, fence = call["task"], call["run_id"], call.get("fence", 0)

        def refuse(reason):
            self.world.note("refused", self.name, task, number, reason)
            return 409, {"clock_ms": self.clock(), "reason": reason}
        if fence < self.fence:
            return refuse("fence")
        self.fence = max(self.fence, fence)
        self.tick()
        if call["until_ms"] <= self.clock():
            return refuse("late")
        self.lease = max(self.lease, min(call["until_ms"], self.clock() + self.max_hold_ms))
        present = self.runs.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.highest.get(task, 0) or present and present.number > number:
            return refuse("old")
        if present:
            self.end(present, "stopped")
        run = Run(task, number, call.get("spec", ""), call.get("checkpointed", ""))
        self.runs[task] = run
        self.world.note("start", self.name, task, number,
                        f"fence={fence}" + (f" checkpointed={run.checkpoint}" if run.checkpoint else ""))
        self.world.on_start(self, run)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, call):
        task, number = call["task"], call["run_id"]
        run = self.runs.get(task)
        if run and run.number <= number:
            run.stop_at = self.clock() + 300
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        self.world.note("stop", self.name, task, number, "")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        if "until_ms" in call:
            self.lease = max(self.lease, min(call["until_ms"], self.clock() + self.max_hold_ms))
        acked = call.get("acked", 0)
        if acked > self.acked:
            self.acked = acked
            for each in self.finished:
                # A lease that expired between the two means that the end does not count as taken note of.
                if each[0] <= acked and self.lapsed_at < self.ended_at[each[0]]:
                    self.world.on_ack(self, each)
            self.finished = [each for each in self.finished if each[0] > acked]
        wait = min(call.get("wait_ms", 0), 2000)
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        self.tick()
        running = []
        for run in self.runs.values():
            run.save(self.checkpoint_ms)
            running.append([run.task, run.number, run.checkpoint, run.percent(), 100])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]}

    async def upkeep(self):
        """All that runs ends; after `maintenance_s` (2 s) a new executor is on the machine."""
        self.world.note("upkeep", self.name, self.host, 0, "")
        port = self.port
        for task, run in self.runs.items():
            self.world.open_runs[task].discard((self.name, run.number))
        self.runs = {}
        await self.close()
        self.world.store.remove("servers", "", self.name)
        await asyncio.sleep(2)
        self.name += "n"
        self.begin()
        await self.listen(port)
        self.state = "up"
        self.register()

    def cut_off(self):
        """Nothing reaches the executor until `is_dark` is reset, and open connections stay silent. It works on."""
        self.is_dark = True
        self.silent = set(self.writers)

    async def lose_power(self, down_s, register_s):
        """The machine goes dark: open connections stay silent, nothing is answered for `down_s`. Then it starts again
        under its id, serves, and writes its entry `register_s` later."""
        self.world.note("dark", self.name, "", 0, f"for {down_s} s")
        self.is_dark = True
        self.silent = set(self.writers)
        for task, run in self.runs.items():
            self.world.open_runs[task].discard((self.name, run.number))
        self.begin()
        await asyncio.sleep(down_s)
        self.begin()
        self.is_dark = False
        self.world.note("up", self.name, "", 0, "a new life under the same id")
        await asyncio.sleep(register_s)
        self.register()
        self.world.note("entry", self.name, "", 0, "")


class Scheduler:
    """One process of the deploy file."""

    def __init__(self, world, name, zone, folder, cpu):
        self.world, self.name = world, name
        self.front, self.ready, self.control = free_ports(3)
        self.path = os.path.join(folder, name + ".ini")
        self.log = os.path.join(folder, name + ".log")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""[node]
name = {name}
data-centre = {zone}
processor = {cpu}
[listen]
callers = 127.0.0.1:{self.front}
health = 127.0.0.1:{self.ready}
operators = 127.0.0.1:{self.control}
[platform]
store = 127.0.0.1:{world.store.port}
machines = 127.0.0.1:{world.cloud.port}
machine-orders = 64.0
longest-lease = 10000ms
cancellation-limit = 3000ms
order-lease = 3000ms
maintenance-seconds = 2
[jobs]
keep-seconds = 120
[shutdown]
grace = 6s
""")
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "WAXWINGLUG_BOOT": self.path}
            self.process = subprocess.Popen([os.path.join(ROOT, "target/waxwing-scheduler")], cwd=ROOT,
                                            env=environment, stdout=log, stderr=subprocess.STDOUT)
        self.world.note("process", self.name, "", self.process.pid, "started")

    def signal(self, number):
        self.world.note("process", self.name, "", self.process.pid, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class World:
    """A small deployment: the store, the machine service, executors and three schedulers, and what was seen."""

    # Interval at which the executors write their entries again; 0: only at their start.
    heartbeat_ms = 0
    kinds = {}  # service: the kind of each executor, where it is not "a"

    def __init__(self, record):
        self.began = time.monotonic()
        self.record = open(record, "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="waxwinglug-review-")
        self.store = Store()
        self.executors = []
        self.cloud = Cloud(self.executors)
        self.schedulers = []
        self.open_runs = {}  # task: {(executor, run)}
        self.done = {}  # task: time of the first end `done`
        self.noted = {}  # task: time at which an end `done` was taken note of
        self.starts = {}  # job: number of starts
        self.last_started = None
        self.start_times = {}  # task: times of its starts
        self.repeated = set()  # tasks that were started again after a noted end
        self.acked_at = 0.0
        self.ends = 0
        self.acked_ends = 0
        self.violations = []

    def time(self):
        return time.monotonic() - self.began

    def note(self, what, where, task, number, text):
        self.record.write(f"{self.time():8.3f} {what} {where} {task} {number} {text}\n")

    def on_start(self, executor, run):
        self.last_started = executor
        others = self.open_runs.setdefault(run.task, set())
        self.start_times.setdefault(run.task, []).append(self.time())
        job = run.task.split(".")[0]
        self.starts[job] = self.starts.get(job, 0) + 1
        if others:
            self.violation(f"TWICE {run.task} run {run.number} on {executor.name} while {sorted(others)} runs")
        if run.task in self.noted:
            self.repeated.add(run.task)
            self.violation(f"TWICE {run.task} run {run.number} on {executor.name} after a noted end `done`")
        others.add((executor.name, run.number))

    def on_end(self, executor, run, how):
        self.open_runs.get(run.task, set()).discard((executor.name, run.number))
        self.ends += 1
        if how == "done":
            self.done.setdefault(run.task, self.time())

    def on_ack(self, executor, end):
        number, task, _, how = end[:4]
        self.acked_ends += 1
        self.acked_at = self.time()
        if how != "done":
            return
        self.noted.setdefault(task, self.time())
        ended = executor.ended_at[number]
        if any(start > ended for start in self.start_times.get(task, ())) and task not in self.repeated:
            self.repeated.add(task)
            self.violation(f"TWICE {task} was started again after its end `done` at {ended:.3f} on {executor.name}, "
                           "which is taken note of now")

    def unnoted_share(self, calm_s):
        """Share of the ends that were listed longer than `calm_s` ago and are not taken note of."""
        limit = self.time() - calm_s
        old = sum(1 for each in self.executors for listed in each.ended_at.values() if listed < limit)
        waiting = sum(1 for each in self.executors for end in each.finished if each.ended_at[end[0]] < limit)
        return waiting / max(old, 1), waiting, old

    def violation(self, text):
        self.violations.append(text)
        self.note("BROKEN", "", "", 0, text)

    def config(self, version, routes, services, tenants):
        self.store.put("op", "", "config", json.dumps({
            "version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}).encode())
        self.note("operator", "store", "", version, "configuration with routes " + " ".join(r["name"] for r in routes))

    @staticmethod
    def route(name, service):
        return {"name": name, "host": "jobs.example", "path_prefix": f"/{name}/", "kind": "unsafe", "timeout_ms": 3000,
                "goal_ms": 600, "priority": 0, "service": service, "retries": 4, "stretch_factor": 1.6,
                "public": False}

    @staticmethod
    def service(name):
        return {"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                "enforces_capacity": False, "standby": False}

    async def set_up(self, services, count=3):
        await self.store.listen()
        await self.cloud.listen()
        for service, number in services.items():
            for index in range(number):
                executor = Executor(self, f"i-{service}-{index}", service, f"zone-{index % 3}", f"r{index % 2}-{service}")
                if service in self.kinds:
                    executor.kind = self.kinds[service][index]
                await executor.listen()
                executor.register()
                self.executors.append(executor)
        for index in range(count):
            self.schedulers.append(Scheduler(self, f"edge-{index}", f"zone-{index % 3}", self.folder, 0.25))
            self.schedulers[-1].start()
        self.ticker = asyncio.create_task(self.run_ticks())

    async def run_ticks(self):
        beat_at = now_ms()
        while True:
            if self.heartbeat_ms and now_ms() >= beat_at:
                beat_at += self.heartbeat_ms
                for executor in self.executors:
                    if executor.state == "up":
                        executor.register()
            for executor in self.executors:
                executor.tick()
            await asyncio.sleep(0.02)

    def leader(self):
        row = self.store.value("lead", "scheduler", "lead")
        name = json.loads(row)["node"] if row else ""
        return next((each for each in self.schedulers if each.name == name), None)

    async def wait_for_leader(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            # The use records of the servers are written by a leader that has loaded its rows.
            used = sum(1 for (table, _, _) in self.store.rows if table == "server-use")
            if self.leader() and used >= len(self.executors):
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, scheduler, method, path, body=None, timeout=3.0):
        """One request of a client. Returns (status, body), or (0, reason) without an answer."""
        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.front)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                writer.write((f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nKey: key-a\r\nDeadline-Ms: 3000\r\n"
                              f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                              "Connection: close\r\n\r\n").encode() + data)
                raw = await reader.read()
                head, _, payload = raw.partition(b"\r\n\r\n")
                return int(head.split(b" ")[1]), payload.decode()
            finally:
                writer.close()
        try:
            answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
            answer = 0, type(error).__name__
        self.note("client", scheduler.name, method + " " + path, answer[0], answer[1][:80])
        return answer

    async def submit(self, path, body):
        """Hands a job in as a client does: again at other machines until there is an answer. True: accepted."""
        for attempt in range(8):
            alive = [each for each in self.schedulers if each.process.poll() is None]
            status, _ = await self.call(alive[attempt % len(alive)], "POST", path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path):
        for attempt in range(6):
            alive = [each for each in self.schedulers if each.process.poll() is None]
            status, body = await self.call(alive[attempt % len(alive)], "GET", path)
            if status == 200:
                return json.loads(body)["state"]
            if status in (404, 410):
                return str(status)
            await asyncio.sleep(0.3)
        return "no answer"

    async def tear_down(self):
        for scheduler in self.schedulers:
            scheduler.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(scenario, record):
    """Runs `scenario(world, trouble)`, which returns the verdict: 0 kept, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body():
        world = World(record)
        try:
            verdict = await asyncio.wait_for(scenario(world, trouble), 112)
        except Exception as error:  # the case could not run
            world.note("error", "", "", 0, repr(error))
            print("could not run:", repr(error))
            verdict = 2
        finally:
            await world.tear_down()
        world.note("verdict", "", "", verdict, f"trouble={int(trouble)}")
        world.record.close()
        return verdict
    return asyncio.run(body())
