"""A submission arrives again, seconds after its 2xx, when its key has been taken away meanwhile."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import cell as lib  # noqa: E402

JOBS, TASKS, WORK_MS = 16, 2, 15_000
OLD_KEY, OTHER_KEY = "k-orchard-old", "k-orchard-new"

cell = lib.Cell(HERE, ["front-a-1", "front-b-1", "front-c-1"])


def config(keys, orders_public):
    """`/checks/` is public all the time; `/orders/` asks for a key until it is opened to all."""
    return lib.make_config([lib.route("checks", "/checks/", public=True),
                            lib.route("orders", "/orders/", public=orders_public)],
                           [lib.tenant("orchard", keys), lib.tenant("nursery", ["k-nursery"])])


def prefix_of(number):
    return "/checks/" if number < JOBS // 2 else "/orders/"


async def submit(number, node):
    body = {"spec": f'{{"ms":{WORK_MS}}}',
            "steps": [{"count": TASKS, "cpu": 500, "mem_mb": 64, "est_runtime_ms": WORK_MS}]}
    return await cell.call(node, "POST", f"{prefix_of(number)}{lib.job_id(number)}", OLD_KEY, body)


async def case():
    await cell.start(workers=224, config=config([OLD_KEY, OTHER_KEY], False))
    if not await cell.until_ready(cell.nodes, 40):
        return lib.NOT_RUN
    accepted = []
    for number in range(JOBS):
        for attempt in range(5):
            answer = await submit(number, cell.nodes[number % 3])
            if answer and answer[0] == 200:
                accepted.append(number)
                break
            await asyncio.sleep(0.5)
    until = lib.mono() + 10
    tasks = {number: cell.fleet.of_job(lib.job_id(number)) for number in accepted}
    while lib.mono() < until and any(len(runs) < TASKS for runs in tasks.values()):
        await asyncio.sleep(0.1)
        tasks = {number: cell.fleet.of_job(lib.job_id(number)) for number in accepted}
    if len(accepted) < JOBS or any(len(runs) < TASKS for runs in tasks.values()):
        cell.record.add("the jobs weren't accepted and started")
        return lib.NOT_RUN
    # The trouble: the key is taken away. The tenant keeps another one. `/orders/` becomes public in any case.
    cell.set_config(config([OTHER_KEY] if lib.TROUBLE else [OLD_KEY, OTHER_KEY], True))
    await asyncio.sleep(lib.BOUNDS["config_apply_ms"] / 1000 + 1)
    for number in accepted:
        await submit(number, cell.nodes[(number + 1) % 3])
    await asyncio.sleep(5)
    found = cell.fleet.twice()
    for task, one, other, when in found:
        cell.record.add(f"TWICE: {task} runs on {one.worker.name} (run {one.number}) and on {other.worker.name} "
                        f"(run {other.number}) {when}")
    twice = {task.split(".")[0] for task, *_ in found}
    for prefix in ("/checks/", "/orders/"):
        jobs = [number for number in accepted if prefix_of(number) == prefix]
        cell.record.add(f"{prefix}: {sum(lib.job_id(number) in twice for number in jobs)} of {len(jobs)} jobs ran twice")
    cell.record.add(f"{len(found)} tasks of {JOBS * TASKS} ran twice")
    return lib.BROKEN if found else lib.HELD


lib.run_case(cell, case)
