"""Two model workers crash one after the other while learners open a manual."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

from standins.client import Client
from standins.deployment import CannotRunError, Deployment, Router, run_case

ROUTERS = 3
WORKERS = 12
# Time to the first event of a long prompt on a worker that reads several.
FIRST_S = 1.5
EVENTS = 20
GAP_S = 0.05
# Learners who open the same page of the manual at once.
GROUP = 9
# Learners who each open another page of it after the first crash.
OTHERS = 30
BOOKING_CLIENTS = 20
CALM_S = 2.0
BETWEEN_CRASHES_S = 0.6
AFTER_S = 6.0
DEADLINE_S = 10.0
# More requests of kept connections than this, without an answer, break LOST.
LOST = 3


async def _keep_booking(deployment: Deployment, client: Client, until_s: float) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        target = f"/places/{random.randrange(1000000)}"
        await deployment.send(client, "GET", target)
        await asyncio.sleep(random.uniform(0.02, 0.1))
    client.close()


async def _open_page(
    deployment: Deployment, client: Client, page: str, learner: int
) -> None:
    parts = f"a1:10500,{page}:1300,f{learner:06x}:200"
    headers = {
        "Cranberrysail-Model": "m",
        "Cranberrysail-Token-Usage": "12000,200",
        "Cranberrysail-Prompt-Prefix": parts,
    }
    body = f"page {page} for learner {learner}".encode()
    await deployment.send(
        client, "POST", "/manual/page", body, DEADLINE_S, headers=headers
    )


async def _warm_clients(deployment: Deployment, router: Router) -> list[Client]:
    """Return clients whose connections have been used."""
    clients = [deployment.client(router) for _ in range(GROUP + OTHERS)]
    await asyncio.gather(
        *(
            deployment.send(client, "GET", f"/places/first{number}")
            for number, client in enumerate(clients)
        )
    )
    return clients


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Play the case; return whether a rule was broken."""
    await deployment.start_store()
    zones = ("bosco-nord", "vulcano", "colline")
    for number in range(WORKERS):
        await deployment.start_worker(
            f"i-model{number}",
            "models",
            zones[number % 3],
            64,
            first_s=FIRST_S,
            events=EVENTS,
            gap_s=GAP_S,
        )
    for number in range(3):
        await deployment.start_worker(
            f"i-course{number}", "courses", zones[number], 6, work_s=0.09
        )
    for number in range(ROUTERS):
        deployment.start_router(deployment.add_router(number))
    await deployment.wait_until_in_touch()
    end_s = asyncio.get_running_loop().time() + CALM_S + BETWEEN_CRASHES_S + AFTER_S
    tasks = [
        asyncio.ensure_future(
            _keep_booking(deployment, deployment.client(router), end_s)
        )
        for router in deployment.routers
        for _ in range(BOOKING_CLIENTS)
    ]
    clients = await _warm_clients(deployment, deployment.routers[0])
    await asyncio.sleep(CALM_S)

    for learner in range(GROUP):
        tasks.append(
            asyncio.ensure_future(
                _open_page(deployment, clients[learner], "b0", learner)
            )
        )
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    pages = [r for r in deployment.runs if r["target"] == "/manual/page"]
    readers = Counter(run["worker"] for run in pages).most_common()
    deployment.say(f"the page of the group is read by {readers}")
    if len(readers) < 2:
        raise CannotRunError("one worker reads the page for the whole group")
    first, second = (deployment.workers[name] for name, _ in readers[:2])
    crashed_s = asyncio.get_running_loop().time()
    if trouble:
        deployment.crash_worker(first)
    await asyncio.sleep(0.15)
    for other in range(OTHERS):
        learner = GROUP + other
        tasks.append(
            asyncio.ensure_future(
                _open_page(deployment, clients[learner], f"c{other:02x}", learner)
            )
        )
        await asyncio.sleep(0.01)
    rest_s = crashed_s + BETWEEN_CRASHES_S - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, rest_s))
    if trouble:
        deployment.crash_worker(second)
    await asyncio.gather(*tasks)
    deployment.say(f"answers to clients: {deployment.summary()}")
    deployment.report_ends()
    lost = deployment.lost()
    deployment.say(f"kept connections closed with a request at a worker: {len(lost)}")
    return len(lost) > LOST


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
