"""Workers crash and come back under the same id and address as machines of a smaller kind."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import main, trouble  # noqa: E402

DOWN_S = 3.0
TOGETHER = 2
ROUNDS = 5
SMALL_CPU = 16000
STEP = {"count": 8, "cpu": 4000, "mem_mb": 64, "est_runtime_ms": 800}


async def scenario(world):
    over = []

    def check(run):
        used = sum(world.need_of(each.task) for each in run.worker.running.values())
        if used > run.worker.cpu:
            over.append(run)
            world.record(f"LIMIT {run.task} run {run.number}: {run.worker.name} of {run.worker.cpu} "
                         f"thousandths now runs {used}, {run.worker.clock()} ms after its start")

    world.on_start.append(check)
    body = {"spec": '{"ms":800}', "steps": [STEP]}
    stop = asyncio.Event()
    sent = []

    async def clients():
        while not stop.is_set():
            sent.append(asyncio.ensure_future(world.submit(body, attempts=1)))
            await asyncio.sleep(0.045)

    traffic = asyncio.ensure_future(clients())
    await asyncio.sleep(4)
    for turn in range(ROUNDS):
        workers = world.workers[turn * TOGETHER:(turn + 1) * TOGETHER] if trouble() else []
        for worker in workers:
            worker.crash()
        await asyncio.sleep(DOWN_S)
        for worker in workers:
            worker.labels = ["b" if worker.labels[0] == "a" else "a", worker.labels[1]]
            await worker.come_back(SMALL_CPU)
        await asyncio.sleep(4)
    stop.set()
    await traffic
    jobs = [job for job in await asyncio.gather(*sent) if job]
    await asyncio.sleep(2)
    world.record.say(f"{len(jobs)} of {len(sent)} jobs accepted")
    world.record.say(f"LIMIT: {len(over)} starts over a worker's capacity")
    return bool(over)


main(HERE, scenario, workers=16)
