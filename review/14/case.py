"""An executor crashes and starts again under its id as another kind. Its entry follows within one heartbeat."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import world as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 16
CRASH_AT_S = 5
DOWN_S = 0.5
# Less than heartbeat_ms: how long after its start the executor writes its entry.
ENTRY_S = 1.0
JOBS_PER_S = 6


class World(standin.World):
    def started(self, executor, task, number, spec):
        super().started(executor, task, number, spec)
        job, _, step, _ = task.split(".")
        required = self.jobs[job]["steps"][int(step)].get("requires")
        if required and required not in executor.labels:
            self.violate(f"ROUTE: {task} requires {required} and is started on {executor.id} of kind "
                         f"{executor.labels[0]}")


async def main():
    world = World(HERE / "record.txt")
    try:
        executors = [standin.Executor(world, f"i-{index}", "s1", f"z{index}", "a", f"r{index}") for index in range(3)]
        await world.set_up(executors, 3)
        trouble = None
        accepted = []
        for index in range(LENGTH_S * JOBS_PER_S):
            if TROUBLE and not trouble and index >= CRASH_AT_S * JOBS_PER_S:
                trouble = asyncio.create_task(executors[0].crash(DOWN_S, "b", ENTRY_S))
            job = f"{0xc000000000000000 + index:016x}"
            body = {"spec": "ms=700", "steps": [{"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 700,
                                                 "requires": "a"}]}
            accepted.append(asyncio.create_task(world.submit(job, body)))
            await asyncio.sleep(1 / JOBS_PER_S)
        count = sum(await asyncio.gather(*accepted))
        if trouble:
            await trouble
        if count == 0 or world.starts == 0:
            print("the case could not run: no job was accepted, or none was started")
            return 2
        print(f"{count} jobs accepted, {world.starts} starts, {len(world.violations)} times ROUTE")
        for each in world.violations[:3]:
            print(" ", each)
        return 1 if world.violations else 0
    except (RuntimeError, OSError) as error:
        print("the case could not run:", error)
        return 2
    finally:
        await world.tear_down()


sys.exit(asyncio.run(main()))
