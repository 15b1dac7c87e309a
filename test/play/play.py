"""Plays a day file of the bench with real processes: play.py DAY [--seed N] [--build DIR] ... Exits with 1 if a task
ran twice, 0 if none did, 2 if the day could not be played.

The kinds of disruptions are those of the day files that the rig knows: srv_crash (same dark), node_cut (servers),
node_kill (leader), clock_step, platform_down (nodes leader), poison (long) and applied_late. The seed draws everything
but the timing, which is that of real processes.
"""
import argparse
import asyncio
import os
import sys
import tempfile
import time
import tomllib

from fleet import Fleet

SERVICE = "ledger"
ZONES = ["taichung", "tainan", "hsinchu"]
# How long after its restart an executor writes its entry.
REGISTER_S = (0.05, 0.9)
SETTLE_S = 12  # after the traffic: longer than any lease
DEFAULT_FOR_S = 5.0


class Day:
    def __init__(self, fleet, options):
        self.fleet, self.options = fleet, options
        self.long_share, self.long_factor = 0.0, 1.0
        self.accepted = 0
        self.tasks = set()

    # Disruptions, named by their kinds.

    async def poison(self, fault):
        self.long_share, self.long_factor = fault["share"], fault["x"]
        await asyncio.sleep(fault.get("for_s", DEFAULT_FOR_S))
        self.long_share = 0.0

    def executors_of(self, fault):
        members = [each for each in self.fleet.executors if each.zone == fault.get("zone", each.zone)]
        count = max(1, round(len(members) * fault.get("share", 0.15)))
        return self.fleet.random.sample(members, count)

    async def srv_crash(self, fault):
        await asyncio.gather(*(
            each.lose_power(fault.get("for_s", DEFAULT_FOR_S), self.fleet.random.uniform(*REGISTER_S))
            for each in self.executors_of(fault)))

    async def node_cut(self, fault):
        await asyncio.gather(*(each.cut(fault.get("for_s", DEFAULT_FOR_S)) for each in self.executors_of(fault)))

    async def node_kill(self, fault):
        leader = self.fleet.leader()
        await leader.kill(self.options.back_s)

    async def clock_step(self, fault):
        count = max(1, round(len(self.fleet.schedulers) * fault.get("share", 0.3)))
        by = fault.get("x", 2000) * (1 if "ahead" in fault.get("how", "") else -1)
        shifted = self.fleet.random.sample(self.fleet.schedulers, count)
        for each in shifted:
            each.shift_clock(by)
            self.fleet.note("clock", each.name, "", by, "")
        await asyncio.sleep(fault.get("for_s", DEFAULT_FOR_S))
        for each in shifted:
            each.shift_clock(0)
            self.fleet.note("clock", each.name, "", 0, "")

    async def platform_down(self, fault):
        words = fault.get("how", "").split()
        path = self.fleet.leader().store_path if "leader" in words else self.fleet.random.choice(
            self.fleet.schedulers).store_path
        path.refusal = self.options.refusal or next(
            (word for word in words if word in ("many", "busy", "reset")), "silent")
        self.fleet.note("refused", self.fleet.leader().name, "", 0, path.refusal)
        if path.refusal == "reset":
            for writer in list(path.writers):
                writer.transport.abort()
        await asyncio.sleep(fault.get("for_s", DEFAULT_FOR_S))
        path.refusal = ""

    async def applied_late(self, fault):
        self.fleet.late_share = fault.get("x", 0.5) * fault.get("share", 1.0)
        await asyncio.sleep(fault.get("for_s", DEFAULT_FOR_S))
        self.fleet.late_share = 0.0

    async def disrupt(self, began, fault):
        await asyncio.sleep(max(0.0, began + fault["at"] - time.monotonic()))
        await getattr(self, fault["kind"])(fault)

    # Traffic.

    def body(self):
        rng = self.fleet.random
        work = int(rng.uniform(300, 1000))
        if self.fleet.chance(self.long_share):
            work = int(1000 * self.long_factor)
        steps = [{"count": 3, "cpu": self.options.cpu, "mem_mb": 200, "estimate_ms": work}]
        if rng.random() < self.options.chained:
            steps.append({"count": 2, "cpu": self.options.cpu, "mem_mb": 200, "estimate_ms": work, "after": [0]})
        body = {"spec": f"ms={work}", "steps": steps}
        if rng.random() < self.options.timed:
            body |= {"times": 6, "first_ms": int((time.time() + rng.uniform(0, 2)) * 1000), "interval_ms": 300}
        return body

    async def submit(self, path, body):
        if await self.fleet.submit(path, body):
            self.accepted += 1

    async def traffic(self, began, length_s):
        pending = []
        index = 0
        while time.monotonic() < began + length_s:
            job = f"{0xd000000000000000 + index:016x}"
            pending.append(asyncio.create_task(self.submit(f"/jobs/{job}", self.body())))
            index += 1
            await asyncio.sleep(max(0.0, began + index / self.options.rate - time.monotonic()))
        await asyncio.gather(*pending)
        return index

    async def play(self, day):
        length_s = min(day["length_s"], self.options.until)
        began = time.monotonic()
        faults = [asyncio.create_task(self.disrupt(began, each)) for each in day.get("faults", [])
                  if each["at"] < length_s]
        submitted = await self.traffic(began, length_s)
        await asyncio.gather(*faults)
        await asyncio.sleep(SETTLE_S)
        return submitted


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("day")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build", help="folder of the built programs")
    parser.add_argument("--until", type=float, default=1000.0, help="ends the traffic earlier, in seconds")
    parser.add_argument("--back-s", type=float, default=0.9, help="time after which a killed process starts again")
    parser.add_argument("--late", type=float, default=0.0, help="share of calls to executors that are carried out late")
    parser.add_argument("--delay-ms", type=float, default=0.0, help="longest delay of a call and of an answer")
    parser.add_argument("--rate", type=float, default=8.0, help="jobs a second")
    parser.add_argument("--chained", type=float, default=0.2, help="share of jobs with a second step")
    parser.add_argument("--refusal", choices=["many", "busy", "reset", "silent"],
                        help="how the store turns a scheduler away, whatever the day says")
    parser.add_argument("--timed", type=float, default=0.1, help="share of jobs that run several times")
    parser.add_argument("--cpu", type=int, default=2500, help="of a task, in thousandths of a core")
    parser.add_argument("--executors", type=int, default=4, help="executors of each zone")
    parser.add_argument("--schedulers", type=int, default=3)
    parser.add_argument("--record", help="folder for the record and the logs")
    return parser.parse_args()


async def main(options):
    with open(options.day, "rb") as file:
        day = tomllib.load(file)
    day = day["day"][0] if "day" in day else day
    folder = options.record or tempfile.mkdtemp(prefix="waxwinglug-play-")
    os.makedirs(folder, exist_ok=True)
    if options.record:
        os.environ["KEEP_LOGS"] = folder
    fleet = Fleet(os.path.join(folder, "record.txt"), os.path.abspath(options.build), options.seed)
    fleet.late_share = options.late
    fleet.max_delay_s = options.delay_ms / 1000
    try:
        await fleet.set_up_fleet(SERVICE, ZONES, options.executors, options.schedulers)
        played = Day(fleet, options)
        submitted = await played.play(day)
        terms = fleet.term()
    except (RuntimeError, OSError, KeyError, AttributeError) as error:
        print("could not play:", repr(error))
        return 2
    finally:
        await fleet.tear_down()
        fleet.record.close()
    print(f"seed {options.seed}: {submitted} jobs, {played.accepted} accepted, {fleet.ends} runs ended, "
          f"{terms} terms, {len(fleet.violations)} times TWICE")
    for each in fleet.violations[:3]:
        print(" ", each)
    return 1 if fleet.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(parse_options())))
