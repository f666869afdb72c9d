"""The only worker with a label is lost for good; jobs that need it are handed in before other jobs."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import BOUNDS, HEARTBEAT_S, CannotRun, main, mono, trouble  # noqa: E402

FINISH_S = BOUNDS["finish_s"]
CALM_S = 3
BLOCKED_JOBS = 60
OTHER_JOBS = 30
ALLOC = {"name": "season-alloc", "host": "orders.example", "path_prefix": "/allocs/", "service": "wax-orders",
         "priority": 1, "attempts": 2, "stretch": 2.2, "target_latency_ms": 1000, "timeout_ms": 3000}
REORDER = {"name": "nursery-reorder", "host": "orders.example", "path_prefix": "/reorders/",
           "service": "wax-orders", "priority": 2, "attempts": 3, "stretch": 4.0, "target_latency_ms": 3000,
           "timeout_ms": 3000}
NEEDS_LABEL = {"spec": '{"ms":6200}', "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 6200,
                                                 "requires": "c"}]}
NEEDS_NONE = {"spec": '{"ms":2200}', "steps": [{"count": 1, "cpu": 1800, "mem_mb": 64, "est_runtime_ms": 2200}]}


async def scenario(world):
    world.store.put_direct("op", "config", world.config(2, [ALLOC, REORDER]))
    special = world.workers[0]
    special.labels = ["c", special.labels[1]]
    special.register()
    await asyncio.sleep(3)
    if trouble():
        special.crash()
        world.record.say("the worker with the label c is gone")
        await asyncio.sleep(3 * HEARTBEAT_S)
        world.store.remove_direct("servers", special.name)
        await asyncio.sleep(1)
    blocked, others = [], []
    for _ in range(BLOCKED_JOBS):
        blocked.append(asyncio.ensure_future(world.submit(NEEDS_LABEL, queue=ALLOC)))
        await asyncio.sleep(0.03)
    for _ in range(OTHER_JOBS):
        others.append(asyncio.ensure_future(world.submit(NEEDS_NONE, queue=REORDER)))
        await asyncio.sleep(0.1)
    blocked = [job for job in await asyncio.gather(*blocked) if job]
    others = [job for job in await asyncio.gather(*others) if job]
    ended_at = mono()
    world.record.say(f"accepted: {len(blocked)} jobs that need the label, {len(others)} others")
    if not others:
        raise CannotRun("no job was accepted")
    await asyncio.sleep(ended_at + FINISH_S - mono())
    states = {}
    for job in others:
        answer = await world.call("GET", job, attempts=2, queue=REORDER)
        states[job] = answer[1].get("state") if answer else None
    asked = mono()
    await asyncio.sleep(CALM_S)
    used = sum(world.need_of(run.task) for worker in world.workers for run in worker.running.values())
    capacity = sum(worker.cpu for worker in world.workers if worker.up)
    lost = [job for job in others if states[job] != "completed"
            and not any(run.ended is None or run.ended > asked for run in world.runs.get(f"{job}.0.0.0", []))]
    for job in lost:
        world.record(f"LOST {job} is shown as {states[job]} {FINISH_S} s after the end of the traffic, with "
                     f"{len(world.runs.get(job + '.0.0.0', []))} runs, none of them in the {CALM_S} s after that")
    world.record.say(f"{used} of {capacity} thousandths of a core are in use")
    world.record.say(f"LOST: {len(lost)} of {len(others)} accepted jobs have nothing running beside the room")
    return bool(lost) and used * 2 < capacity


main(HERE, scenario, workers=16)
