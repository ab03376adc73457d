"""A small deployment around real planners: proxies with clients, servers, collectors and the channel, in one loop.

Requests are computed, the planner's messages are not: they come over sockets from the planner's process. What a rule says is
judged when a proxy sends a request. The figures come from the platform's pages; a case names the site that it takes them from.
"""

import collections
import heapq
import itertools
import json
import random
import select
import socket
import struct
import time

from standins import frame

STEP = 0.005
SLACK = 0.3


def _describe(part):
    lines = part.get("lines", [])
    removed = [server for server, weight in lines if weight == 0]
    text = ("whole table, " if part.get("whole") else "") + "%d lines" % len(lines)
    text += ", without " + " ".join(removed) if removed else ""
    text += ", level %s retry %s" % (part["level"], part["retry"]) if "level" in part else ""
    return "[%s]" % text


class Server:
    """A server: queued work is done at its cores' speed times its warmth. Overloaded for too long while cold, it falls over."""

    def __init__(self, name, zone, cores, speed, queue_s=4.0):
        self.name, self.zone, self.cores, self.speed, self.queue_s = name, zone, cores, speed, queue_s
        self.up, self.fallen, self.started = True, False, None
        self.cold_from, self.cold_s, self.ramp = 1.0, 0.0, "even"
        self.backlog, self.updated = 0.0, 0.0
        self.arrived = collections.deque()
        self.worst = 0.0
        self.done = collections.deque()
        self.fell_at = None

    def restart(self, now, cold_from, cold_s):
        self.up, self.fallen, self.started = True, False, now
        self.cold_from, self.cold_s, self.backlog, self.updated = cold_from, cold_s, 0.0, now
        self.arrived.clear()
        self.done.clear()

    def warmth(self, now):
        if self.started is None or self.cold_s == 0:
            return 1.0
        age = min(1.0, (now - self.started) / self.cold_s)
        return self.cold_from + (1.0 - self.cold_from) * age

    def capacity(self, now):
        """Milliseconds of work that it does in a second."""
        return 1000.0 * self.cores * self.speed * self.warmth(now)

    def _advance(self, now):
        step = now - self.updated
        did = min(self.backlog, step * self.capacity(now))
        self.backlog -= did
        self.updated = now
        if step > 0:
            self.done.append((now, did, step * self.capacity(now)))
        while self.done and now - self.done[0][0] > 0.7:
            self.done.popleft()

    def util(self, now):
        self._advance(now)
        able = sum(part[2] for part in self.done)
        return sum(part[1] for part in self.done) / able if able else 0.0

    def take(self, now, work_ms, rules):
        """Takes a request of so much work. Returns whether it is answered and after how many seconds."""
        if not self.up or self.fallen:
            return False, 0.001
        self._advance(now)
        self.arrived.append((now, work_ms))
        while now - self.arrived[0][0] > rules["fall_s"]:
            self.arrived.popleft()
        if self.started is not None and now - self.started < self.cold_s:
            sent = sum(work for _, work in self.arrived)
            multiple = sent / (self.capacity(now) * rules["fall_s"])
            self.worst = max(self.worst, multiple)
            if multiple > rules["fall_multiple"] + rules["fall_slack"]:
                self.fallen, self.fell_at = True, now
                return False, 0.001
        if self.backlog > self.queue_s * self.capacity(now):
            return False, 0.002
        self.backlog += work_ms
        wait = self.backlog / max(self.capacity(now), 1.0)
        return True, max(wait, work_ms / (1000.0 * self.speed * self.warmth(now)))


class Proxy:
    def __init__(self, node, zone, rate, classes, standing):
        self.node, self.zone, self.rate = node, zone, rate
        self.standing = {name: {server: 1.0 for server in standing} for name in classes}
        self.reset()
        self.redial_at = 0.0

    def reset(self):
        self.tables = {name: dict(table) for name, table in self.standing.items()}
        self.levels, self.cold, self.avoid, self.failed = {}, True, {}, collections.Counter()
        self.sock, self.data, self.joined_at, self.due = None, b"", None, collections.deque()
        self.counted = collections.Counter()
        self.parts, self.written_to = [], collections.deque()
        self.bare_since = {}
        self.silent = False


class World:
    """`sites` are the figures of the deployment; see `kolkata` and `zeilenwerk` for their names."""

    def __init__(self, record, settings, figures, servers, proxies, discovery, planner):
        self.record, self.settings, self.figures = record, settings, figures
        self.servers = {server.name: server for server in servers}
        self.proxies, self.discovery, self.planner = proxies, discovery, planner
        self.random = random.Random(record.seed)
        self.classes = [c["name"] for c in settings["classes"]]
        self.zones = settings["zones"]
        info, rules = settings["familyInfo"], settings["invariants"]
        self.rules = {"fall_s": rules["fallMs"] / 1000.0, "fall_multiple": rules["fallMultiple"],
                      "fall_slack": 0.25 * rules["fallMultiple"], "grace": rules["drainGraceMs"] / 1000.0,
                      "bare_s": info["unservedMaxMs"] / 1000.0}
        self.info = info
        self.cut = set()
        self.loop_at = time.monotonic()
        self.channel_free_at = 0.0
        self.waiting = collections.deque()
        self.ended, self.sequence = [], itertools.count()
        self.collectors = {zone: None for zone in self.zones}
        self.outbox = []
        self.totals = {}
        self.next_report = self.loop_at + info["cycleMs"] / 1000.0
        self.asked = collections.Counter()
        self.answered = collections.Counter()
        self.late_sends, self.bare, self.most_waiting = [], [], 0.0
        self.most_messages = 0
        self.message_log = []
        self.next_line = self.loop_at + 1.0
        self.counted = (0, 0)

    # What happens to the deployment.

    def told(self, name):
        """When the planner was told that a server drains or is gone; None if it was not or the server is back."""
        if self.discovery.entries[name]["state"] == "SERVING":
            return None
        times = [self.discovery.told.get((name, state)) for state in ("DRAINING", "DELETED")]
        return min((at for at in times if at is not None), default=None)

    def is_cut(self, one, other):
        return one != other and frozenset((one, other)) in self.cut

    def ready_and_warm(self, now):
        warm_s = self.settings["invariants"]["warmUpMs"] / 1000.0
        ready = []
        for name, listed in self.discovery.entries.items():
            server = self.servers[name]
            old = server.started is None or now - server.started >= warm_s
            if listed["state"] == "SERVING" and server.up and not server.fallen and old:
                ready.append(name)
        return ready

    # The loop.

    def run(self, seconds, until=None):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.step()
            if until and until():
                return True
        return False

    def step(self):
        now = time.monotonic()
        elapsed, self.loop_at = now - self.loop_at, now
        self._streams(now)
        self._apply(now)
        self._requests(now, elapsed)
        self._reports(now)
        if now >= self.next_line:
            self._write_line()
        pause = STEP - (time.monotonic() - now)
        if pause > 0:
            time.sleep(pause)

    def _write_line(self):
        self.next_line += 1.0
        asked, answered = sum(self.asked.values()), sum(self.answered.values())
        self.record.add("proxies: %d requests came, %d were answered" % (asked - self.counted[0], answered - self.counted[1]))
        self.counted = (asked, answered)

    def _streams(self, now):
        for proxy in self.proxies:
            if proxy.sock is None and now >= proxy.redial_at and not proxy.silent:
                self._dial(proxy, now)
        sockets = {proxy.sock: proxy for proxy in self.proxies if proxy.sock and not proxy.silent}
        if not sockets:
            return
        for sock in select.select(list(sockets), [], [], 0)[0]:
            proxy = sockets[sock]
            try:
                data = sock.recv(1 << 16)
            except OSError:
                data = b""
            if not data:
                self.record.add("proxy %d: its stream ended" % proxy.node)
                self.leave(proxy, now, self.random.uniform(*self.figures["redial_s"]))
                continue
            proxy.data += data
            while len(proxy.data) >= 4:
                length = struct.unpack(">I", proxy.data[:4])[0]
                if len(proxy.data) < 4 + length:
                    break
                body, proxy.data = proxy.data[4:4 + length], proxy.data[4 + length:]
                self._received(proxy, now, json.loads(body))

    def _dial(self, proxy, now):
        try:
            sock = socket.create_connection(self.planner.address, timeout=0.5)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(frame({"msg": "SUBSCRIBE", "node": proxy.node, "locality": proxy.zone, "w": proxy.rate, "cold": proxy.cold}))
            proxy.sock, proxy.data, proxy.joined_at, proxy.parts = sock, b"", now, []
            proxy.due.clear()
            proxy.written_to.clear()
            proxy.bare_since.clear()
        except OSError:
            proxy.sock = None
            proxy.redial_at = now + 0.5

    def leave(self, proxy, now, redial_s):
        if proxy.sock:
            proxy.sock.close()
        proxy.sock, proxy.joined_at, proxy.redial_at = None, None, now + redial_s
        proxy.due.clear()
        proxy.bare_since.clear()

    def _received(self, proxy, now, message):
        if message.get("msg") != "CONFIG":
            return
        proxy.parts.append(message)
        if message.get("more"):
            return
        parts, proxy.parts = proxy.parts, []
        lines = self.info["head"]
        for part in parts:
            lines += len(part.get("lines", [])) + len(part.get("out", [])) + len(part.get("back", []))
            lines += ("whole" in part) + ("level" in part) + ("ticket" in part)
        self.channel_free_at = max(self.channel_free_at, now) + lines / self.info["linesPerS"]
        self.waiting.append((self.channel_free_at, lines))
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        self.most_waiting = max(self.most_waiting, sum(part[1] for part in self.waiting))
        window = self.info["updateWindowMs"] / 1000.0
        proxy.written_to.append(now)
        while now - proxy.written_to[0] > window:
            proxy.written_to.popleft()
        self.most_messages = max(self.most_messages, len(proxy.written_to))
        transit = min(self.info["worstTransitMs"], self.random.expovariate(1.0 / (1.13 * self.info["transitMs"]))) / 1000.0
        arrives = self.channel_free_at + transit
        if proxy.due:
            arrives = max(arrives, proxy.due[-1][0])
        proxy.due.append((arrives, now, parts))
        self.message_log.append((now, proxy.node))
        said = " ".join(_describe(part) for part in parts)
        self.record.add("planner: to proxy %d, in effect after %.0f ms: %s" % (proxy.node, 1000 * (arrives - now), said))

    def _apply(self, now):
        for proxy in self.proxies:
            while proxy.due and proxy.due[0][0] <= now and not proxy.silent:
                _, sent_at, parts = proxy.due.popleft()
                for part in parts:
                    self._apply_part(proxy, now, part)
                    if "ticket" in part:
                        latency = 1000.0 * (now - sent_at)
                        self._send(proxy, {"msg": "ACK", "node": proxy.node, "nonce": part["ticket"], "latency": latency})

    def _apply_part(self, proxy, now, part):
        names = part.get("classes") or self.classes
        for name in names:
            if part.get("whole"):
                proxy.tables[name] = {}
                proxy.levels.pop(name, None)
                proxy.cold = False
            for server, weight in part.get("lines", []):
                if weight > 0:
                    proxy.tables[name][server] = weight
                elif proxy.tables[name].pop(server, None) is not None and self.discovery.entries[server]["state"] != "SERVING":
                    self.record.add("proxy %d: table of %s without %s" % (proxy.node, name, server))
            if "level" in part:
                proxy.levels[name] = (part["level"], part["retry"])

    def _send(self, proxy, message):
        try:
            proxy.sock.sendall(frame(message))
        except (OSError, AttributeError):
            pass

    # Requests.

    def _requests(self, now, elapsed):
        while self.ended and self.ended[0][0] <= now:
            _, _, proxy, name, server, ok, latency, retry = heapq.heappop(self.ended)
            total = self.totals.setdefault((proxy.zone, server.name), [0, 0, 0.0])
            total[0] += 1
            total[1] += not ok
            total[2] += latency if ok else 0.0
            if ok:
                proxy.failed[server.name] = 0
                self.answered[name] += 1
            else:
                proxy.failed[server.name] += 1
                if proxy.failed[server.name] >= self.info["ejects"]:
                    proxy.failed[server.name] = 0
                    proxy.avoid[server.name] = now + self.random.uniform(*self.figures["eject_s"])
                if retry > 0:
                    self._attempt(now, proxy, name, retry - 1, server.name)
        for proxy in self.proxies:
            count = self._poisson(proxy.rate * self.figures["load"] * elapsed)
            for _ in range(count):
                name = self.random.choices(self.classes, self.figures["share"])[0]
                self.asked[name] += 1
                proxy.counted[name] += 1
                level, retry = proxy.levels.get(name, (1.0, self.info["retryDefault"]))
                if self.random.random() >= level:
                    continue
                self._attempt(now, proxy, name, {0: 0, 1: 1, 2: 1, 3: 2}[retry], None)
            self._judge_bare(now, proxy)

    def _poisson(self, mean):
        count, product, limit = 0, self.random.random(), 2.718281828 ** -mean
        while product > limit:
            count += 1
            product *= self.random.random()
        return count

    def _judge_bare(self, now, proxy):
        for name in self.classes:
            if proxy.joined_at is None or proxy.tables[name]:
                proxy.bare_since.pop(name, None)
                continue
            since = proxy.bare_since.setdefault(name, now)
            if now - since > self.rules["bare_s"] + SLACK and self._open_to(proxy, name, self.ready_and_warm(now)):
                self.bare.append((now, proxy.node, name))

    def _open_to(self, proxy, name, ready):
        local = self.info["staysLocal"][self.classes.index(name)]
        return [server for server in ready if not local or self.servers[server].zone == proxy.zone]

    def _attempt(self, now, proxy, name, retry, other):
        table = proxy.tables[name]
        choices = [s for s in table if s != other and proxy.avoid.get(s, 0) <= now]
        if not choices:
            choices = [s for s in table if s != other]
        if not choices:
            return
        server = self.servers[self.random.choices(choices, [table[s] for s in choices])[0]]
        told = self.told(server.name)
        if told is not None and proxy.joined_at is not None:
            late = now - max(told, proxy.joined_at) - self.rules["grace"]
            if late > SLACK:
                self.late_sends.append((now, proxy.node, server.name, late))
                self.record.add("proxy %d: sent %s to %s, %.0f ms after the grace" % (proxy.node, name, server.name, 1000 * late))
        if self.is_cut(proxy.zone, server.zone):
            ok, latency = False, self.settings["allowed"]["connectTimeoutMs"] / 1000.0
        else:
            work = self.figures["work_ms"][self.classes.index(name)] * self.random.lognormvariate(-0.125, 0.5)
            ok, latency = server.take(now, work, self.rules)
        heapq.heappush(self.ended, (now + latency, next(self.sequence), proxy, name, server, ok, latency, retry))

    # Reports.

    def _reports(self, now):
        while self.outbox and self.outbox[0][0] <= now:
            _, _, zone, proxy, message = heapq.heappop(self.outbox)
            if proxy is not None:
                if proxy.sock and not proxy.silent:
                    self._send(proxy, message)
            elif not self._collector_is_cut(zone):
                self._collect(zone, message)
        if now < self.next_report:
            return
        cycle = self.info["cycleMs"]
        self.next_report = now + cycle / 1000.0
        totals, self.totals = self.totals, {}
        late = self.random.uniform(*self.figures["heard_late_s"])
        for (zone, name), (total, errors, seconds) in sorted(totals.items()):
            message = {"msg": "LOAD", "locality": zone, "endpoint": name, "total": total, "errors": errors, "interval": float(cycle)}
            if total > errors:
                noise = self.random.lognormvariate(0.0, self.figures["noise"])
                message["rtt"] = 1000.0 * seconds / (total - errors) * noise
                util = min(1.0, self.servers[name].util(now) * self.random.lognormvariate(0.0, self.figures["util_noise"]))
                message["metrics"] = {self.settings["report"]["fields"][0]: util}
            heapq.heappush(self.outbox, (now + late, next(self.sequence), zone, None, message))
        for proxy in self.proxies:
            for name in self.classes:
                count = proxy.counted.pop(name, 0)
                if count:
                    message = {"msg": "RATE", "node": proxy.node, "route": name, "total": count, "errors": 0, "interval": float(cycle)}
                    heapq.heappush(self.outbox, (now + late, next(self.sequence), proxy.zone, proxy, message))

    def _collector_is_cut(self, zone):
        return self.is_cut(zone, self.zones[self.settings["zone"]])

    def _collect(self, zone, message):
        try:
            if self.collectors[zone] is None:
                self.collectors[zone] = socket.create_connection(self.planner.address, timeout=0.5)
                self.collectors[zone].sendall(frame({"msg": "SOURCE", "locality": zone}))
            self.collectors[zone].sendall(frame(message))
        except OSError:
            self.collectors[zone] = None

    def summary(self):
        asked, answered = sum(self.asked.values()), sum(self.answered.values())
        return ("asked %d, answered %d; most lines waiting %.0f of %.0f; most messages to a proxy in the window %d of %d; "
                "late sends %d; bare %d" % (asked, answered, self.most_waiting, self.info["mostWaiting"], self.most_messages,
                                            self.info["pushesAllowed"], len(self.late_sends), len(self.bare)))
