"""A job with many overlapping occurrences, while the leader is cut off from the store; no task may run again."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from fleet import TROUBLE, job_id, play, started_again  # noqa: E402

SERVICE = "ledger"
EXECUTORS = 8
CUT_S = 4.0  # length of the disruption, at one of three machines
JOB = job_id(1)


async def case(fleet):
    await fleet.start([(SERVICE, 4)])
    # Every other occurrence lasts 6 s, the others 0.3 s. They are due every 0.04 s, so more than fifty overlap.
    job = {"spec": "ms=300 even=6000", "times": 1500, "first_ms": int(time.time() * 1000), "interval_ms": 40,
           "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 1000}]}
    if (await fleet.send("POST", SERVICE, JOB, job))[0] != 200:
        return ["the job was not accepted"]
    for _ in range(4):
        await asyncio.sleep(10)
        leader = await fleet.leader()
        fleet.record("the leader is cut off from the store" if TROUBLE else "no disruption", node=leader.name)
        leader.link.is_cut = TROUBLE
        await asyncio.sleep(CUT_S)
        leader.link.is_cut = False
        fleet.record("calm")
    await asyncio.sleep(12)
    lapsed = sum(1 for ends in fleet.ends.values() for end in ends if end[3] == "lapsed")
    broken = started_again(fleet)
    fleet.record("result", state=await fleet.state(SERVICE, JOB), tasks=len(fleet.starts), lapsed=lapsed,
                 started_again=len(broken))
    print(f"{len(fleet.starts)} tasks started, {lapsed} runs lapsed, {len(broken)} started again after their end")
    return broken


play(case, FOLDER, executors=[(f"m-{index:02}", SERVICE) for index in range(EXECUTORS)], nodes=3)
