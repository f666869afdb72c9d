"""Two rolling restarts that overlap: each node gets SIGTERM and starts again; clients use the connections they have."""

import asyncio
import json
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import cell as lib  # noqa: E402

GAP_S, OFFSET_S = 1.3, 0.6      # of one rolling restart; of the second against the first
CONNECTIONS = 60                # per node, open before it gets SIGTERM
TIMEOUT_S = 3.0
LOST_SLACK_S = lib.BOUNDS["lost_slack_ms"] / 1000
GRACE_S = lib.BOUNDS["grace_s"]
KEY = "k-orchard"

cell = lib.Cell(HERE, ["front-a-1", "front-b-1", "front-c-1", "front-a-2", "front-b-2", "front-a-3"])
results = {}  # what became of the requests -> number
lost = []
numbers = iter(range(1, 1_000_000))


async def request_on(reader, writer, method, path, body):
    """Sends one request and returns (status, whether the node closes the connection); None if it is cut."""
    data = json.dumps(body).encode() if body else b""
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: orders.example\r\nAuthorization: Bearer {KEY}\r\n"
                 f"X-Medlarhub-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
    try:
        first, headers, _ = await lib.read_message(reader)
    except (OSError, asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(first[1]), headers.get("connection", "").lower() == "close"


async def client(node, at):
    """A client with an open connection that submits its next job `at` seconds from now."""
    host, _, port = node.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    await request_on(reader, writer, "GET", "/checks/", None)
    await asyncio.sleep(at)
    body = {"spec": '{"ms":300}', "steps": [{"count": 2, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 300}]}
    job = lib.job_id(next(numbers))
    sent = lib.mono()
    try:
        answer = await asyncio.wait_for(request_on(reader, writer, "POST", f"/checks/{job}", body), TIMEOUT_S)
    except asyncio.TimeoutError:
        answer = "late", False
    took = lib.mono() - sent
    writer.close()
    after_term = sent - node.term_at if node.term_at and sent > node.term_at else None
    if answer is None and took > LOST_SLACK_S:
        result = "cut"
        lost.append(job)
        cell.record.add(f"LOST: POST /checks/{job} was sent to {node.name} "
                        f"{'before its' if after_term is None else f'{after_term:.3f} s after'} SIGTERM; the "
                        f"connection ended without an answer {took:.3f} s later")
    else:
        result = "not taken any more" if answer is None else str(answer[0])
    results[result] = results.get(result, 0) + 1


async def restart(node):
    node.send(signal.SIGTERM)
    node.term_at = lib.mono()
    try:
        await asyncio.wait_for(asyncio.get_running_loop().run_in_executor(None, node.process.wait), GRACE_S)
    except asyncio.TimeoutError:
        node.kill()
    cell.record.add(f"node {node.name}: gone {lib.mono() - node.term_at:.3f} s after SIGTERM")
    await asyncio.sleep(0.5)
    node.start()


async def case():
    config = lib.make_config([lib.route("checks", "/checks/")], [lib.tenant("orchard", [KEY], weight=100)])
    await cell.start(workers=24, config=config)
    for node in cell.nodes:
        node.term_at = None
    if not await cell.until_ready(cell.nodes, 40):
        return lib.NOT_RUN
    await asyncio.sleep(2)
    first, second = cell.nodes[::2], cell.nodes[1::2]
    at = {node: 1 + i * GAP_S for i, node in enumerate(first)}
    at |= {node: 1 + OFFSET_S + i * GAP_S for i, node in enumerate(second)}
    clients = [asyncio.ensure_future(client(node, at[node] + random.uniform(-0.5, GRACE_S - 0.5)))
               for node in cell.nodes for _ in range(CONNECTIONS)]
    began = lib.mono()
    restarts = []
    for node, when in sorted(at.items(), key=lambda each: each[1]):
        await asyncio.sleep(max(0.0, began + when - lib.mono()))
        if lib.TROUBLE:
            restarts.append(asyncio.ensure_future(restart(node)))
    await asyncio.gather(*clients, *restarts)
    cell.record.add(f"answers: {results}")
    return lib.BROKEN if lost else lib.HELD


lib.run_case(cell, case)
