"""A client that sends PING without end, and a drain while it does."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from sites import zeilenwerk  # noqa: E402
from standins import CannotRun, Discovery, Planner, entry, frame, run_case  # noqa: E402
from world import World  # noqa: E402

DRAINED = "r-01"
FLOOD_S = 20.0


class EndlessClient(threading.Thread):
    """One connection that sends PING after PING, as fast as the socket takes them, until it is closed or the time is over."""

    def __init__(self, record, address):
        super().__init__(daemon=True)
        self.record, self.address = record, address
        self.began = self.closed_after = None
        self.sent = 0

    def run(self):
        pings = frame({"msg": "PING"}) * 2000
        sock = socket.create_connection(self.address, timeout=FLOOD_S)
        self.began = time.monotonic()
        self.record.add("endless client: connected")
        while time.monotonic() - self.began < FLOOD_S:
            try:
                self.sent += sock.send(pings)
            except OSError:
                self.closed_after = time.monotonic() - self.began
                break
        ended = "its connection ended after %.1f s" % self.closed_after if self.closed_after else "not closed for %.0f s, ends by itself" % FLOOD_S
        self.record.add("endless client: %d bytes sent, %s" % (self.sent, ended))
        sock.close()


def case(record, folder, trouble, started):
    settings, figures, servers, proxies = zeilenwerk()
    discovery = Discovery(record)
    discovery.put([entry(server.name, server.zone, kind=server.kind) for server in servers])
    planner = Planner(record, folder, settings, discovery, discovery.full_list())
    started.append(planner)
    planner.start()
    world = World(record, settings, figures, servers, proxies, discovery, planner)
    world.run(10)
    if not all(DRAINED in table for proxy in proxies for table in proxy.tables.values()):
        raise CannotRun("the planner gave not every proxy a line to " + DRAINED)
    client = EndlessClient(record, planner.address)
    if trouble:
        client.start()
        world.run(1)
    discovery.put([dict(discovery.entries[DRAINED], state="DRAINING")])
    pings = []
    pinger = threading.Thread(target=lambda: pings.append(planner.ping(6.0)), daemon=True)
    pinger.start()
    world.run(15)
    pinger.join()
    told = discovery.told.get((DRAINED, "DRAINING"))
    if told is None:
        raise CannotRun("discovery did not write the drain to the planner")
    record.add("another client: PING was answered %s" % ("after %.3f s" % pings[0] if pings[0] is not None else "not at all for 6 s"))
    record.add("the drain was written to the planner at %.3f; the grace is %.1f s" % (told - record.began, world.rules["grace"]))
    record.add(world.summary())
    if planner.process.poll() is not None:
        return "the planner ended with %s" % planner.process.returncode
    if not world.late_sends:
        return None
    latest = max(late for _, _, _, late in world.late_sends)
    closing = "and the client was not closed" if client.began and client.closed_after is None else ""
    return ("drain: %d requests to %s after the grace and its slack, the last %.1f s after the grace %s"
            % (len(world.late_sends), DRAINED, latest, closing)).strip()


run_case(os.path.join(HERE, "record.txt"), case)
