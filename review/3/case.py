"""Case 3: a zone is lost at a deployment with a class that keeps to the proxy's zone."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import four_lanes  # noqa: E402
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOAD = 0.4
# The classes that may go only to servers of the proxy's zone (`familyInfo.staysLocal`).
OWN_ZONE = ["price quote"]


async def case():
    world = standin.World(HERE, four_lanes.SETTINGS, four_lanes.ROUTES, four_lanes.WORK_MS, standin.seed())
    foreign = []

    def check(proxy, route, name, _work_s):
        zone = world.servers[name].zone
        if route in OWN_ZONE and zone != proxy.zone:
            foreign.append((time.monotonic() - world.record.began, name))
            world.record.line(f"BROKEN proxy {proxy.number} in {proxy.zone} sends a {route} to {name} in {zone}")
    world.on_sent = check
    await four_lanes.play(world, {zone: LOAD for zone in four_lanes.ZONES}, TROUBLE, 5.0)
    if foreign:
        world.record.say(f"rule broken: {len(foreign)} requests of {OWN_ZONE[0]!r} went to "
                         f"{len({name for _, name in foreign})} servers of other zones, from {foreign[0][0]:.1f} s to "
                         f"{foreign[-1][0]:.1f} s")
        return False
    world.record.say(f"rule held: every request of {OWN_ZONE[0]!r} stayed in its zone")
    return True


standin.main(case)
