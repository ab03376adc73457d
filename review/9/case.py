"""Discovery has too many callers for some seconds, and a drain is due in that time."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from sites import zeilenwerk  # noqa: E402
from standins import CannotRun, Discovery, Planner, entry, run_case  # noqa: E402
from world import World  # noqa: E402

SPELLS = 4
SPELL_S = 4.2
FIRST_WAIT_S = 1.6


class Callers:
    """Too many callers at discovery, which handles calls one after another, for one spell at a time.

    The call that is due when they come waits for 1.6 s; one that comes later in the spell would wait for over 2 s.
    """

    def __init__(self):
        self.began = None

    def __call__(self, due):
        if self.began is None or due > self.began + SPELL_S:
            return None
        return FIRST_WAIT_S if due < self.began + 0.5 else 3.0


def case(record, folder, trouble, started):
    settings, figures, servers, proxies = zeilenwerk()
    discovery = Discovery(record)
    discovery.put([entry(server.name, server.zone, kind=server.kind) for server in servers])
    planner = Planner(record, folder, settings, discovery, discovery.full_list())
    started.append(planner)
    planner.start()
    world = World(record, settings, figures, servers, proxies, discovery, planner)
    world.run(12)
    callers = Callers()
    discovery.busy = callers if trouble else None
    for spell in range(SPELLS):
        drained = servers[spell]
        if not all(drained.name in table for proxy in proxies for table in proxy.tables.values()):
            record.add("not every proxy has a line to " + drained.name)
        seen = discovery.watch_began
        if not world.run(8, until=lambda: discovery.watch_began != seen):
            raise CannotRun("the planner does not watch the list")
        world.run(max(0.0, discovery.watch_began + 3.2 - time.monotonic()))
        if trouble:
            callers.began = time.monotonic()
            record.add("discovery: too many callers from now on, for %.1f s" % SPELL_S)
        discovery.put([dict(discovery.entries[drained.name], state="DRAINING")])
        world.run(14)
        told = world.told(drained.name)
        if told is None:
            raise CannotRun("the drain of %s was not told" % drained.name)
        record.add("the drain of %s counts as told at %.3f" % (drained.name, told - record.began))
    record.add(world.summary())
    if planner.process.poll() is not None:
        return "the planner ended with %s" % planner.process.returncode
    if not world.late_sends:
        return None
    latest = max(late for _, _, _, late in world.late_sends)
    return ("drain: %d requests to draining servers after the grace and its slack, the latest %.0f ms after the grace"
            % (len(world.late_sends), 1000 * latest))


run_case(os.path.join(HERE, "record.txt"), case)
