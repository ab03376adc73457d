"""Stand-ins for the platform around one or more planners: discovery, proxies, collectors and servers on loopback.

Only the Python standard library is used. One asyncio loop runs all stand-ins; each planner is a separate process, started with
the command `run` of deploy/balancer.toml. Proxies apply an update as soon as its last byte has arrived, so the time in the
channel counts as zero, which is the best case for the planner. Servers are simulated in this process: a request holds a core
for its work divided by the speed of the core; a cold server is slower. Nothing here is a measurement of a real server.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SOCKET_SLACK_MS = 300  # PROTOCOL.md: the limits are 300 ms longer on sockets
START_SLACK_S = 1.0  # PROTOCOL.md: they start no earlier than 1 s after the planner's first answer


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def frame(message):
    body = json.dumps(message).encode()
    return struct.pack(">I", len(body)) + body


async def read_frame(reader):
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    return json.loads(await reader.readexactly(length))


class Record:
    """What was sent, answered and run, one line an event; the times are seconds since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


class Server:
    """One server of the deployment, with an address that answers health checks."""

    def __init__(self, world, name, zone, kind, cores, speed, started=False, cold_from=1.0, cold_s=1.0,
                 waiting_per_core=10, weight=1.0):
        self.world, self.name, self.zone, self.kind = world, name, zone, kind
        self.cores, self.speed = cores, speed
        self.started_ms = time.time() * 1000 if started else 0
        self.started_at = time.monotonic() if started else None
        self.cold_from, self.cold_s = cold_from, cold_s
        self.weight = weight
        self.alive = True
        self.draining = False
        self.busy = 0
        self.queue = deque()
        self.busy_s, self.busy_since = 0.0, time.monotonic()
        self.served, self.errors = 0, 0
        self.room = cores * waiting_per_core
        self.metrics = {}
        self.sent = deque()  # (time, work in core seconds, known): what was sent while cold
        self.listener = None
        self.address = None

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve_http, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    async def serve_http(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                status = "503 Busy" if self.draining else "200 OK"
                writer.write(f"HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def entry(self, state):
        return {"id": self.name, "addr": self.address, "zone": self.zone, "kind": self.kind, "cell": 0,
                "state": state, "weight": self.weight, "started_ms": self.started_ms}

    def capacity(self):
        """The part of its full capacity that the server has now."""
        if self.started_at is None:
            return 1.0
        warm = min(1.0, (time.monotonic() - self.started_at) / self.cold_s)
        return self.cold_from + (1.0 - self.cold_from) * warm

    def count_busy(self):
        now = time.monotonic()
        self.busy_s += self.busy * (now - self.busy_since)
        self.busy_since = now

    def take_report(self, interval_s):
        """Refreshes the load report, with the metrics by their names in the settings."""
        self.count_busy()
        self.metrics = {"cpu_share": round(min(1.0, self.busy_s / (self.cores * interval_s)), 3),
                        "pending": len(self.queue), "busy_reqs": self.busy + len(self.queue),
                        "served_ps": self.served / interval_s, "failed_ps": self.errors / interval_s}
        self.busy_s, self.served, self.errors = 0.0, 0, 0

    def submit(self, work_s, deadline, done):
        """Takes a request; `done(ok)` is called at its end. Returns False if the request certainly did not run: nothing
        listens here any more, or the waiting room is full."""
        if not self.alive or len(self.queue) >= self.room:
            return False
        self.queue.append((work_s, deadline, done))
        self.start_work()
        return True

    def start_work(self):
        while self.alive and self.queue and self.busy < self.cores:
            work_s, deadline, done = self.queue.popleft()
            if time.monotonic() > deadline:  # the client has given up
                self.errors += 1
                done(False)
                continue
            self.count_busy()
            self.busy += 1
            asyncio.get_running_loop().call_later(work_s / (self.speed * self.capacity()), self.finish, done)

    def finish(self, done):
        self.count_busy()
        self.busy -= 1
        self.served += 1
        done(self.alive)
        self.start_work()

    def stop(self):
        """Ends the process of the server. What waits in it is lost."""
        self.alive = False
        self.listener.close()
        for _, _, done in self.queue:
            done(False)
        self.queue.clear()


class Discovery:
    """The list of servers, at one address for each planner. `told` has what was written to that planner, and when."""

    def __init__(self, world):
        self.world = world
        self.version = 40
        self.changes = []  # (version, entry)
        self.changed = asyncio.Condition()

    async def publish(self, entries):
        self.version += 1
        for entry in entries:
            self.changes.append((self.version, entry))
            self.world.record.line(f"discovery: version {self.version} lists {entry['id']} as {entry['state']}")
        async with self.changed:
            self.changed.notify_all()

    def entries(self, since):
        latest = {}
        for version, entry in self.changes:
            if since is None or version > since:
                latest[entry["id"]] = entry
        return [e for e in latest.values() if since is not None or e["state"] != "DELETED"]

    async def answer(self, planner, since, wait_s):
        deadline = time.monotonic() + wait_s
        async with self.changed:
            while since is not None and self.version <= since and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
                except asyncio.TimeoutError:
                    break
        return {"version": self.version, "full": since is None, "servers": self.entries(since)}

    async def serve(self, planner, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
                since = int(query["since"]) if "since" in query else None
                answer = await self.answer(planner, since, int(query.get("timeout_ms", 0)) / 1000)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                planner.told_list(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Planner:
    """One planner process, started as the deploy file says."""

    def __init__(self, world, name, settings, sockets=256):
        self.world, self.name, self.settings, self.sockets = world, name, settings, sockets
        self.told = {}  # by server: (state, time at which the planner was told)
        self.told_start = {}  # by server: the time at which the planner was told of its last start
        self.starts = set()
        self.process = None
        self.first_answer = None
        self.folder = tempfile.mkdtemp(prefix="planner-", dir=world.folder)

    async def open(self):
        loop_server = await asyncio.start_server(
            lambda r, w: self.world.discovery.serve(self, r, w), "127.0.0.1", 0)
        self.discovery = "127.0.0.1:%d" % loop_server.sockets[0].getsockname()[1]
        self.port = free_port()
        self.listen = f"127.0.0.1:{self.port}"

    def told_list(self, answer):
        now = time.monotonic()
        listed = {entry["id"]: entry["state"] for entry in answer["servers"]}
        if answer["full"]:
            for name in [name for name in self.told if name not in listed]:
                listed[name] = "DELETED"
        for entry in answer["servers"]:
            start = (entry["id"], entry["started_ms"])
            if entry["started_ms"] > 0 and start not in self.starts:
                self.starts.add(start)
                self.told_start[entry["id"]] = now
        for name, state in listed.items():
            if self.told.get(name, ("", 0))[0] != state:
                # A drain that turns into a removal was told at the drain.
                if state == "DELETED" and self.told.get(name, ("", 0))[0] == "DRAINING":
                    self.told[name] = ("DRAINING", self.told[name][1])
                else:
                    self.told[name] = (state, now)
                self.world.record.line(f"{self.name} was told that {name} is {state}")

    def config(self):
        return {"name": self.name, "listen": self.listen, "discovery": self.discovery, "seed": self.world.seed_text,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                "known": {"version": self.world.discovery.version, "full": True,
                          "servers": self.world.discovery.entries(None)},
                "settings": self.settings}

    async def start(self):
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config(), file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        env = dict(os.environ, GW_CONFIG=path, GW_NAME=self.name, GW_LISTEN=self.listen, GW_DISCOVERY=self.discovery,
                   TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"ulimit -n {self.sockets}; {run}", cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.world.record.line(f"{self.name}: started `{run}` as process {self.process.pid}")
        await self.wait_until_ready()

    async def wait_until_ready(self):
        for _ in range(200):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode} at its start")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(frame({"msg": "PING"}))
                answer = await asyncio.wait_for(read_frame(reader), 1.0)
                writer.close()
                if answer["msg"] == "PONG":
                    self.first_answer = time.monotonic()
                    return self.world.record.line(f"{self.name}: answers PING")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not answer")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Proxy:
    """A plain proxy: it sends what its table says and nothing else."""

    def __init__(self, world, number, zone, rate):
        self.world, self.number, self.zone, self.rate = world, number, zone, rate
        self.random = random.Random(world.seed * 1000 + number)
        names = [route["name"] for route in world.settings["classes"]]
        self.tables = {name: {} for name in names}
        self.levels = {name: (1.0, world.settings["familyInfo"]["retryDefault"]) for name in names}
        self.shut_out = set()
        self.failures, self.avoided = {}, {}
        self.joined_at = None
        self.planner = None
        self.parts = []
        self.messages = deque()
        self.most_messages = 0
        self.last_message = 0.0
        self.counts = {name: 0 for name in names}

    def standing_table(self, servers):
        local = [s for s in servers if s.zone == self.zone]
        pool = local if len(local) >= 3 else list(servers)
        chosen = self.random.sample(pool, min(len(pool), self.world.settings["familyInfo"]["standing"]))
        for table in self.tables.values():
            table.update({server.name: 1.0 for server in chosen})

    async def join(self, planner, cold):
        self.planner = planner
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", planner.port)
        self.send({"msg": "SUBSCRIBE", "node": self.number, "locality": self.zone, "w": self.rate, "cold": cold})
        self.joined_at = time.monotonic()
        self.messages.clear()
        self.stream = asyncio.ensure_future(self.follow(self.reader))

    def send(self, message):
        if not self.writer.is_closing():
            self.writer.write(frame(message))

    async def follow(self, reader):
        try:
            while True:
                part = await read_frame(reader)
                if part["msg"] != "CONFIG":
                    continue
                self.parts.append(part)
                if not part.get("more"):
                    self.apply(self.parts)
                    self.parts = []
        except (asyncio.IncompleteReadError, ConnectionError):
            self.joined_at = None
            self.world.record.line(f"proxy {self.number}: its stream ended")

    def apply(self, parts):
        now = time.monotonic()
        self.messages.append(now)
        self.last_message = now
        while self.messages[0] < now - self.world.settings["familyInfo"]["updateWindowMs"] / 1000:
            self.messages.popleft()
        self.most_messages = max(self.most_messages, len(self.messages))
        ticket = None
        for part in parts:
            for name in part.get("classes", list(self.tables)):
                if part.get("whole"):
                    self.tables[name] = {}
                    self.levels[name] = (1.0, self.world.settings["familyInfo"]["retryDefault"])
                for server, weight in part.get("lines", []):
                    if weight > 0:
                        self.tables[name][server] = weight
                    else:
                        self.tables[name].pop(server, None)
                if "level" in part:
                    self.levels[name] = (part["level"], part["retry"])
            self.shut_out |= set(part.get("out", []))
            self.shut_out -= set(part.get("back", []))
            ticket = part.get("ticket", ticket)
        lines = [line for part in parts for line in part.get("lines", [])]
        levels = [(part.get("classes"), part["level"], part["retry"]) for part in parts if "level" in part]
        whole = "whole table" if parts[0].get("whole") else "lines"
        self.world.record.line(f"proxy {self.number}: message {len(self.messages)} of the last 10 s, {whole} {lines} "
                               f"levels {levels}")
        if ticket is not None:
            self.send({"msg": "ACK", "node": self.number, "nonce": ticket, "latency": 1.0})

    def pick(self, route, without=()):
        now = time.monotonic()
        lines = [(s, w) for s, w in self.tables[route].items()
                 if s not in self.shut_out and s not in without and self.avoided.get(s, 0) < now]
        if not lines:
            lines = [(s, w) for s, w in self.tables[route].items() if s not in self.shut_out and s not in without]
        if not lines:
            return None
        return self.random.choices([s for s, _ in lines], [w for _, w in lines])[0]

    async def run(self):
        """Takes requests at the proxy's rate until the world ends."""
        routes = self.world.settings["classes"]
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate * self.world.traffic)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            route = self.random.choices(routes, [r["share"] for r in self.world.routes])[0]
            work_s = self.random.uniform(*self.world.work_ms[route["name"]]) / 1000
            self.request(route["name"], work_s)

    def request(self, route, work_s):
        self.counts[route] += 1
        self.world.asked += 1
        level, retry = self.levels[route]
        if level < 1.0 and self.random.random() >= level:
            self.world.refused += 1
            return
        server = self.pick(route)
        if server is None:
            self.world.without_line(self, route)
            return
        self.attempt(route, work_s, server, retry if retry else 0)

    def attempt(self, route, work_s, name, retry, without=()):
        began = time.monotonic()
        deadline = began + self.world.deadlines_s[route]
        self.world.sent(self, route, name, work_s)
        server = self.world.servers[name]
        self.world.tries += 1
        number = self.world.tries
        self.world.record.line(f"try {number}: proxy {self.number} sends a {route} to {name}")

        def done(ok):
            self.world.record.line(f"try {number}: {name} {'answers' if ok else 'gives no answer'}")
            self.world.attempted(self.zone, name, ok, time.monotonic() - began)
            if ok:
                self.failures[name] = 0
                self.world.answered += 1
            else:
                self.failed(name)
                if retry >= 2:
                    self.again(route, work_s, name, without)
                else:
                    self.world.lost += 1

        if not server.submit(work_s, deadline, done):
            self.world.record.line(f"try {number}: {name} {'is full' if server.alive else 'refuses the connection'}")
            self.world.attempted(self.zone, name, False, 0.0)
            self.failed(name)
            if retry >= 1:
                self.again(route, work_s, name, without)
            else:
                self.world.lost += 1

    def again(self, route, work_s, name, without):
        other = self.pick(route, without + (name,))
        if other is None:
            self.world.lost += 1
        else:
            self.attempt(route, work_s, other, 0, without + (name,))

    def failed(self, name):
        self.failures[name] = self.failures.get(name, 0) + 1
        ejects = self.world.settings["familyInfo"]["ejects"]
        if ejects and self.failures[name] >= ejects:
            self.failures[name] = 0
            self.avoided[name] = time.monotonic() + 4.0


class World:
    """All stand-ins of one case."""

    def __init__(self, folder, settings, routes, work_ms, seed):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.settings, self.routes, self.work_ms = settings, routes, work_ms
        self.seed, self.seed_text = seed, f"{seed:016x}"
        self.record.line(f"seed {seed}")
        self.servers, self.proxies, self.planners, self.tasks = {}, [], [], []
        self.deadlines_s = {route["name"]: route["deadlineMs"] / 1000 for route in settings["classes"]}
        self.discovery = Discovery(self)
        self.traffic = 1.0
        self.tries = 0
        self.asked = self.answered = self.refused = self.lost = 0
        self.totals = {}  # by (zone, server): [tries, errors, seconds of the rest]
        self.late = []  # sends that broke the drain rule: (server, proxy, seconds after the limit)
        self.broken = []
        self.to_gone = 0
        self.on_sent = None

    def add_server(self, *arguments, **named):
        server = Server(self, *arguments, **named)
        self.servers[server.name] = server
        return server

    def attempted(self, zone, name, ok, seconds):
        total = self.totals.setdefault((zone, name), [0, 0, 0.0])
        total[0] += 1
        total[1] += 0 if ok else 1
        total[2] += seconds if ok else 0.0

    def without_line(self, proxy, route):
        self.refused += 1

    def drain_limit(self, proxy, name):
        """The time from which the proxy may send nothing to the server; None if there is no such time."""
        state, told_at = proxy.planner.told.get(name, ("SERVING", 0))
        if state == "SERVING" or proxy.joined_at is None:
            return None
        from_time = max(told_at, proxy.joined_at, proxy.planner.first_answer + START_SLACK_S)
        return from_time + (self.settings["invariants"]["drainGraceMs"] + SOCKET_SLACK_MS) / 1000

    def sent(self, proxy, route, name, work_s):
        limit = self.drain_limit(proxy, name)
        late = None if limit is None else time.monotonic() - limit
        gone = not self.servers[name].alive
        self.to_gone += gone
        if late is not None and late > 0:
            self.late.append((name, proxy.number, late))
            self.record.line(f"BROKEN proxy {proxy.number} sends a {route} to {name}, {late:.3f} s after the limit"
                             + (", and the server is gone" if gone else ""))
        elif proxy.planner.told.get(name, ("SERVING", 0))[0] != "SERVING":
            self.record.line(f"proxy {proxy.number} sends a {route} to {name}, which drains; within the grace")
        if self.on_sent:
            self.on_sent(proxy, route, name, work_s)

    async def collect(self, zone, planner, lag_s):
        """The collector of a zone: sums of each interval, some time later. One collector for each planner and zone."""
        interval_ms = self.settings["familyInfo"]["cycleMs"]
        _, writer = await asyncio.open_connection("127.0.0.1", planner.port)
        writer.write(frame({"msg": "SOURCE", "locality": zone}))
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval_ms / 1000)
            out = []
            for (of_zone, name), (tries, errors, seconds) in list(self.totals.items()):
                if of_zone != zone:
                    continue
                del self.totals[(of_zone, name)]
                metrics = {field: value for field, value in self.servers[name].metrics.items()
                           if field in self.settings["report"]["fields"]}
                good = tries - errors
                out.append({"msg": "LOAD", "locality": zone, "endpoint": name, "total": tries, "errors": errors,
                            "rtt": 1000 * seconds / good if good else 0.0, "interval": interval_ms,
                            "metrics": metrics})
            for proxy in [p for p in self.proxies if p.zone == zone and p.planner is planner and p.joined_at]:
                for route, count in proxy.counts.items():
                    if count:
                        proxy.counts[route] = 0
                        out.append({"msg": "RATE", "node": proxy.number, "route": route, "total": count, "errors": 0,
                                    "interval": interval_ms})
            data = b"".join(frame(message) for message in out)
            loop.call_later(lag_s, lambda data=data: None if writer.is_closing() else writer.write(data))

    async def refresh_reports(self, interval_s=0.5):
        while True:
            await asyncio.sleep(interval_s)
            for server in self.servers.values():
                if server.alive:
                    server.take_report(interval_s)

    def check_planners(self):
        """Raises an error if a planner has ended: then nothing can be said about the rule."""
        for planner in self.planners:
            if planner.process.returncode is not None:
                raise CannotRun(f"{planner.name} ended with {planner.process.returncode}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for planner in self.planners:
            await planner.stop()
            self.record.line(f"{planner.name}: its log follows")
            with open(os.path.join(planner.folder, "log"), encoding="utf-8", errors="replace") as log:
                for line in log.read().splitlines()[-400:]:
                    self.record.file.write(f"    {line}\n")
        self.record.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def seed():
    """The seed of a run: SEED from the environment, or a new one, as the platform gives a planner at each start."""
    return int(os.environ.get("SEED") or random.SystemRandom().randrange(1, 2**31))


def main(case, limit_s=110):
    """Runs a case: an async function that returns True if the rule held. Ends the process with 0, 1 or 2."""
    def stop(*_):
        raise CannotRun("stopped by a signal")

    async def guarded():
        return await asyncio.wait_for(case(), limit_s)
    signal.signal(signal.SIGTERM, stop)
    try:
        held = asyncio.run(guarded())
    except BaseException as error:  # whatever it is, the rule was not judged
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
