"""Stand-ins of the operators' platform for the cases of the second review: discovery and the planner's process.

The proxies are in world.py.

Written from the platform's pages (PROTOCOL.md, DEPLOY.md) with the standard library alone. Every address is on loopback.
"""

import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run. Times are seconds since the case began."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.seed = int(os.environ.get("SEED") or random.SystemRandom().getrandbits(32))
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()


def deploy_command(name):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s *= *"([^"]*)"' % name, file.read(), re.M)
    if not found:
        raise CannotRun("the deploy file has no command " + name)
    return found.group(1)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def frame(message):
    body = json.dumps(message, separators=(",", ":")).encode()
    return struct.pack(">I", len(body)) + body


def read_exactly(sock, length):
    parts = b""
    while len(parts) < length:
        part = sock.recv(length - len(parts))
        if not part:
            return None
        parts += part
    return parts


def read_frame(sock):
    header = read_exactly(sock, 4)
    if header is None:
        return None
    body = read_exactly(sock, struct.unpack(">I", header)[0])
    return None if body is None else json.loads(body)


def zeilenwerk_settings(proxies, zones=("muc-nord", "muc-ost", "freising")):
    """Returns the settings of a small deployment of zeilenwerk-bayern, with figures from within the ranges of its page."""
    route = dict(dedupScope="zone", dedupWindowMs=1500.0)
    return {
        "allowed": {"connIdleMs": 15000.0, "connectTimeoutMs": 250.0, "cpuUsPerS": 400000, "peers": False,
                    "probing": False, "streamsPerConn": 32},
        "classes": [
            dict(route, name="cue-render", effect="retryable", aimMs=1500.0, deadlineMs=4000.0, lateWorth=0.1, points=1.0),
            dict(route, name="track-commit", effect="dedup", aimMs=1000.0, deadlineMs=2500.0, lateWorth=0.2, points=2.0),
        ],
        "familyInfo": {
            "connsLeast": 144.0, "cycleMs": 1000.0, "dataPlaneSize": proxies, "ejects": 8, "head": 4.0, "holdMs": 300.0,
            "linesPerS": 15000.0, "mostWaiting": 15000.0, "mutating": [False, True], "oneOwner": False,
            "orderPrice": 0.04, "pushesAllowed": 20, "reportsPerS": 600.0, "retryDefault": 0, "selectsBy": "weighted",
            "slices": 0, "standing": 8, "staysLocal": [False, False], "tenureMs": 2500.0, "throttleBy": "share",
            "transitMs": 110.0, "tryFactor": 0.8, "unservedMaxMs": 3100.0, "updateWindowMs": 10000.0, "warmKeys": True,
            "worstTransitMs": 390.0, "writeLifeMs": 20.0, "zonal": True,
        },
        "flavors": ["r2-fast", "r3-std", "r2-old"],
        "groupSize": 1,
        "invariants": {"askEveryMs": 10000.0, "drainGraceMs": 2000.0, "fallMs": 3000.0, "fallMultiple": 2.5,
                       "startCapacity": 0.18, "warmUpMs": 18000.0},
        "myNumber": 0,
        "registryMode": "on_request",
        "report": {"fields": ["cpu_share"], "how": "inline"},
        "tickMs": 2.0,
        "weightSource": "off",
        "workload": "control",
        "worthBy": "request",
        "zone": 0,
        "zones": list(zones),
    }


class Discovery:
    """Discovery: the whole list, and watches on changes. Calls are answered as soon as there is something newer."""

    def __init__(self, record):
        self.record = record
        self.version = 40
        self.entries = {}
        self.changed_at = {}
        self.told = {}
        self.watch_began = None
        self.busy = None
        self.condition = threading.Condition()
        self.timeout_s = 2.0
        self.place = None
        self._open(0.0)

    def _open(self, busy_s):
        """Opens another address. Calls there have their turn when the calls of others are done, after so many seconds."""
        self.listener = socket.create_server((HOST, 0), backlog=64)
        self.address = "%s:%d" % (HOST, self.listener.getsockname()[1])
        self.place = {"free_at": time.monotonic() + busy_s, "connections": [], "failed_at": None}
        threading.Thread(target=self._accept, args=(self.listener, self.place), daemon=True).start()

    def move(self, planner, busy_s):
        """Moves to another address and tells the planner by its file and SIGHUP. What was there takes no new connection, and
        closes the open ones after 1.5 s."""
        listener, place = self.listener, self.place
        self._open(busy_s)
        listener.close()
        planner.reload(discovery=self.address)
        self.record.add("discovery: moved to another address; SIGHUP is sent to the planner")
        threading.Timer(1.5, self._close_all, (place,)).start()

    def _close_all(self, place):
        for sock in place["connections"]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.add("discovery: the open connections at the former address are closed")

    def put(self, entries):
        """Publishes entries as one new version of the list."""
        with self.condition:
            self.version += 1
            for entry in entries:
                self.entries[entry["id"]] = entry
                self.changed_at[entry["id"]] = self.version
                if entry["state"] == "SERVING":
                    self.told = {key: at for key, at in self.told.items() if key[0] != entry["id"]}
            version = self.version
            self.condition.notify_all()
        self.record.add("discovery: version %d: %s" % (version, " ".join(e["id"] + "=" + e["state"] for e in entries)))

    def full_list(self):
        with self.condition:
            return self._answer(None)

    def _answer(self, since):
        entries = [e for i, e in self.entries.items()
                   if (since is None and e["state"] != "DELETED") or (since is not None and self.changed_at[i] > since)]
        return {"version": self.version, "full": since is None, "servers": entries}

    def _accept(self, listener, place):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            place["connections"].append(sock)
            threading.Thread(target=self._serve, args=(sock, place), daemon=True).start()

    def _serve(self, sock, place):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = sock.recv(4096)
                    if not part:
                        return
                    data += part
                head, data = data.split(b"\r\n\r\n", 1)
                path = head.split(b" ", 2)[1].decode()
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if "=" in p)
                arrived = time.monotonic()
                if place["free_at"] > arrived:
                    time.sleep(min(self.timeout_s, place["free_at"] - arrived))
                    if place["free_at"] - arrived > self.timeout_s:
                        place["failed_at"] = time.monotonic()
                        self.record.add("discovery: a call at the new address waited for too long and ends in 503")
                        sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        continue
                answer = self._wait(query)
                if self.busy and not self._take_turn(sock, query, arrived):
                    continue
                if self.busy:
                    answer = self._answer(int(query["since"]) if "since" in query else None)
                body = json.dumps(answer).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                with self.condition:
                    for entry in answer["servers"]:
                        self.told.setdefault((entry["id"], entry["state"]), time.monotonic())
                if answer["servers"]:
                    self.record.add("discovery: wrote version %d to the planner (%d entries, asked %s)"
                                    % (answer["version"], len(answer["servers"]), path))
        except OSError:
            return
        finally:
            sock.close()

    def _take_turn(self, sock, query, arrived):
        """Waits for the turn of a call while there are too many callers. Returns False if the call got no list.

        A change that the planner would have read had it not hung up counts as told 2 s after the wait of its call is over.
        """
        due = time.monotonic()
        wait = self.busy(due)
        if wait is None:
            return True
        time.sleep(min(wait, 2.0))
        if wait > 2.0:
            self.record.add("discovery: a call of the planner waited for 2 s and ends in 503")
            sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return False
        sock.setblocking(False)
        try:
            hung_up = sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            hung_up = False
        sock.setblocking(True)
        if not hung_up:
            return True
        after = time.monotonic() - arrived
        deemed = arrived + int(query.get("timeout_ms", 0)) / 1000.0 + 2.0
        self.record.add("discovery: the answer is due %.2f s after a call that may wait for %s ms; the planner has hung up"
                        % (after, query.get("timeout_ms")))
        with self.condition:
            since = int(query.get("since", 0))
            for name, changed in self.changed_at.items():
                if changed > since:
                    self.told.setdefault((name, self.entries[name]["state"]), deemed)
        raise OSError("hung up")

    def _wait(self, query):
        since = int(query["since"]) if "since" in query else None
        if since is None:
            return self.full_list()
        if int(query.get("timeout_ms", 0)) > 1000:
            self.watch_began = time.monotonic()
        deadline = time.monotonic() + min(int(query.get("timeout_ms", 0)), 60000) / 1000.0
        with self.condition:
            while self.version <= since and time.monotonic() < deadline:
                self.condition.wait(deadline - time.monotonic())
            return self._answer(since)


class Planner:
    """A planner, started by the deploy file's command `run` with a start file in a folder of its own."""

    def __init__(self, record, folder, settings, discovery, known, sockets=256, port=None):
        self.record = record
        self.port = port or free_port()
        self.address = (HOST, self.port)
        config = {
            "name": "n0", "listen": "%s:%d" % self.address, "discovery": discovery.address, "seed": "%x" % record.seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": settings,
        }
        self.file = os.path.join(folder, "config.json")
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.config = config
        self.folder = folder
        self.process = None

    def start(self):
        environment = dict(os.environ, GW_CONFIG=self.file, GW_NAME="n0", TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "planner.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("the planner ended at its start with %s" % self.process.returncode)
            if self.ping(1.0) is not None:
                self.record.add("planner: process %d answers" % self.process.pid)
                return
            time.sleep(0.05)
        raise CannotRun("the planner does not answer")

    def reload(self, **changed):
        """Replaces the file of the configuration as a whole and sends SIGHUP."""
        self.config.update(changed)
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.file + ".new", self.file)
        self.process.send_signal(signal.SIGHUP)

    def ping(self, limit):
        """Returns the seconds until the planner answered PING on a new connection; None if it did not within the limit."""
        began = time.monotonic()
        try:
            with socket.create_connection(self.address, timeout=limit) as sock:
                sock.sendall(frame({"msg": "PING"}))
                answer = read_frame(sock)
                return time.monotonic() - began if answer and answer.get("msg") == "PONG" else None
        except (OSError, ValueError):
            return None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


def entry(server, zone, state="SERVING", started_ms=0, kind="r3-std", cell=1, port=1):
    return {"id": server, "addr": "%s:%d" % (HOST, port), "zone": zone, "kind": kind, "cell": cell, "state": state,
            "weight": 1.0, "started_ms": started_ms}


def _time_is_over(*_):
    raise CannotRun("it was told to end")


def run_case(path, case):
    """Runs `case` with its record at `path`; it returns a text that says how the rule was broken, or None."""
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case %s, %s the disruption, SEED=%d" % (os.path.basename(os.path.dirname(path)), "with" if trouble else "without", record.seed))
    signal.signal(signal.SIGTERM, _time_is_over)
    started = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = case(record, temporary, trouble, started)
            code = 1 if broken else 0
            record.add("result: " + ("BROKEN: " + broken if broken else "the rule held"))
        except CannotRun as reason:
            code = 2
            record.add("result: could not run: %s" % reason)
        except Exception as reason:  # Nothing about the rule can be said then.
            code = 2
            record.add("result: could not run: %r" % reason)
        finally:
            for process in started:
                process.stop()
            try:
                with open(os.path.join(temporary, "planner.log"), encoding="utf-8", errors="replace") as log:
                    for line in log.read().splitlines()[:400]:
                        record.file.write("   planner log: %s\n" % line)
            except OSError:
                pass
    record.file.flush()
    os._exit(code)
