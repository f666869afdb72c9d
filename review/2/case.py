"""The store is down for 4.5 s while one worker ends more than 500 tasks."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import CannotRun, main, trouble  # noqa: E402

OUTAGE_S = 4.5
JOBS = 36
WIDTH = 60
TASK = {"count": WIDTH, "cpu": 250, "mem_mb": 64, "est_runtime_ms": 300, "requires": "c"}


async def scenario(world):
    special = world.workers[0]
    special.labels = ["c", special.labels[1]]
    special.register()
    await asyncio.sleep(2)
    body = {"spec": '{"ms":300}', "steps": [TASK]}
    jobs = [job for job in await asyncio.gather(*[world.submit(body) for _ in range(JOBS)]) if job]
    if len(jobs) < JOBS / 2:
        raise CannotRun("too few jobs were accepted")
    world.record.say(f"{len(jobs)} jobs of {WIDTH} tasks accepted")
    if trouble():
        world.record.say(f"the store is silent for {OUTAGE_S} s")
        world.store.silent = True
        most = 0
        for _ in range(int(OUTAGE_S * 10)):
            await asyncio.sleep(0.1)
            most = max(most, len(special.ended))
        world.store.silent = False
        world.record.say(f"the store is back; the worker listed up to {most} ends")
    open_jobs = set(jobs)
    for _ in range(40):
        await asyncio.sleep(1)
        for job in list(open_jobs):
            answer = await world.call("GET", job, attempts=1)
            if answer and answer[1].get("state") not in ("queued", "running", None):
                open_jobs.discard(job)
        if not open_jobs:
            break
    await asyncio.sleep(2)
    world.record.say(f"{len(jobs) - len(open_jobs)} of {len(jobs)} jobs ended")
    found = world.twice()
    for first, other, why in found[:20]:
        world.record(f"TWICE {first.task}: run {first.number} at {first.worker.name} (end "
                     f"{first.end_number}, {first.how}), then run {other.number} at {other.worker.name}: {why}")
    world.record.say(f"TWICE: {len(found)} times")
    return bool(found)


main(HERE, scenario)
