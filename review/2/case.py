"""Case 2: a zone is lost and returns cold at a deployment with a class that keeps to the proxy's zone."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import four_lanes  # noqa: E402
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOAD = 0.66  # of the capacity; 0.5 to 0.66 on days with trouble
SKEW = 0.3  # the part by which the lost zone has more load than the mean: 0.1 to 0.3
GRACE_S = four_lanes.SETTINGS["invariants"]["drainGraceMs"] / 1000
FALL_S = four_lanes.SETTINGS["invariants"]["fallMs"] / 1000
FALL_MULTIPLE = four_lanes.SETTINGS["invariants"]["fallMultiple"]
SLACK = 1.1  # "plus a little slack for chance"
KNOWING = 2 / 3


def knows(proxy, name, now):
    """True if the proxy's last message was sent knowing of the server's start, or the planner has known for the grace."""
    told_at = proxy.planner.told_start.get(name)
    return told_at is not None and (proxy.last_message >= told_at or now - told_at >= GRACE_S)


async def case():
    world = standin.World(HERE, four_lanes.SETTINGS, four_lanes.ROUTES, four_lanes.WORK_MS, standin.seed())
    fallen, worst = [], [0.0]

    def check(proxy, _route, name, work_s):
        server = world.servers[name]
        if server.started_at is None or not server.alive:
            return
        now = time.monotonic()
        server.sent.append((now, work_s, knows(proxy, name, now)))
        while server.sent[0][0] < now - FALL_S:
            server.sent.popleft()
        if server.capacity() >= 1.0 or now - server.started_at < FALL_S:
            return
        # The capacity rises evenly, so its mean over the window is that at the middle.
        full = server.cores * server.speed
        middle = now - FALL_S / 2 - server.started_at
        capacity = full * (server.cold_from + (1 - server.cold_from) * min(1.0, middle / server.cold_s))
        work = sum(work_s for _, work_s, _ in server.sent)
        knowing = sum(work_s for _, work_s, known in server.sent if known)
        multiple = work / (capacity * FALL_S)
        worst[0] = max(worst[0], multiple)
        if multiple > SLACK * FALL_MULTIPLE:
            age = now - server.started_at
            world.record.line(f"{name} falls over {age:.1f} s after its start: in the last {FALL_S} s it was sent {multiple:.2f} "
                              f"times what it could do, {100 * knowing / work:.0f}% of it knowing of the start")
            server.stop()
            if knowing >= KNOWING * work:
                fallen.append(name)
                world.record.line(f"BROKEN by {name}")
    world.on_sent = check
    loads = {zone: LOAD * (1 + SKEW if zone == four_lanes.LOST_ZONE else 1 - SKEW / 2) for zone in four_lanes.ZONES}
    await four_lanes.play(world, loads, TROUBLE, 14.0)
    world.record.say(f"a cold server was sent up to {worst[0]:.2f} times what it could do; {FALL_MULTIPLE} are allowed")
    if fallen:
        world.record.say(f"rule broken: {len(fallen)} cold servers fell over: {', '.join(fallen)}")
        return False
    world.record.say("rule held: no cold server fell over")
    return True


standin.main(case)
