"""One large job whose tasks save their progress; beside it small jobs of another queue."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as standin  # noqa: E402

# 2 steps of 1,400 tasks, each on a fiftieth of a core. 30 tasks end one after the other, the others last 35 s.
LARGE = "b000000000000001"
LARGE_STEP = {"count": 1400, "cpu": 20, "mem_mb": 20, "estimate_ms": 35000, "checkpointable": True}
LARGE_BODY = {"spec": "ms=35000;count=30;first=5000;each=1000;saves=1", "steps": [LARGE_STEP, LARGE_STEP]}
SMALL_STEP = {"count": 3, "cpu": 500, "mem_mb": 100, "estimate_ms": 300}
SMALL_BODY = {"spec": "ms=300", "steps": [SMALL_STEP, {**SMALL_STEP, "after": [0]}]}
SMALL_PER_S = 8
TRAFFIC_S = 30
END_S = 95


async def scenario(world, trouble):
    await world.set_up({"svc-a": 3, "svc-b": 3})
    services = [world.service("svc-a"), world.service("svc-b")]
    tenants = [{"name": "tenant-a", "api_keys": ["key-a"], "weight": 50, "cap": {"cpu": 1000000, "mem_mb": 2000000}}]
    world.config(3, [world.route("large", "svc-a"), world.route("small", "svc-b")], services, tenants)
    if not await world.wait_for_leader():
        return 2
    if trouble and not await world.submit(f"/large/{LARGE}", LARGE_BODY):
        return 2
    accepted = []

    async def small(job):
        if await world.submit(f"/small/{job}", SMALL_BODY):
            accepted.append(job)
    began = world.time()
    pending = set()
    index = 0
    while world.time() - began < TRAFFIC_S:
        pending.add(asyncio.create_task(small(f"{0xc000000000000000 + index:016x}")))
        index += 1
        await asyncio.sleep(max(0, began + index / SMALL_PER_S - world.time()))
    await asyncio.gather(*pending)
    # Acks: no disruption at all; ends listed over `ack_ms` (4 s) ago.
    share, waiting, old = world.unnoted_share(4)
    world.note("check", "", "", 0, f"{waiting} of {old} ends not taken note of after 4 s ({share:.2f})")
    if share > 0.2:
        world.violation(f"Acks: {share:.2f} of the ends are not taken note of")
    # The large job ends meanwhile; the ends are taken note of after that.
    while world.time() < END_S and not (world.unnoted_share(1)[1] == 0 and world.time() - began > TRAFFIC_S + 15):
        await asyncio.sleep(0.5)
    states = [await world.state(f"/small/{job}") for job in accepted[-20:]]
    starts = max((len(times) for task, times in world.start_times.items() if not task.startswith(LARGE)), default=0)
    text = (f"{len(accepted)} small jobs accepted; ends not noted after 4 s {share:.2f}; {len(world.repeated)} tasks "
            f"started again after a noted end `done`, a small task up to {starts} times; the latest 20 small jobs: "
            f"{ {state: states.count(state) for state in states} }; transactions refused {world.store.rejected}")
    world.note("check", "", "", 0, text)
    print(text)
    return 1 if world.violations else 0


sys.exit(standin.play(scenario, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")))
