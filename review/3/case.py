"""A version of the configuration removes a route by mistake; 3 s later the next version has it again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import BOUNDS, main, trouble  # noqa: E402

GONE_S = 3.0
JOB = {"spec": '{"ms":1500,"first_run_fails":true}',
       "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 1500}]}
FINISH_S = BOUNDS["finish_s"]


async def scenario(world):
    other = dict(world.queue, name="reorder", path_prefix="/reorders/")
    world.store.put_direct("op", "config", world.config(2, [world.queue, other]))
    await asyncio.sleep(2)
    sent = []

    async def clients(for_s):
        for _ in range(int(for_s * 5)):
            sent.append(asyncio.ensure_future(world.submit(JOB, attempts=1)))
            await asyncio.sleep(0.2)

    await clients(5)
    routes = [other] if trouble() else [world.queue, other]
    world.store.put_direct("op", "config", world.config(5, routes))
    world.record.say("version 5 is acknowledged" + (": the route is gone" if trouble() else ""))
    await clients(GONE_S)
    world.store.put_direct("op", "config", world.config(11, [world.queue, other]))
    world.record.say("version 11 is acknowledged: the route is there")
    await clients(5)
    jobs = [job for job in await asyncio.gather(*sent) if job]
    await asyncio.sleep(FINISH_S)
    lost = []
    for job in jobs:
        answer = await world.call("GET", job, attempts=3)
        state = answer[1].get("state") if answer else None
        failed = [sum(run.how == "failed" for run in world.runs.get(f"{job}.0.0.{index}", []))
                  for index in range(JOB["steps"][0]["count"])]
        if state != "completed" and max(failed) < world.queue["attempts"]:
            lost.append(job)
            world.record(f"LOST {job} is shown as {state}; runs of its tasks that failed: {failed}, "
                         f"attempts: {world.queue['attempts']}")
    world.record.say(f"LOST: {len(lost)} of {len(jobs)} accepted jobs are shown as failed without cause")
    return bool(lost)


main(HERE, scenario)
