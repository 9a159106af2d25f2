"""An entry that can't be read stands among those of the workers."""

import asyncio
import random
import sys
from pathlib import Path

from standins.client import Client
from standins.deployment import Deployment, run_case

ROUTERS = 3
CLIENTS_PER_ROUTER = 12
# An entry of three kilobytes. A store record may have 262,144 bytes.
ENTRY = (
    b'{"service":"courses","address":"10.0.0.9:8080","zone":"vulcano","state":"ready",'
    b'"slots":6,"sequence":1,"labels":' + b"[" * 1500 + b"]" * 1500 + b"}"
)
CALM_S = 2.0
AFTER_S = 16.0
# As many ends a machine, on two machines, break the rule on faults.
ENDS = 3
MACHINES = 2
# More requests of kept connections than this, without an answer, break LOST.
LOST = 3


async def _keep_calling(deployment: Deployment, client: Client, until_s: float) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until_s:
        number += 1
        if number % 3:
            target = f"/places/{random.randrange(40)}"
            await deployment.send(client, "GET", target)
        else:
            await deployment.send(client, "POST", "/enrol/walk", b"family of four")
        await asyncio.sleep(random.uniform(0.05, 0.25))
    client.close()


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Play the case; return whether a rule was broken."""
    await deployment.start_store()
    for number, zone in enumerate(("bosco-nord", "vulcano", "colline") * 2):
        await deployment.start_worker(
            f"i-course{number}", "courses", zone, 6, work_s=0.09
        )
    for number in range(ROUTERS):
        deployment.start_router(deployment.add_router(number))
    await deployment.wait_until_in_touch()
    until_s = asyncio.get_running_loop().time() + CALM_S + AFTER_S
    clients = [
        asyncio.ensure_future(
            _keep_calling(deployment, deployment.client(router), until_s)
        )
        for router in deployment.routers
        for _ in range(CLIENTS_PER_ROUTER)
    ]
    await asyncio.sleep(CALM_S)
    before = len(deployment.outcomes)
    if trouble:
        deployment.say(f"another writer puts an entry of {len(ENTRY)} bytes")
        await deployment.store.put("keyed.servers", "i-foreign", ENTRY)
    await asyncio.gather(*clients)
    later = deployment.outcomes[before:]
    deployment.say(f"answers to clients: {deployment.summary()}")
    served = sum(o.succeeded for o in later)
    deployment.say(f"after the entry: {served} of {len(later)} requests were served")
    deployment.report_ends()
    lost = deployment.lost()
    deployment.say(f"kept connections closed with a request at a worker: {len(lost)}")
    failing = [r for r in deployment.routers if len(r.ends) >= ENDS]
    return len(failing) >= MACHINES or len(lost) > LOST


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
