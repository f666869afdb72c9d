"""The process that owns the jobs is killed while occurrences of scheduled jobs run."""

import asyncio
import base64
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import BOUNDS, CannotRun, main, trouble  # noqa: E402

DOWN_S = 3.5
ROUNDS = 3
KILLS_PER_ROUND = 2
JOBS = 12
REST_S = 5
FINISH_S = BOUNDS["finish_s"]
TIMES = 8
INTERVAL_MS = 2000
STEP = {"count": 8, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 400}


def owner_of(world):
    """The node whose address stands in the row that the owner last wrote under a condition."""
    value = base64.b64decode(world.store.rows[("head", "p0")]["owner"][0])
    for index in world.processes:
        if f"{world.net}{index + 1}:".encode() in value:
            return index
    raise CannotRun("no owner is known")


async def scenario(world):
    jobs = []
    for _ in range(ROUNDS):
        for _ in range(JOBS):
            body = {"spec": '{"ms":400}', "times": TIMES, "interval_ms": INTERVAL_MS,
                    "start_at_ms": int(time.time() * 1000) + random.randrange(500, 500 + INTERVAL_MS),
                    "steps": [STEP]}
            jobs.append(await world.submit(body))
            await asyncio.sleep(0.05)
        for _ in range(KILLS_PER_ROUND):
            await asyncio.sleep(random.uniform(2, 4))
            if trouble():
                index = owner_of(world)
                world.record(f"node {index}, the owner, is killed")
                world.processes[index].send_signal(signal.SIGKILL)
                world.processes[index].wait()
            await asyncio.sleep(DOWN_S)
            if trouble():
                world.start_node(index)
                world.record(f"node {index} is started again")
        await asyncio.sleep(REST_S)
    await asyncio.sleep(FINISH_S)
    found = world.twice()
    for first, other, why in found[:20]:
        world.record(f"TWICE {first.task}: run {first.number} at {first.worker.name} (end {first.end_number}, "
                     f"{first.how}), then run {other.number} at {other.worker.name}: {why}")
    world.record.say(f"{sum(job is not None for job in jobs)} of {len(jobs)} jobs accepted")
    world.record.say(f"TWICE: {len(found)} times")
    return bool(found)


main(HERE, scenario)
