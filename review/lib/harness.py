"""Stand-ins for the platform's store, the workers and the clients, and the checks of the review's scripts.

Everything listens on loopback addresses. The nodes of the system are separate processes, started with the
command of the deploy file. All stand-ins run in the process of the script, on one event loop.
"""

import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

TOP = pathlib.Path(__file__).resolve().parents[2]
ROW_BYTES = 65536
TX_ENTRIES = 100
TX_BYTES = 1_000_000
FEED_MAX_WAIT_MS = 30_000
ENDS_PER_ANSWER = 500
HOLD_MAX_MS = 6000
STOP_GRACE_MS = 400
HEARTBEAT_S = 1.5
BOUNDS = {
    "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
    "evacuate_ms": 5000, "recovery_s": 12, "hold_max_ms": HOLD_MAX_MS, "stop_grace_ms": STOP_GRACE_MS,
    "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "checkpoint_s": 2, "restore_ms": 250, "require_fence": False, "lease_ttl_ms": 3000,
}
ZONES = ["kelowna", "vernon", "penticton"]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def mono():
    return time.monotonic()


class Record:
    """The lines of record.txt, with seconds since the script's start."""

    def __init__(self, path):
        self.began = mono()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        if not self.file.closed:
            self.file.write(f"{mono() - self.began:9.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


# ---- HTTP ----

class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = urllib.parse.unquote(path)
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0].split(" ", 2), headers, body


class HttpServer:
    """An HTTP/1.1 server. `handler` returns (status, JSON body), or None to leave the request unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers, body = await read_message(reader)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, made = answer
                text = json.dumps(made, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """Like the death of the process: the port refuses and open connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def ask(address, method, path, headers, body, timeout):
    """Returns (status, body), or None if there was no complete answer in time."""

    async def go():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nConnection: close\r\n"
            for name, value in headers.items():
                head += f"{name}: {value}\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            first, _, text = await read_message(reader)
            try:
                decoded = json.loads(text) if text else {}
            except ValueError:
                decoded = {}
            return int(first[1]), decoded
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# ---- The platform's store ----

class Store:
    """The platform's metadata store: rows in tables, conditional transactions, reads and a change feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part) -> {key: (value, ver)}
        self.ver = 1
        self.history = []  # (ver, table, row as in answers)
        self.changed = asyncio.Event()
        self.silent = False
        self.refused = {}  # reason -> count
        self.part_free = {}
        self.http = HttpServer(self.handle)

    def put_direct(self, table, key, value):
        """A write by the operator or by a worker."""
        self.commit([{"table": table, "part": "", "key": key,
                      "value": base64.b64encode(json.dumps(value).encode()).decode()}], [])

    def remove_direct(self, table, key):
        self.commit([], [{"table": table, "part": "", "key": key}])

    def commit(self, puts, removes):
        self.ver += 1
        for put in puts:
            place = self.rows.setdefault((put["table"], put["part"]), {})
            place[put["key"]] = (put["value"], self.ver)
            row = {"table": put["table"], "part": put["part"], "key": put["key"], "value": put["value"],
                   "ver": self.ver}
            self.history.append((self.ver, put["table"], row))
        for gone in removes:
            place = self.rows.setdefault((gone["table"], gone["part"]), {})
            if place.pop(gone["key"], None) is not None:
                row = {"table": gone["table"], "part": gone["part"], "key": gone["key"], "ver": self.ver,
                       "removed": True}
                self.history.append((self.ver, gone["table"], row))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def now_ms(self):
        return int(mono() * 1000)

    async def handle(self, request):
        if self.silent:
            return None
        if request.path == "/medlarhub/rows-tx":
            answer = await self.transact(request.body)
        elif request.path == "/medlarhub/rows-get":
            answer = self.get(request.query)
        elif request.path == "/medlarhub/rows-feed":
            answer = await self.feed(request.query)
        else:
            return 404, {}
        # What was asked before an outage isn't answered during it.
        return None if self.silent else answer

    def refuse(self, status, reason):
        if reason not in self.refused:
            self.record(f"store: first transaction refused with {status}: {reason}")
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return status, {"error": reason}

    async def transact(self, body):
        asked = json.loads(body)
        expected = asked.get("expect_rev", [])
        puts = asked.get("puts", [])
        removes = asked.get("remove", [])
        if len(expected) + len(puts) + len(removes) > TX_ENTRIES:
            return self.refuse(400, "more than 100 entries")
        if len(body) > TX_BYTES:
            return self.refuse(400, "more than 1 MB")
        parts = {entry["part"] for entry in expected + puts + removes}
        if len(parts) > 1:
            return self.refuse(400, "several parts")
        for entry in expected + puts + removes:
            if max(len(entry[name].encode()) for name in ("table", "part", "key")) > 200:
                return self.refuse(400, "a name over 200 bytes")
            if entry["table"] in ("op", "servers") and entry not in expected:
                return self.refuse(403, "not the system's table")
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > ROW_BYTES:
                return self.refuse(400, f"a row of {put['table']} over row_bytes (65,536)")
        part = next(iter(parts), "")
        begin = max(mono(), self.part_free.get(part, 0.0))
        self.part_free[part] = begin + 0.005
        await asyncio.sleep(begin + 0.005 - mono())
        for row in expected:
            known = self.rows.get((row["table"], row["part"]), {}).get(row["key"])
            if (known[1] if known else 0) != row["ver"]:
                now = [{"table": r["table"], "part": r["part"], "key": r["key"], "value": k[0], "ver": k[1]}
                       for r in expected
                       if (k := self.rows.get((r["table"], r["part"]), {}).get(r["key"]))]
                return 412, {"rows": now, "ver": self.ver, "now_ms": self.now_ms()}
        return 200, {"ver": self.commit(puts, removes), "now_ms": self.now_ms()}

    def get(self, query):
        place = self.rows.get((query["table"], query.get("part", "")), {})
        keys = sorted(place)
        begin = bisect.bisect_left(keys, query.get("from", ""))
        end = bisect.bisect_left(keys, query["target"]) if query.get("target") else len(keys)
        most = min(int(query.get("limit") or 500), 500)
        rows, size, truncated = [], 0, False
        for key in keys[begin:end]:
            value, ver = place[key]
            if len(rows) == most or size + len(value) > TX_BYTES:
                truncated = True
                break
            size += len(value)
            rows.append({"table": query["table"], "part": query.get("part", ""), "key": key, "value": value,
                         "ver": ver})
        return 200, {"rows": rows, "truncated": truncated, "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        until = mono() + min(int(query.get("wait_ms") or 0), FEED_MAX_WAIT_MS) / 1000
        while True:
            begin = bisect.bisect_right(self.history, after, key=lambda each: each[0])
            rows = [row for _, table, row in self.history[begin:] if table == query["table"]]
            left = until - mono()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- Workers ----

class Run:
    def __init__(self, worker, task, number, spec):
        self.worker = worker
        self.life = worker.life
        self.task = task
        self.number = number
        self.spec = spec
        self.began = mono()
        self.ended = None
        self.how = None
        self.end_number = None
        self.acked = None
        self.stopping = False
        self.timer = None


class Worker:
    """A worker without an admission check. The spec of a job is JSON: `ms` is how long a task works, and with
    `first_run_fails` each task fails in its first run, by its own fault."""

    def __init__(self, world, name, address, zone, labels, cpu, mem=65536):
        self.world = world
        self.name = name
        self.address = address
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.mem = mem
        self.life = 0
        self.seq = 0
        self.http = HttpServer(self.handle)
        self.up = False
        self.born = 0
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.started = mono()
        self.fence = 0
        self.deadline = 0  # ms on the worker's clock
        self.lapses = []
        self.running = {}
        self.finished = {}  # task -> highest run stopped or ended
        self.ended = []
        self.next_end = 1
        self.seq = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((mono() - self.started) * 1000)

    async def start(self):
        await self.http.start(self.address)
        self.up = True
        self.register()
        asyncio.ensure_future(self.heartbeat(self.life))
        asyncio.ensure_future(self.watch_lease(self.life))

    def register(self):
        if self.world.store.silent:
            return
        self.seq += 1
        self.world.store.put_direct("servers", self.name, {
            "service": "wax-orders", "addr": self.address, "zone": self.zone, "version": "1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born, "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0}})

    async def heartbeat(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            if self.up and self.life == life:
                self.register()

    async def watch_lease(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(0.02)
            if self.life == life and self.running and self.clock() > self.deadline:
                self.lapses.append(mono())
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    def crash(self):
        self.world.record(f"worker {self.name}: crashes with {len(self.running)} running")
        self.up = False
        self.http.kill()
        for run in list(self.running.values()):
            run.timer.cancel()
            run.ended = mono()
            run.how = "crashed"
        self.running = {}

    async def come_back(self, cpu=None):
        self.cpu = cpu or self.cpu
        self.begin_life()
        self.world.record(f"worker {self.name}: is back with {self.cpu} thousandths of a core")
        self.http = HttpServer(self.handle)
        await self.start()

    def finish(self, run, how):
        if self.running.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.running[run.task]
        run.ended = mono()
        run.how = how
        run.end_number = self.next_end
        self.next_end += 1
        self.finished[run.task] = max(self.finished.get(run.task, 0), run.number)
        self.ended.append(run)
        self.world.record(f"end {run.task} run {run.number} at {self.name}: {how}, end {run.end_number}")
        self.news.set()
        self.news = asyncio.Event()

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason, "born": self.born}

    async def handle(self, request):
        if request.headers.get("x-medlarhub-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        if request.method != "POST":
            return 200, {}
        body = json.loads(request.body)
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if request.path == "/medlarhub/run-start":
            return self.run_start(body)
        if request.path == "/medlarhub/run-stop":
            return self.run_stop(body)
        if request.path == "/medlarhub/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        known = self.running.get(task)
        if known and known.number == number:
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if known or number <= self.finished.get(task, 0):
            return self.refuse("old")
        run = Run(self, task, number, body.get("spec", ""))
        self.running[task] = run
        self.world.started(run)
        spec = json.loads(run.spec)
        first = len(self.world.runs[task]) == 1
        how = "failed" if first and spec.get("first_run_fails") else "done"
        work = spec.get("ms", 100) / 1000
        run.timer = asyncio.get_running_loop().call_later(work, self.finish, run, how)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known and known.number <= number:
            if not known.stopping:
                known.stopping = True
                asyncio.get_running_loop().call_later(0.02, self.finish, known, "stopped")
        elif not known:
            self.finished[task] = max(self.finished.get(task, 0), number)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def hold(self, body):
        life = self.life
        self.extend(body.get("deadline_ms"))
        upto = body.get("acked_upto", 0)
        while self.ended and self.ended[0].end_number <= upto:
            run = self.ended.pop(0)
            run.acked = mono()
            if run.how == "done":
                self.world.record(f"noted {run.task} run {run.number} at {self.name}: end {run.end_number}")
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.life != life:
            return None
        running = [[run.task, run.number, "", min(100, int((mono() - run.began) * 100)), 1]
                   for run in self.running.values()]
        ended = [[run.end_number, run.task, run.number, run.how, ""]
                 for run in self.ended[:ENDS_PER_ANSWER]]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended}


# ---- The world ----

class World:
    """A small deployment: the store, the workers, and the nodes as processes."""

    def __init__(self, folder, nodes=6, workers=8, cpu=32000):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.store = Store(self.record)
        self.runs = {}  # task -> runs
        self.on_start = []
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        self.base = self.free_port()
        self.node_count = nodes
        self.worker_count = workers
        self.cpu = cpu
        self.workers = []
        self.processes = {}
        self.temporary = tempfile.TemporaryDirectory(prefix="medlarhub-review-")
        self.key = "key-" + format(random.getrandbits(64), "016x")
        self.queue = {"name": "counter-check", "host": "orders.example", "path_prefix": "/checks/",
                      "service": "wax-orders", "priority": 0, "attempts": 4, "stretch": 4.0,
                      "target_latency_ms": 3000, "timeout_ms": 3000}
        self.needs = {}  # job -> cpu of each step's task

    @staticmethod
    def free_port():
        for _ in range(200):
            base = random.randint(20000, 30000)
            try:
                for port in range(base, base + 40):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return base
            except OSError:
                continue
        sys.exit(2)

    def started(self, run):
        self.runs.setdefault(run.task, []).append(run)
        self.record(f"start {run.task} run {run.number} at {run.worker.name}")
        for each in self.on_start:
            each(run)

    def front(self, index):
        return f"{self.net}{index + 1}:{self.base}"

    def boot_file(self, index):
        ip = f"{self.net}{index + 1}"
        zone = ZONES[index % len(ZONES)]
        boot = {
            "node": f"front-{zone}-{index}", "role": "node", "class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "bc-interior", "zones": {z: "bc-interior" for z in ZONES},
            "listen": {"front": f"{ip}:{self.base}", "ready": f"{ip}:{self.base + 1}",
                       "control": f"{ip}:{self.base + 2}"},
            "port_range": [self.base + 3, self.base + 18],
            "seeds": [f"{self.net}{i + 1}:{self.base + 2}" for i in range(min(3, self.node_count))],
            "bootstrap": True, "counts_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4200, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "recover", "sched", "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "orders": "invoke", "advice": f"{self.net}250:{self.base + 30}",
            "platform": {"addr": self.store_address(), "form": "table", "writes_per_s": 600,
                         "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": ROW_BYTES,
                         "across": False, "history_s": 20},
        }
        path = pathlib.Path(self.temporary.name) / f"boot-{index}.json"
        path.write_text(json.dumps(boot))
        return path

    def store_address(self):
        return f"{self.net}200:{self.base + 31}"

    def config(self, version=1, routes=None):
        return {
            "version": version, "routes": [self.queue] if routes is None else routes,
            "services": [{"name": "wax-orders", "admission_check": False}],
            "limits": {"max_body_bytes": 262144, "max_header_bytes": 16384},
            "tenants": [{"name": "t1", "api_keys": [self.key], "weight": 1000, "cap": {}}],
        }

    async def start(self):
        await self.store.http.start(self.store_address())
        self.store.put_direct("op", "config", self.config())
        for i in range(self.worker_count):
            worker = Worker(self, format(random.getrandbits(48), "012x"),
                            f"{self.net}{100 + i // 30}:{self.base + 1000 + i}", ZONES[i % len(ZONES)],
                            ["a" if i % 2 else "b", f"r{i % 3}-{i // 8}"], self.cpu)
            self.workers.append(worker)
            await worker.start()
        deploy = tomllib.loads((TOP / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split(" ")
        for i in range(self.node_count):
            self.start_node(i)
        if not await self.until_ready(20):
            raise CannotRun("the nodes aren't ready after 20 s")

    def start_node(self, index):
        log = open(self.log_path(index), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MEDLARHUB_BOOT"] = str(self.boot_file(index))
        self.processes[index] = subprocess.Popen(self.command, cwd=TOP, env=environment, stdout=log,
                                                 stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def log_path(self, index):
        keep = os.environ.get("KEEP_LOGS")
        return pathlib.Path(keep or self.temporary.name) / f"node-{index}.log"

    async def until_ready(self, longest):
        until = mono() + longest
        while mono() < until:
            states = [await ask(f"{self.net}{i + 1}:{self.base + 1}", "GET", "/medlarhub/ready",
                                {"Host": "ready"}, None, 1) for i in range(self.node_count)]
            if all(state and state[0] == 200 for state in states):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.record.close()
        self.temporary.cleanup()

    # ---- Clients ----

    @staticmethod
    def new_id():
        return format(random.getrandbits(64), "016x")

    def headers(self):
        return {"Host": self.queue["host"], "Authorization": f"Bearer {self.key}",
                "X-Medlarhub-Deadline-Ms": "3000"}

    async def call(self, method, job, body=None, attempts=5, node=None, queue=None):
        """A client's call with its retries at other nodes: 429, 503 and no answer are sent again."""
        path = (queue or self.queue)["path_prefix"] + job
        answer = None
        for attempt in range(attempts):
            index = node if node is not None else random.randrange(self.node_count)
            answer = await ask(self.front(index), method, path, self.headers(), body, 3.0)
            self.record(f"{method} {job} at node {index}: {answer}")
            if answer and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def submit(self, body, **options):
        """Returns the id of a job that was accepted, None if it wasn't."""
        job = self.new_id()
        self.needs[job] = [step["cpu"] for step in body["steps"]]
        answer = await self.call("POST", job, body, **options)
        return job if answer and 200 <= answer[0] < 300 else None

    def need_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.needs[job][int(step)]

    # ---- Checks ----

    def twice(self):
        """TWICE: a start after a run ended `done` whose end was taken note of, or two runs at a time."""
        found = []
        for task, runs in self.runs.items():
            for first in runs:
                for other in runs:
                    if other is first or other.began < first.began:
                        continue
                    lapsed = first.acked and any(first.ended <= at <= first.acked
                                                 for at in first.worker.lapses)
                    noted = first.how == "done" and first.acked and not lapsed
                    if noted and other.began > first.ended:
                        found.append((first, other, "started after an end `done` that was taken note of"))
                    elif first.ended is None or other.began < first.ended:
                        found.append((first, other, "two runs at the same time"))
        return found


class CannotRun(Exception):
    pass


def main(folder, scenario, **options):
    """Runs the scenario; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def go():
        world = World(folder, **options)

        def on_signal():
            world.stop()
            os._exit(2)

        for each in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(each, on_signal)
        try:
            await world.start()
            broken = await scenario(world)
            dead = [i for i, process in world.processes.items() if process.poll() is not None]
            if dead:
                world.record.say(f"node processes that ended by themselves: {dead}")
            world.record.say("RESULT: the rule was broken" if broken else "RESULT: the rule held")
            return 1 if broken else 0
        except CannotRun as error:
            world.record.say(f"RESULT: the case couldn't run: {error}")
            return 2
        except Exception:  # a fault of the script or of the machine must not be taken for a broken rule
            traceback.print_exc()
            world.record.say("RESULT: the case couldn't run")
            return 2
        finally:
            world.stop()

    if not (TOP / "target" / "medlarhub").exists():
        print("target/medlarhub is missing: run the build of the deploy file first")
        sys.exit(2)
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(go())
    sys.stdout.flush()
    os._exit(code)  # without waiting for the stand-ins' open connections and timers
