"""Two rolling deploys, each drain right after a message of the planner."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

from sites import kolkata, unix_ms  # noqa: E402
from standins import CannotRun, Discovery, Planner, entry, run_case  # noqa: E402
from world import World  # noqa: E402

DEPLOYS = 2
AT_A_TIME = 3
STEPS = 5
STEP_S = 5.0


def case(record, folder, trouble, started):
    settings, figures, servers, proxies = kolkata()
    discovery = Discovery(record)
    discovery.put([entry(server.name, server.zone, kind=server.kind) for server in servers])
    planner = Planner(record, folder, settings, discovery, discovery.full_list())
    started.append(planner)
    planner.start()
    world = World(record, settings, figures, servers, proxies, discovery, planner)
    world.run(14)
    if not any(proxy.cold for proxy in proxies) and len(world.message_log) > len(proxies):
        record.add("all proxies have tables; weights change")
    else:
        raise CannotRun("the planner sent no tables or no changes")
    due = []
    for _ in range(DEPLOYS):
        for step in range(STEPS):
            replaced = servers[step * AT_A_TIME:(step + 1) * AT_A_TIME]
            began = time.monotonic()
            seen = len(world.message_log)
            world.run(2.5, until=lambda: len(world.message_log) > seen)
            if trouble:
                record.add("deploy: draining %s, %.0f ms after the last message"
                           % (" ".join(s.name for s in replaced), 1000 * (time.monotonic() - world.message_log[-1][0])))
                discovery.put([dict(discovery.entries[s.name], state="DRAINING") for s in replaced])
                due.append(replaced)
            while time.monotonic() - began < STEP_S:
                world.run(0.05)
                if trouble and due and time.monotonic() - began > 4.4:
                    restart(world, due.pop(0))
        world.run(20)
    record.add(world.summary())
    if planner.process.poll() is not None:
        return "the planner ended with %s" % planner.process.returncode
    if not world.late_sends:
        return None
    latest = max(late for _, _, _, late in world.late_sends)
    return ("drain: %d requests to draining servers after the grace and its slack, the latest %.0f ms after the grace"
            % (len(world.late_sends), 1000 * latest))


def restart(world, replaced):
    """The drained servers are replaced by new processes, which start cold and are listed at once."""
    for server in replaced:
        server.restart(time.monotonic(), 0.35, 10.0)
    listed = world.discovery.entries
    world.discovery.put([dict(listed[s.name], state="SERVING", started_ms=unix_ms()) for s in replaced])


run_case(os.path.join(HERE, "record.txt"), case)
