"""Small deployments of the sites, with figures from within the ranges of their pages.

What a site's page doesn't give is taken from the example of the wire page (unservedMaxMs, askEveryMs, holdMs, tenureMs, writeLifeMs) or
chosen here: what kinds of machine there are in which zone, how the load is divided among the proxies, an even rise of a cold
server's capacity, an exponential way of a message that is cut at worstTransitMs. Probes are off, so servers need no address.
"""

import random
import time

from standins import zeilenwerk_settings
from world import Proxy, Server


def zeilenwerk(random_seed=3, servers=15, proxies=12, load=0.6):
    """Settings, figures, servers and proxies of zeilenwerk-bayern; `load` is the part of all capacity that is asked for."""
    settings = zeilenwerk_settings(proxies)
    zones = settings["zones"]
    draw = random.Random(random_seed)
    kinds = [("r2-fast", 2, 1.3), ("r3-std", 3, 0.95), ("r2-old", 2, 0.7)]
    fleet = []
    for number in range(servers):
        kind, cores, speed = kinds[number // len(zones) % len(kinds)]
        server = Server("r-%02d" % number, zones[number % len(zones)], cores, speed)
        server.kind = kind
        fleet.append(server)
    figures = dict(redial_s=(0.45, 2.0), eject_s=(2.4, 6.3), load=1.0, share=(0.61, 0.39), work_ms=(245, 160),
                   heard_late_s=(0.46, 1.6), noise=0.2, util_noise=0.08)
    return settings, figures, fleet, _proxies(draw, settings, fleet, proxies, load, figures)


def kolkata(random_seed=3, servers=18, proxies=12, load=0.6):
    """The same of kolkata-metro. A message takes 440 ms on average and 1,100 ms at the longest: the upper end of the page's
    range of the average, and the longest in the ratio of the wire page's example (157 and 392.5)."""
    settings = zeilenwerk_settings(proxies, ("salt-lake", "new-town", "howrah"))
    route = dict(dedupScope="all", dedupWindowMs=5000.0, effect="retryable", deadlineMs=5000.0, lateWorth=0.1)
    settings["classes"] = [dict(route, name="balance", aimMs=1500.0, points=1.0),
                           dict(route, name="redeem-quote", aimMs=2000.0, points=2.0)]
    settings["familyInfo"].update(
        connsLeast=116.0, cycleMs=500.0, ejects=5, head=3.0, linesPerS=9200.0, mostWaiting=13800.0, mutating=[False, False],
        orderPrice=0.02, pushesAllowed=12, reportsPerS=1000.0, retryDefault=1, transitMs=440.0, worstTransitMs=1100.0,
        tryFactor=1.2)
    settings["invariants"].update(drainGraceMs=1500.0, fallMs=2000.0, fallMultiple=4.0, startCapacity=0.26, warmUpMs=16000.0)
    settings["flavors"] = ["gen3", "gen2", "gen1"]
    zones = settings["zones"]
    draw = random.Random(random_seed)
    kinds = [("gen3", 2, 1.3), ("gen2", 2, 0.95), ("gen1", 2, 0.7)]
    fleet = []
    for number in range(servers):
        kind, cores, speed = kinds[number // len(zones) % len(kinds)]
        server = Server("b-%02d" % number, zones[number % len(zones)], cores, speed)
        server.kind = kind
        fleet.append(server)
    figures = dict(redial_s=(0.17, 2.0), eject_s=(2.5, 7.8), load=1.0, share=(0.66, 0.34), work_ms=(220, 365),
                   heard_late_s=(0.7, 1.5), noise=0.18, util_noise=0.1)
    return settings, figures, fleet, _proxies(draw, settings, fleet, proxies, load, figures)


def _proxies(draw, settings, fleet, count, load, figures):
    mean_work = sum(share * work for share, work in zip(figures["share"], figures["work_ms"]))
    able = sum(1000.0 * server.cores * server.speed for server in fleet) / mean_work
    parts = [draw.uniform(0.6, 1.4) for _ in range(count)]
    zones = settings["zones"]
    classes = [route["name"] for route in settings["classes"]]
    proxies = []
    for number, part in enumerate(parts):
        zone = zones[number % len(zones)]
        local = [server.name for server in fleet if server.zone == zone]
        proxies.append(Proxy(number, zone, load * able * part / sum(parts), classes, local))
    return proxies


def unix_ms():
    return int(time.time() * 1000)
