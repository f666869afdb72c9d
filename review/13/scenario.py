"""Starts that wait in a node's queue are sent after their job was cancelled."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

import stand_in  # noqa: E402
from stand_in import BOUNDS, TROUBLE, mono, new_id  # noqa: E402

LATE_SHARE = 0.5 if TROUBLE else 0  # of the starts and stops
LATE_FOR_S = 5.5
JOBS = 3  # some may be refused as too much
JOB_PERIOD_S = 1
CANCEL_AFTER_S = 0.05
TASKS = 64
WATCH_S = 16
MARGIN_S = 0.05  # for the client's side of the acknowledgement
ROUTES = [{"name": "r-check", "path_prefix": "/check/", "priority": 0}]
TENANTS = [{"name": "desk", "api_keys": ["key-desk"], "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]


def job_body():
    step = {"count": TASKS, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 2000}
    return {"spec": '{"ms": 2000, "cpu": 500}', "steps": [step]}


async def submit_and_cancel(world, acked):
    job = new_id()
    answer = await world.call("POST", f"/check/{job}", "key-desk", job_body())
    if not answer or answer[0] != 200:
        return
    await asyncio.sleep(CANCEL_AFTER_S)
    answer = await world.call("DELETE", f"/check/{job}", "key-desk")
    if answer and answer[0] in (200, 410):
        acked[job] = mono()
        world.record.say(f"{job}: its cancelling is acknowledged with {answer[0]}")


async def scenario(world):
    record = world.record
    if not await world.start(ROUTES, TENANTS):
        return None
    await asyncio.sleep(4)
    acked = {}
    for worker in world.workers:
        worker.late_share = LATE_SHARE
    record.say(f"for {LATE_FOR_S} s, {LATE_SHARE:.0%} of the starts and stops get no answer and are carried out 2 to 12 s later")
    ends = mono() + LATE_FOR_S
    jobs = []
    for _ in range(JOBS):
        jobs.append(asyncio.ensure_future(submit_and_cancel(world, acked)))
        await asyncio.sleep(JOB_PERIOD_S)
    await asyncio.sleep(max(ends - mono(), 0))
    for worker in world.workers:
        worker.late_share = 0
    record.say("the trouble ends")
    await asyncio.sleep(WATCH_S)
    if not acked:
        record.say("no job was accepted and cancelled")
        return None
    broken = 0
    for job, at in acked.items():
        runs = world.runs.get(job, [])
        unasked = [run for run in runs if not run.late and run.began > at + BOUNDS["cancel_ms"] / 1000 + MARGIN_S]
        for run in unasked:
            record(f"UNASKED: {run.task} run {run.number} was started {run.began - at:.2f} s after the acknowledgement, "
                   f"by an order that {run.worker.name} carried out at once")
        record.say(f"{job}: {len(runs)} starts, {sum(run.late for run in runs)} of them carried out late; {len(unasked)} "
                   f"of the others more than {BOUNDS['cancel_ms']} ms after the acknowledgement")
        broken += len(unasked)
    return broken > 0


if __name__ == "__main__":
    stand_in.main(__file__, scenario)
