"""One executor at a time loses power for half a second and starts again under its id while tasks are started."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as standin  # noqa: E402

BODY = {"spec": "ms=3000", "steps": [{"count": 6, "cpu": 700, "mem_mb": 300, "estimate_ms": 3000}]}
JOBS_PER_S = 12
TRAFFIC_S = 60


async def scenario(world, trouble):
    await world.set_up({"svc-a": 8, "svc-b": 8})
    services = [world.service("svc-a"), world.service("svc-b")]
    tenants = [{"name": "tenant-a", "api_keys": ["key-a"], "weight": 50, "cap": {"cpu": 1000000, "mem_mb": 2000000}}]
    world.config(3, [world.route("orders", "svc-a"), world.route("reports", "svc-b")], services, tenants)
    if not await world.wait_for_leader():
        return 2

    # The time after which a new life writes its entry; at most `heartbeat_ms` by the pages.
    register_s = float(os.environ.get("REGISTER_S", "0.4"))

    async def disturb():
        # One of the eight executors of the service at a time: the one that started a task last.
        for _ in range(8):
            await asyncio.sleep(6)
            await world.last_started.lose_power(0.5, register_s)
    disturber = asyncio.create_task(disturb()) if trouble else None
    began = world.time()
    pending = set()
    index = 0
    while world.time() - began < TRAFFIC_S:
        pending.add(asyncio.create_task(world.submit(f"/orders/{0xd000000000000000 + index:016x}", BODY)))
        index += 1
        await asyncio.sleep(max(0, began + index / JOBS_PER_S - world.time()))
    accepted = sum(await asyncio.gather(*pending))
    if disturber:
        await disturber
    await asyncio.sleep(4)
    world.note("check", "", "", 0, f"accepted {accepted}, violations {len(world.violations)}")
    print(f"accepted {accepted} jobs; {len(world.violations)} tasks ran twice at the same time")
    for each in world.violations[:5]:
        print(each)
    return 1 if world.violations else 0


sys.exit(standin.play(scenario, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")))
