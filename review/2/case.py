"""Case 2: the servers of a zone are lost at a deployment with a class that keeps to the proxy's zone."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = standin.seed()
LOAD = 0.4
ZONES = ["upper lane", "mid-lane", "low-lane"]
LOST_ZONE = "mid-lane"
LOST_AFTER_S = 12.0
LOST_FOR_S = 5.0
NOTICE_S = 1.5  # how late discovery lists the end of a process
ADD_S = 1.0  # how late it lists a start
ROUTES = [{"name": "scan", "share": 0.42}, {"name": "price quote", "share": 0.28}, {"name": "Gebühr", "share": 0.18},
          {"name": "hand-over", "share": 0.12}]
WORK_MS = {"scan": (60, 90), "price quote": (80, 120), "Gebühr": (70, 110), "hand-over": (90, 140)}
# The classes that may go only to servers of the proxy's zone (`familyInfo.staysLocal`).
OWN_ZONE = ["price quote"]
SETTINGS = {
    "allowed": {"connIdleMs": 20000.0, "connectTimeoutMs": 300.0, "cpuUsPerS": 280000, "peers": True, "probing": True,
                "streamsPerConn": 64},
    "classes": [
        {"name": "scan", "aimMs": 500.0, "deadlineMs": 1600.0, "effect": "retryable", "lateWorth": 0.1, "points": 1.0},
        {"name": "price quote", "aimMs": 700.0, "deadlineMs": 2000.0, "effect": "retryable", "lateWorth": 0.2,
         "points": 2.0},
        {"name": "Gebühr", "aimMs": 900.0, "deadlineMs": 2400.0, "effect": "dedup", "dedupScope": "all",
         "dedupWindowMs": 2200.0, "lateWorth": 0.1, "points": 4.0},
        {"name": "hand-over", "aimMs": 1100.0, "deadlineMs": 3000.0, "effect": "fragile", "lateWorth": 0.05,
         "points": 6.0}],
    "familyInfo": {"connsLeast": 160.0, "cycleMs": 2000.0, "dataPlaneSize": 6, "ejects": 6, "head": 3.0,
                   "linesPerS": 7500.0, "mostWaiting": 10500.0, "mutating": [False, False, True, True],
                   "oneOwner": False, "pushesAllowed": 0, "reportsPerS": 350.0, "retryDefault": 0,
                   "selectsBy": "weighted", "slices": 0, "standing": 5, "staysLocal": [False, True, False, False],
                   "throttleBy": "rate", "transitMs": 200.0, "tryFactor": 0.7, "unservedMaxMs": 3100.0,
                   "updateWindowMs": 10000.0, "worstTransitMs": 500.0, "zonal": True},
    "flavors": ["sorter-4", "sorter-2"],
    "groupSize": 1, "myNumber": 0, "zone": 0, "zones": ZONES,
    "invariants": {"askEveryMs": 10000.0, "drainGraceMs": 1800.0, "fallMs": 2800.0, "fallMultiple": 3.0,
                   "startCapacity": 0.2, "warmUpMs": 14000.0},
    "registryMode": "on_request",
    "report": {"fields": ["busy_reqs", "served_ps"], "how": "inline"},
    "tickMs": 2.0, "weightSource": "rough", "workload": "control", "worthBy": "request",
}


async def lose_zone(world):
    """All processes of the zone's servers end; the machines return cold, under their ids."""
    lost = [s for s in world.servers.values() if s.zone == LOST_ZONE]
    for server in lost:
        server.stop()
    world.record.say(f"the {len(lost)} servers of {LOST_ZONE} are lost")
    await asyncio.sleep(NOTICE_S)
    await world.discovery.publish([server.entry("DELETED") for server in lost])
    await asyncio.sleep(LOST_FOR_S - NOTICE_S)
    for server in lost:
        server.alive, server.busy = True, 0
        server.started_at, server.started_ms = time.monotonic(), time.time() * 1000
        server.cold_from, server.cold_s = 0.3, 10.0
        await server.listen()
    world.record.say(f"the servers of {LOST_ZONE} are back, cold")
    await asyncio.sleep(ADD_S)
    await world.discovery.publish([server.entry("SERVING") for server in lost])


async def case():
    world = standin.World(HERE, SETTINGS, ROUTES, WORK_MS, SEED)
    rng = random.Random(SEED)
    for k in range(15):
        kind, cores, speed = ("sorter-4", 4, 1.05) if k // 3 % 3 else ("sorter-2", 2, 0.8)
        await world.add_server(f"s-{k:02}", ZONES[k % 3], kind, cores, speed * rng.uniform(0.9, 1.1)).listen()
    capacity = sum(s.cores * s.speed for s in world.servers.values())
    work_s = sum(r["share"] * sum(WORK_MS[r["name"]]) / 2000 for r in ROUTES)
    rate = LOAD * capacity / work_s / 6
    foreign = {}

    def check(proxy, route, name):
        if route in OWN_ZONE and world.servers[name].zone != proxy.zone:
            foreign.setdefault(name, []).append(time.monotonic() - world.record.began)
            world.record.line(f"BROKEN proxy {proxy.number} in {proxy.zone} sends a {route} to {name} "
                              f"in {world.servers[name].zone}")
    world.on_sent = check
    await world.discovery.publish([s.entry("SERVING") for s in world.servers.values()])
    planner = standin.Planner(world, "n0", SETTINGS)
    world.planners.append(planner)
    await planner.open()
    try:
        await planner.start()
        for zone in ZONES:
            world.spawn(world.collect(zone, planner, 0.6))
        world.spawn(world.refresh_reports())
        for number in range(6):
            proxy = standin.Proxy(world, number, ZONES[number % 3], rate)
            proxy.standing_table(list(world.servers.values()))
            world.proxies.append(proxy)
            await proxy.join(planner, True)
            world.spawn(proxy.run())
        await asyncio.sleep(LOST_AFTER_S)
        if TROUBLE:
            await lose_zone(world)
        else:
            await asyncio.sleep(LOST_FOR_S + ADD_S)
        await asyncio.sleep(5)
        world.check_planners()
    finally:
        await world.close()
    world.record.say(f"asked {world.asked}, answered {world.answered}, refused {world.refused}, lost {world.lost}")
    if foreign:
        times = sorted(at for all_of in foreign.values() for at in all_of)
        world.record.say(f"rule broken: {len(times)} requests of {OWN_ZONE[0]!r} went to {len(foreign)} servers of other "
                         f"zones, from {times[0]:.1f} s to {times[-1]:.1f} s")
        return False
    world.record.say(f"rule held: every request of {OWN_ZONE[0]!r} stayed in its zone")
    return True


standin.main(case)
