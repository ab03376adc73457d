"""The deployment deploy/sites/four-lanes.toml: three zones, 15 servers, 6 proxies, one planner; and the loss of a zone."""

import asyncio
import random
import time

import standin

ZONES = ["upper lane", "mid-lane", "low-lane"]
LOST_ZONE = "mid-lane"
LOST_AFTER_S = 12.0
LOST_FOR_S = 5.0  # FLEET.md: "a zone is lost for 5 s"
NOTICE_S = 1.5  # how late discovery lists the end of a process: 0.9 to 3.7 s
ADD_S = 1.0  # how late it lists a start: 0.3 to 1.8 s
# A cold server starts with this part of its capacity and is warm after this time, evenly: 0.2 to 0.4 and 6 to 14 s.
COLD_FROM, COLD_S = 0.2, 14.0
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


def add_servers(world):
    """Adds five servers for each zone, three of them large. The speed of a core is 0.9 to 1.2 in a large server and 0.7 to 0.95
    in a small one; the list tells the size roughly."""
    rng = random.Random(world.seed)
    for k in range(15):
        kind, cores, slow, fast = ("sorter-4", 4, 1.08, 1.2) if k // 3 % 3 else ("sorter-2", 2, 0.7, 0.76)
        speed = rng.uniform(slow, fast)
        weight = round(cores * speed * rng.uniform(0.8, 1.2) / 3.5, 2)
        world.add_server(f"s-{k:02}", ZONES[k % 3], kind, cores, speed, weight=weight)


def proxy_rate(world, load):
    """Requests per second of each of the six proxies, for a load that is a part of the capacity of all servers."""
    capacity = sum(server.cores * server.speed for server in world.servers.values())
    work_s = sum(route["share"] * sum(WORK_MS[route["name"]]) / 2000 for route in ROUTES)
    return load * capacity / work_s / 6


async def lose_zone(world):
    """The processes of the zone's servers end; the servers return cold, under their ids."""
    lost = [server for server in world.servers.values() if server.zone == LOST_ZONE]
    for server in lost:
        server.stop()
    world.record.say(f"the {len(lost)} servers of {LOST_ZONE} are lost")
    await asyncio.sleep(NOTICE_S)
    await world.discovery.publish([server.entry("DELETED") for server in lost])
    await asyncio.sleep(LOST_FOR_S - NOTICE_S)
    for server in lost:
        server.alive, server.busy = True, 0
        server.started_at, server.started_ms = time.monotonic(), time.time() * 1000
        server.cold_from, server.cold_s = COLD_FROM, COLD_S
        await server.listen()
    world.record.say(f"the servers of {LOST_ZONE} are back, cold")
    await asyncio.sleep(ADD_S)
    await world.discovery.publish([server.entry("SERVING") for server in lost])


async def play(world, loads, trouble, after_s):
    """Plays the day: `loads` has the load of each zone's proxies, as a part of the capacity of all servers. The rules are
    checked by `world.on_sent`; the day goes on for `after_s` after the zone is listed again."""
    add_servers(world)
    for server in world.servers.values():
        await server.listen()
    await world.discovery.publish([server.entry("SERVING") for server in world.servers.values()])
    planner = standin.Planner(world, "n0", SETTINGS)
    world.planners.append(planner)
    await planner.open()
    try:
        await planner.start()
        for zone in ZONES:
            world.spawn(world.collect(zone, planner, 0.6))
        world.spawn(world.refresh_reports())
        for number in range(6):
            zone = ZONES[number % 3]
            proxy = standin.Proxy(world, number, zone, proxy_rate(world, loads[zone]))
            proxy.standing_table(list(world.servers.values()))
            world.proxies.append(proxy)
            await proxy.join(planner, True)
            world.spawn(proxy.run())
        await asyncio.sleep(LOST_AFTER_S)
        if trouble:
            await lose_zone(world)
        else:
            await asyncio.sleep(LOST_FOR_S + ADD_S)
        await asyncio.sleep(after_s)
        world.check_planners()
    finally:
        await world.close()
    world.record.say(f"asked {world.asked}, answered {world.answered}, refused {world.refused}, lost {world.lost}")
