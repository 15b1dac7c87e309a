"""One hold of an executor gets no answer and is carried out late; the executor crashes meanwhile and starts again under
its id. The late hold reaches the new life and acknowledges ends that no leader has seen."""
import asyncio
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import world as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 20
JOBS_PER_S = 20
TASK_MS = 250
LATE_AT_S = 8.0
LATE_BY_S = (2, 12)
CRASH_AT_S, DOWN_S, ENTRY_S = 8.5, 0.5, 0.1


class Executor(standin.Executor):
    loses_next = False  # the next hold that acknowledges an end gets no answer
    calls = 0
    open_holds = 0
    listed = 0  # highest number of an end in an answer of this life

    def begin(self):
        super().begin()
        self.open_holds = self.listed = 0

    async def handle(self, method, target, headers, body):
        self.calls += 1
        if target == "/-/hold" and self.loses_next and json.loads(body).get("acked", 0) > 0:
            self.loses_next = False
            asyncio.create_task(self.carry_out_late(method, target, headers, body))
            await asyncio.sleep(20)
            return None
        return await super().handle(method, target, headers, body)

    async def carry_out_late(self, method, target, headers, body):
        """Within the time that the pages name, between the end of a task and the next look at the executor."""
        call = json.loads(body)
        call.pop("wait_ms", None)
        self.world.note("lost-hold", self.id, "", call["acked"], f"born {self.born}")
        sent = time.monotonic()
        await asyncio.sleep(LATE_BY_S[0])
        while time.monotonic() - sent < LATE_BY_S[1] and (
                not self.is_up or self.open_holds > 0 or self.end_count <= self.listed):
            await asyncio.sleep(0)
        if not self.is_up:
            return
        self.world.note("late-hold", self.id, "", call["acked"], f"born {self.born}, ends {self.listed + 1} to "
                        f"{self.end_count} are not listed yet")
        await super().handle(method, target, headers, json.dumps(call).encode())

    async def hold(self, call):
        for number, task, run, how, _ in self.finished:
            if number <= call.get("acked", 0) and how == "done":
                self.world.noted(task, run, self.id)
        life = self.born
        self.open_holds += 1
        status, answer = await super().hold(call)
        if life == self.born:
            self.open_holds -= 1
            self.listed = max([self.listed] + [each[0] for each in answer["finished"]])
        return status, answer


class World(standin.World):
    """Judges TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""

    def __init__(self, record):
        super().__init__(record)
        self.done_runs = {}  # task -> runs that ended done
        self.later_starts = {}  # (task, run that ended done) -> run that was started afterwards
        self.noted_runs = set()

    def started(self, executor, task, number, spec):
        super().started(executor, task, number, spec)
        for run in self.done_runs.get(task, ()):
            self.later_starts.setdefault((task, run), number)
            self.judge(task, run)

    def note(self, event, where, what, number=0, text=""):
        super().note(event, where, what, number, text)
        if event == "ended" and text == "done":
            self.done_runs.setdefault(what, []).append(number)

    def noted(self, task, run, executor):
        self.note("noted", executor, task, run)
        self.noted_runs.add((task, run))
        self.judge(task, run)

    def judge(self, task, run):
        if (task, run) in self.noted_runs and (task, run) in self.later_starts:
            self.violate(f"TWICE: run {run} of {task} ended done, its end was taken note of, and run "
                         f"{self.later_starts.pop((task, run))} was started")


async def trouble(executor):
    await asyncio.sleep(LATE_AT_S)
    executor.loses_next = True
    await asyncio.sleep(CRASH_AT_S - LATE_AT_S)
    executor.world.note("calls", executor.id, "", executor.calls, "before the crash")
    await executor.crash(DOWN_S, "a", ENTRY_S)


async def main():
    world = World(HERE / "record.txt")
    try:
        executors = [Executor(world, f"i-{index}", "s1", f"z{index}", "a", f"r{index}") for index in range(3)]
        await world.set_up(executors, 3)
        disruption = asyncio.create_task(trouble(executors[0])) if TROUBLE else None
        pending = []
        for index in range(LENGTH_S * JOBS_PER_S):
            job = f"{0xc000000000000000 + index:016x}"
            body = {"spec": f"ms={TASK_MS}", "steps": [{"count": 4, "cpu": 2000, "mem_mb": 256,
                                                              "estimate_ms": TASK_MS}]}
            pending.append(asyncio.create_task(world.submit(job, body)))
            await asyncio.sleep(1 / JOBS_PER_S)
        count = sum(await asyncio.gather(*pending))
        if disruption:
            await disruption
        await asyncio.sleep(3)
        if count == 0 or world.starts == 0:
            print("the case could not run: no job was accepted, or none was started")
            return 2
        print(f"{count} jobs accepted, {world.starts} starts, {len(world.violations)} times TWICE")
        for each in world.violations[:3]:
            print(" ", each)
        return 1 if world.violations else 0
    except (RuntimeError, OSError) as error:
        print("the case could not run:", error)
        return 2
    finally:
        await world.tear_down()


sys.exit(asyncio.run(main()))
