"""The operator changes the desired state: a route is dropped, and one is added
whose service has a name of 40 characters."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standin"))
from world import BOUNDS, Host, World, main  # noqa: E402

ZONES = ("sapporo", "asahikawa", "kushiro")
LEDGER, DESK = "till-ledger", "statement-desk"
SHORT, LONG = "monthly-petty-cash", "hokkaido-monthly-petty-cash-reimbursement"
APPLY_S = BOUNDS["config-apply-ms"] / 1000


def build(folder):
    return World(folder, ZONES, (3, 3, 2))


async def play(world, trouble):
    kept, dropped = (world.ip(250, 1), 443), (world.ip(250, 2), 443)
    added, new = (world.ip(250, 3), 443), LONG if trouble else SHORT
    services = [(LEDGER, 2.0, 0.0), (DESK, 2.0, 0.0)]
    world.put_config([kept + (LEDGER, "idempotent"), dropped + (DESK, "idempotent")], services)
    for zone in ZONES:
        for index, service in enumerate((LEDGER, LEDGER, DESK)):
            await Host(world, service, zone, world.host_ip(zone, index), slots=3, queue=12).start()
    await world.until_ready()
    for zone in ZONES:
        world.spawn(world.load(zone, kept, 10))
    await asyncio.sleep(4)
    acknowledged_s = world.put_config(
        [kept + (LEDGER, "idempotent"), added + (LEDGER, "idempotent"),
         (world.ip(250, 4), 443, new, "idempotent")], services + [(new, 2.0, 0.0)])
    for zone in ZONES:
        await Host(world, new, zone, world.host_ip(zone, 8), slots=3, queue=12).start()
    await asyncio.sleep(APPLY_S + 4)
    late, results = world.now() - acknowledged_s, {}
    for name, route in (("dropped", dropped), ("added", added), ("kept", kept)):
        answers = await asyncio.gather(*[world.one_request(zone, route)
                                         for zone in ZONES for _ in range(10)])
        results[name] = sum(1 for answer in answers if answer)
    world.note("requests sent %.1f s or more after the acknowledgement, of 30 each: run on the "
               "dropped route=%d, on the added one=%d, on the kept one=%d", late,
               results["dropped"], results["added"], results["kept"])
    print("CONFIG: %.1f s after the change %d of 30 requests ran with the dropped route, and %d "
          "of 30 were refused though their route is there" %
          (late, results["dropped"], 30 - results["added"]))
    return results["dropped"] > 0 or results["added"] < 15


if __name__ == "__main__":
    main(HERE, build, play)
