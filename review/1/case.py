"""A host crashes and starts again under the id that it had. Flows that opened
at the new boot before the instances knew of it are used again 6 s later."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standin"))
from world import BOUNDS, Host, World, main  # noqa: E402

ZONES = ("sapporo", "asahikawa", "kushiro")
SERVICE = "till-ledger"
RESTART_S = 0.1      # from the crash to the start of the next boot
PAUSE_S = 6.0        # between two requests of a flow; below idle-timeout-ms


def build(folder):
    return World(folder, ZONES, (3, 3, 2))


async def keep_flow(world, zone, route, results):
    """Two requests over one flow, with a pause between them."""
    flow = world.new_flow(zone, route)
    if await flow.open():
        first = await flow.request(world.new_id())
        await asyncio.sleep(PAUSE_S)
        if flow.state == "open" and first:
            second = await flow.request(world.new_id())
            results.append((flow, second))
    flow.close()


async def play(world, trouble):
    route = (world.ip(250, 1), 443)
    world.put_config([route + (SERVICE, "non_idempotent")], [(SERVICE, 2.0, 0.0)])
    hosts = []
    for zone, count in zip(ZONES, (5, 5, 4)):
        for index in range(count):
            host = Host(world, SERVICE, zone, world.host_ip(zone, index), slots=3, queue=12)
            await host.start()
            hosts.append(host)
    await world.until_ready()
    for zone in ZONES:
        world.spawn(world.load(zone, route, 20))
    await asyncio.sleep(6)
    results, flows, crashes = [], [], {}
    for victim in hosts[:4]:  # one of 14 hosts at a time
        if trouble:
            victim.crash()
            await asyncio.sleep(RESTART_S)
            again = Host(world, SERVICE, victim.zone, victim.ip, ident=victim.ident, slots=3,
                         queue=12)
            await again.start()
            crashes[victim.ident] = victim.ended_s
        for _ in range(60):
            flows.append(world.spawn(keep_flow(world, "sapporo", route, results)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
    await asyncio.gather(*flows)
    bad = [(flow, at) for flow, by_system, host, lives, at in world.resets
           if by_system and lives and
           at - crashes.get(host.ident, -99) > BOUNDS["contact-ms"] / 1000]
    world.note("flows used twice=%d answered=%d; resets by the system on open flows of a living "
               "host, more than contact-ms after its crash=%d", len(results),
               sum(1 for _, answer in results if answer), len(bad))
    print("FLOW: %d of %d flows were reset by the system while their host lived and held them" %
          (len(bad), len(results)))
    return bool(bad)


if __name__ == "__main__":
    main(HERE, build, play)
