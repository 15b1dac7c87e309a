"""A deployment on loopback whose disruptions can overlap: the stand-ins of review/standin, with executors that are cut
off or carry out calls late, a path to the store for each scheduler, and a time of day that can be shifted for each
scheduler. Standard library only; everything listens on 127.0.0.1."""
import asyncio
import json
import os
import pathlib
import random
import signal
import struct
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review/standin"))
import world as standin  # noqa: E402

# Processor of the schedulers in turn, in cores: a larger one takes over from a smaller one that leads.
CPU_SHARES = [0.25, 0.12, 0.5]
STORE_STATUS = {"busy": 503, "many": 429}


class Executor(standin.Executor):
    """An executor that loses power, is cut off, and carries out calls of a dead connection late."""

    def __init__(self, world, name, service, zone, rack):
        super().__init__(world, name, service, zone, rack)
        self.life = 0
        self.dark_for = set()  # why nothing reaches the executor: "power", "cut"

    def begin(self):
        super().begin()
        self.life = getattr(self, "life", 0) + 1

    def register(self):
        if not self.dark_for:
            super().register()

    def darken(self, reason):
        self.dark_for.add(reason)
        self.is_dark = True
        self.silent |= set(self.writers)

    def lighten(self, reason):
        self.dark_for.discard(reason)
        self.is_dark = bool(self.dark_for)

    async def serve(self, reader, writer):
        """A connection that is opened while nothing reaches the executor carries its first call to whatever life is
        there when it can be reached again, for as long as its sender waits."""
        while self.is_dark:
            await asyncio.sleep(0.02)
        await super().serve(reader, writer)

    async def handle(self, method, target, headers, body):
        if self.world.chance(self.world.late_share):
            asyncio.create_task(self.carry_out_late(method, target, headers, body))
            await asyncio.sleep(20)
            return None
        await self.world.delay()
        life = self.life
        answer = await super().handle(method, target, headers, body)
        await self.world.delay()
        # A life that has ended answers nothing any more.
        return answer if life == self.life else None

    async def carry_out_late(self, method, target, headers, body):
        """Without an answer, and by the life that is there then."""
        await asyncio.sleep(self.world.random.uniform(0.3, 12))
        while self.is_dark:
            await asyncio.sleep(0.02)
        self.world.note("late", self.name, target, 0, body.decode()[:120])
        await super().handle(method, target, headers, body)

    async def lose_power(self, down_s, register_s):
        self.world.note("dark", self.name, "", 0, f"for {down_s} s")
        self.darken("power")
        for task, run in self.runs.items():
            self.world.open_runs[task].discard((self.name, run.number))
        self.begin()
        await asyncio.sleep(down_s)
        self.begin()
        self.lighten("power")
        self.world.note("up", self.name, "", 0, "a new life under the same id")
        await asyncio.sleep(register_s)
        self.register()
        self.world.note("entry", self.name, "", 0, "")

    async def cut(self, for_s):
        self.world.note("cut", self.name, "", 0, f"for {for_s} s")
        self.darken("cut")
        await asyncio.sleep(for_s)
        self.lighten("cut")
        self.world.note("reached", self.name, "", 0, "")


class StorePath(standin.HttpServer):
    """The path from one scheduler to the store. While it is turned away, calls are refused, reset or not answered."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.refusal = ""

    async def handle(self, method, target, headers, body):
        refusal = self.refusal
        if refusal in STORE_STATUS:
            return STORE_STATUS[refusal], {}
        if refusal == "reset":
            return None
        while self.refusal:
            await asyncio.sleep(0.02)
        if refusal:
            return None
        await self.world.delay()
        answer = await self.world.store.handle(method, target, headers, body)
        await self.world.delay()
        # A call that was under way is carried out, and its answer is lost.
        return None if self.refusal else answer


class Scheduler(standin.Scheduler):
    """A process of the deploy file with a path of its own to the store and a time of day of its own."""

    def __init__(self, world, name, zone, folder, cpu, path):
        super().__init__(world, name, zone, folder, cpu)
        self.store_path = path
        settings = pathlib.Path(self.path)
        text = settings.read_text(encoding="utf-8")
        settings.write_text(text.replace(f"store = 127.0.0.1:{world.store.port}", f"store = 127.0.0.1:{path.port}"))
        self.offset = pathlib.Path(folder, name + ".offset")
        self.shift_clock(0)

    def shift_clock(self, by_ms):
        self.offset.write_bytes(struct.pack("q", by_ms))

    def start(self):
        shim = self.world.build / "test/libclock-offset.so"
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "WAXWINGLUG_BOOT": self.path,
                       "LD_PRELOAD": str(shim), "WAXWING_CLOCK_OFFSET": str(self.offset)}
        with open(self.log, "ab") as log:
            self.process = standin.subprocess.Popen([str(self.world.build / "waxwing-scheduler")], cwd=ROOT,
                                                    env=environment, stdout=log, stderr=standin.subprocess.STDOUT)
        self.world.note("process", self.name, "", self.process.pid, "started")

    async def kill(self, back_s):
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(back_s)
        self.start()


class Fleet(standin.World):
    """The deployment, and the rule TWICE as the stand-ins see it. Every choice is drawn from `seed`."""

    heartbeat_ms = 1500

    def __init__(self, record, build, seed):
        super().__init__(record)
        self.build = pathlib.Path(build)
        self.random = random.Random(seed)
        self.late_share = 0.0  # of the calls to executors
        self.max_delay_s = 0.0  # of a call, and of its answer

    def chance(self, share):
        return share > 0 and self.random.random() < share

    async def delay(self):
        """Delays a call or an answer, so that those on different connections overtake each other."""
        if self.max_delay_s > 0:
            await asyncio.sleep(self.random.uniform(0, self.max_delay_s))

    async def set_up_fleet(self, service, zones, executors_per_zone, schedulers):
        await self.store.listen()
        await self.cloud.listen()
        for zone in zones:
            for index in range(executors_per_zone):
                executor = Executor(self, f"i-{zone}-{index}", service, zone, f"r{index % 2}-{zone}")
                await executor.listen()
                executor.register()
                self.executors.append(executor)
        for index in range(schedulers):
            path = StorePath(self)
            await path.listen()
            self.schedulers.append(
                Scheduler(self, f"edge-{index}", zones[index % len(zones)], self.folder,
                          CPU_SHARES[index % len(CPU_SHARES)], path))
            self.schedulers[-1].start()
        self.ticker = asyncio.create_task(self.run_ticks())
        tenants = [{"name": "tenant-a", "api_keys": ["key-a"], "weight": 50,
                    "cap": {"cpu": 10_000_000, "mem_mb": 10_000_000}}]
        self.config(3, [self.route("jobs", service)], [self.service(service)], tenants)
        if not await self.wait_for_leader():
            raise RuntimeError("no scheduler leads within 15 s")

    def term(self):
        return json.loads(self.store.value("lead", "scheduler", "lead"))["fence"]
