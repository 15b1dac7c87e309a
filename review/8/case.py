"""Each executor of a service fails what it starts for a while, one after the other; later jobs must run again."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from fleet import TROUBLE, job_id, now, play  # noqa: E402

SERVICE = "quoting"
COUNT = 12  # executors; the disruption meets one of them at a time, a share of 0.083
GREY_S = 3.5  # length of one disruption
LASTING = job_id(1)


def short_job():
    return {"spec": "ms=300", "steps": [{"count": 6, "cpu": 2300, "mem_mb": 1000, "estimate_ms": 300}]}


async def submit_jobs(fleet, jobs):
    while True:
        job = job_id(1000 + len(jobs))
        jobs.append(job)
        asyncio.create_task(fleet.send("POST", SERVICE, job, short_job()))
        await asyncio.sleep(0.2)


async def case(fleet):
    await fleet.start([(SERVICE, 4)])
    lasting = {"spec": "lasts ms=500", "steps": [{"count": COUNT, "cpu": 2600, "mem_mb": 1000, "estimate_ms": 500,
               "long_running": True, "anti_affinity": 1, "may_miss": 1}]}
    if (await fleet.send("POST", SERVICE, LASTING, lasting))[0] != 200:
        return ["the lasting job was not accepted"]
    await asyncio.sleep(2)
    jobs = []
    traffic = asyncio.create_task(submit_jobs(fleet, jobs))
    for executor in fleet.executors:
        executor.fails_all = TROUBLE
        fleet.record("executor fails all that it starts" if TROUBLE else "no disruption", executor=executor.id)
        await asyncio.sleep(GREY_S)
        executor.fails_all = False
    traffic.cancel()
    fleet.record("calm")
    # 16 s is the longest time for which the system avoids an executor; 7 s have to be calm by the rule.
    await asyncio.sleep(24)
    broken = []
    for number in range(3):
        job = job_id(500_000 + number)
        status, _ = await fleet.send("POST", SERVICE, job, short_job())
        sent = now()
        await asyncio.sleep(5)
        begun = [task for task in fleet.starts if task.startswith(job)]
        state = await fleet.state(SERVICE, job)
        in_use = sum(2300 if not run.lasts else 2600 for each in fleet.executors for run in each.running.values())
        room = sum(each.cpu for each in fleet.executors)
        fleet.record("probe", job=job, status=status, state=state, started=len(begun), cpu_in_use=in_use, of=room)
        if status == 200 and not begun and in_use * 2 < room:
            broken.append(f"LOST: job {job} accepted at {sent:.1f} s has nothing running {now() - sent:.1f} s later, "
                          f"while {in_use} of {room} thousandths of a core are in use")
    return broken


play(case, FOLDER, executors=[(f"m-{index:02}", SERVICE) for index in range(COUNT)], nodes=3)
