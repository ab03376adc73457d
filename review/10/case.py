"""The simulator's wire: an instance is killed and born again in the batch in which a proxy joins it."""

import heapq
import os
import struct
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from sites import zeilenwerk  # noqa: E402
from standins import ROOT, CannotRun, deploy_command, run_case  # noqa: E402

TARGET, INVENTORY, BORN, VIEW, DOWN, JOINED, FIRED = 1150, 1140, 1000, 1010, 1050, 1060, 1020
AS, SET_LINE, INSTALL, ARM, WATCH, FETCH, WIPE, BENCH = 1050, 1110, 1080, 1030, 1040, 1000, 1130, 1020
INSTANCE, PROXY, DRAINING = 3, 1, 4


def flatten(value, path=""):
    if isinstance(value, dict):
        return [pair for key, part in value.items() for pair in flatten(part, (path + "." if path else "") + key)]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [(path + ".count", len(value))] + [p for i, part in enumerate(value) for p in flatten(part, "%s.%d" % (path, i))]
    plain = [str(part).lower() if isinstance(part, bool) else str(part) for part in (value if isinstance(value, list) else [value])]
    return [(path, ",".join(plain))]


class Simulator:
    """Sends batches on the real clock and carries the orders of the replies out, in written order, for the instance as it is after the batch."""

    def __init__(self, record, settings, servers):
        self.record = record
        self.settings = "\n".join("%s=%s" % pair for pair in flatten(settings)).encode()
        self.zones = settings["zones"]
        self.servers = servers
        self.tables, self.bound, self.joined = {}, {}, set()
        self.timers, self.faults = [], []
        self.process = None
        self.began = time.monotonic() - 1.0

    def start(self):
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("sim")], cwd=ROOT, stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def address(self, number):
        return bytes([127, 0, 0, number + 1]) + struct.pack(">H", 9000)

    def event(self, code, fields=b""):
        return (struct.pack(">H", code) + fields).ljust(56, b"\0")

    def birth(self, seed, version, draining):
        """Returns the events of a birth with the cached list, and their tail."""
        entries = b""
        for number, server in enumerate(self.servers):
            phase = 2 if number == draining else 1
            entry = self.address(number) + struct.pack(">HBHBfd", self.zones.index(server.zone), 0, 0, phase, 1.0, 0.0)
            entries += entry.ljust(24, b"\0")
        events = [self.event(BORN, struct.pack(">QII", seed, 0, len(self.settings))),
                  self.event(INVENTORY, struct.pack(">BII", 0, len(self.settings), len(self.servers))),
                  self.event(VIEW, struct.pack(">BIB", 2, version, 0))]
        return events, self.settings + entries

    def batch(self, clock, events, tail=b"", names=""):
        time.sleep(max(0.0, self.began + clock / 1000.0 - time.monotonic()))
        events = [self.event(TARGET, struct.pack(">I", INSTANCE))] + events
        frame = struct.pack(">IdI", 16 + 56 * len(events) + len(tail), clock, len(events)) + b"".join(events) + tail
        self.process.stdin.write(frame)
        self.process.stdin.flush()
        header = self.process.stdout.read(8)
        if len(header) < 8:
            raise CannotRun("the adapter ended")
        count, length = struct.unpack(">II", header)
        body = self.process.stdout.read(length - 8)
        for event in events:
            code = struct.unpack(">H", event[:2])[0]
            if code == BORN:
                self.tables, self.bound, self.joined, self.timers = {}, {}, set(), []
            elif code == JOINED:
                self.joined.add(struct.unpack(">H", event[2:4])[0])
        orders = [body[16 * i:16 * i + 16] for i in range(count)]
        if names:
            self.record.add("batch at %.0f ms: %s" % (clock, names))
        for order in orders:
            self.carry_out(clock, order, bool(names))

    def carry_out(self, clock, order, shown):
        code = struct.unpack(">H", order[:2])[0]
        if code == SET_LINE:
            weight, table = struct.unpack(">fH", order[2:8])
            lines = self.tables.setdefault(table, {})
            lines[order[11] - 1] = weight
            if weight == 0:
                del lines[order[11] - 1]
            text = "SetLine table %d server %d weight %.2f" % (table, order[11] - 1, weight)
        elif code == INSTALL:
            proxy, table, _ = struct.unpack(">HHH", order[2:8])
            text = "Install proxy %d table %d" % (proxy, table)
            if proxy in self.joined:
                self.bound[proxy] = table
            else:
                self.faults.append("an order names proxy %d, which has not joined the instance since its start" % proxy)
                text += " (which has not joined it since its start)"
        elif code == ARM:
            when, token = struct.unpack(">dI", order[2:14])
            heapq.heappush(self.timers, (when, token))
            text = "Arm at %.0f ms" % when
        else:
            text = {AS: "As", WATCH: "StreamChanges", FETCH: "Fetch", WIPE: "Wipe", BENCH: "Bench"}.get(code, "order %d" % code)
        if shown:
            self.record.add("    reply: " + text)

    def run_timers(self, until):
        fired = 0
        while self.timers and self.timers[0][0] <= until:
            when, token = heapq.heappop(self.timers)
            fired += 1
            self.batch(when, [self.event(FIRED, struct.pack(">I", token))])
        return fired


def case(record, folder, trouble, started):
    settings, _, servers, _ = zeilenwerk()
    simulator = Simulator(record, settings, servers)
    started.append(simulator)
    simulator.start()
    zone = simulator.zones.index(servers[DRAINING].zone)
    join = simulator.event(JOINED, struct.pack(">HHBf", PROXY, zone, 1, 5.0))
    events, tail = simulator.birth(11, 41, None)
    simulator.batch(1000.0, events, tail, "Born, View")
    simulator.run_timers(4000.0)
    events, tail = simulator.birth(12, 42, DRAINING)
    down = [simulator.event(DOWN)] + events
    if trouble:
        simulator.batch(4000.0, [join] + down, tail, "Subscribed, Down, Born, View (server %d drains)" % DRAINING)
    else:
        simulator.batch(4000.0, [join], b"", "Subscribed")
        simulator.batch(4002.0, down, tail, "Down, Born, View (server %d drains)" % DRAINING)
    joined_at = 4600.0
    simulator.run_timers(joined_at)
    simulator.batch(joined_at, [join], b"", "Subscribed")
    fired = simulator.run_timers(joined_at + 10000.0)
    record.add("%d timers of the instance fired in the next 10 s" % fired)
    if PROXY not in simulator.bound:
        raise CannotRun("the proxy was bound to no table")
    lines = simulator.tables[simulator.bound[PROXY]]
    record.add("the proxy's table 10 s later: servers %s" % " ".join(map(str, sorted(lines))))
    if simulator.faults:
        record.add("fault: " + simulator.faults[0])
    if DRAINING not in lines:
        return None
    return ("drain: the proxy's table has server %d 10 s after the instance was told that it drains; the grace is %.0f ms"
            % (DRAINING, settings["invariants"]["drainGraceMs"]))


run_case(os.path.join(HERE, "record.txt"), case)
