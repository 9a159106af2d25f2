"""A router process outlives callers that send without end, or do not read.

Guards against a process that keeps what such callers send or do not read until its
host has no memory left, or accepts connections until it has no descriptors left.
"""

import asyncio
import contextlib
from pathlib import Path

import pytest

from cranberrysail.platform.settings import ADMIN_PORT
from tests.processes.fleet import Fleet
from tests.processes.hostilecallers import FLOODS, Crowd, send_ordinary_request

# Settings of the router under test. The smallest hosts have 200 MB and 4,100
# descriptors; the crowd is smaller, too.
MEMORY_MB = 80
# The 200 for files, and 90 for connections.
FILE_DESCRIPTORS = 290
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n"
# Most that the process may open besides what it has open at the start.
MAX_CONNECTIONS = FILE_DESCRIPTORS - 200
SAMPLE_INTERVAL_S = 0.02
# The traffic ends by then at the latest; the connections stay open.
TRAFFIC_S = 25.0
TEST_TIMEOUT_S = 110
CASES = [("front", flood) for flood in FLOODS] + [
    (listener, flood)
    for listener in ("peers", "ready", "admin")
    for flood in ("lines-without-end", "small-chunks", "legal-heads", "idle")
]
CASES.append(("admin", "unread-responses"))


def peak_kb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1])


def count_descriptors(pid):
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


async def sample_descriptors(pid, samples):
    while True:
        with contextlib.suppress(OSError):
            samples.append(count_descriptors(pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def play(folder, listener, flood_name):
    """Return ends of the process, its peak, open descriptors, and a status."""
    fleet = Fleet(str(folder))
    try:
        router = await fleet.start_one_router(LIMITS)
        pid = router.process.pid
        samples = [count_descriptors(pid)]
        sampler = asyncio.ensure_future(sample_descriptors(pid, samples))
        ports = {
            "front": router.front,
            "peers": router.peers,
            "ready": router.ready,
            "admin": ADMIN_PORT,
        }
        if flood_name == "unread-bodies":
            fleet.endpoints["p0"].set_mode("deaf")
        crowd = Crowd(router.ip, ports[listener])
        await crowd.send(*FLOODS[flood_name], TRAFFIC_S)
        response = await send_ordinary_request(router)
        sampler.cancel()
        alive = router.process is not None and router.process.pid == pid
        peak = peak_kb(pid) if alive else 0
        crowd.close()
        return alive and not router.ends, peak, samples, response.status
    finally:
        await fleet.close()


@pytest.mark.timeout(TEST_TIMEOUT_S)
@pytest.mark.parametrize(("listener", "flood"), CASES, ids=lambda value: value)
def test_router_lives_within_its_limits_and_serves(tmp_path, listener, flood):
    alive, peak, samples, status = asyncio.run(play(tmp_path, listener, flood))
    print(f"peak {peak} kB, descriptors {samples[0]} to {max(samples)}")
    assert alive
    assert peak <= MEMORY_MB * 1024
    assert max(samples) <= samples[0] + MAX_CONNECTIONS
    assert status == 200
