"""Clients offer another protocol in a header that concerns their connection only."""

import asyncio
import hashlib
import json
import random
import sys
from pathlib import Path

from standins.client import Client
from standins.deployment import Deployment, run_case

ROUTERS = 2
CLIENTS_PER_ROUTER = 6
REQUESTS = 20
# Share of the clients that offer another protocol.
OFFERING = 0.5
# As RFC 9110, section 7.8, and RFC 7540, section 3.2, have it. A server that does not
# want the other protocol ignores it and answers the request as usual.
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQCAAAAAAIAAAAA",
}


async def _enrol(deployment: Deployment, client: Client, headers: dict) -> None:
    for number in range(REQUESTS):
        body = json.dumps({"walk": random.randrange(40), "seats": number + 1}).encode()
        await deployment.send(client, "POST", "/enrol/walk", body, headers=headers)
        await asyncio.sleep(random.uniform(0.02, 0.1))
    client.close()


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    await deployment.start_store()
    for number, zone in enumerate(("bosco-nord", "vulcano", "colline")):
        await deployment.start_worker(
            f"i-course{number}", "courses", zone, 6, work_s=0.05
        )
    for number in range(ROUTERS):
        deployment.start_router(deployment.add_router(number))
    await deployment.wait_until_in_touch()
    await asyncio.gather(
        *(
            _enrol(
                deployment,
                deployment.client(router),
                OFFER if trouble and number < OFFERING * CLIENTS_PER_ROUTER else {},
            )
            for router in deployment.routers
            for number in range(CLIENTS_PER_ROUTER)
        )
    )
    sent = {o.request_id: o for o in deployment.outcomes}
    changed = 0
    for run in deployment.runs:
        outcome = sent[run["id"]]
        expected = hashlib.sha256(outcome.body).hexdigest()[:16]
        if run["did"] == "run" and run["body_sha"] != expected:
            changed += 1
            deployment.write(
                "changed",
                id=run["id"],
                sent_bytes=len(outcome.body),
                run_bytes=run["body_bytes"],
                offered="Upgrade" in outcome.headers,
                status=outcome.answer.status if outcome.answer else "none",
            )
    runs = sum(run["did"] == "run" for run in deployment.runs)
    deployment.say(f"answers to clients: {deployment.summary()}")
    deployment.say(f"requests that ran with another body: {changed} of {runs}")
    return changed > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
