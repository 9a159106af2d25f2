"""Tests of availability zones by connections to some of their endpoints."""

import asyncio
import random

from cranberrysail.errors import UpstreamError
from cranberrysail.router.clock import now
from cranberrysail.router.connpool import CONNECT_TIMEOUT_S
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory, EndpointState
from cranberrysail.router.httpclient import connect
from cranberrysail.router.metrics import RouterMetrics

__all__ = ["ZoneTester"]

# Endpoints that are tested of a zone. All of three are rarely down at once unless the
# zone cannot be reached.
TESTED_ENDPOINTS = 3
# Interval at which tests that are due are started.
POLL_INTERVAL_S = 0.05


class ZoneTester:
    """Connects to endpoints of the zones that may be unreachable.

    No request is sent, so that a test takes no slot of an endpoint.
    """

    def __init__(self, endpoints: EndpointDirectory, metrics: RouterMetrics) -> None:
        """Create a tester.

        Args:
          endpoints: The endpoints; their ``reachability`` receives the results.
          metrics: Counts the tests.
        """
        self._endpoints = endpoints
        self._metrics = metrics
        self._rng = random.Random()

    async def run(self) -> None:
        """Test zones as they become due, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for zone in self._endpoints.reachability.begin_tests(now()):
                    group.create_task(self._test(zone))
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _test(self, zone: str) -> None:
        tested = self._sample(zone)
        if not tested:
            self._endpoints.reachability.record_test(zone, True)
            return
        results = await asyncio.gather(*map(self._accepts, tested))
        self._metrics.count("zone_tests", "reached" if any(results) else "failed")
        self._endpoints.reachability.record_test(zone, any(results))

    def _sample(self, zone: str) -> list[Endpoint]:
        """Return endpoints to test, those without failures first."""
        endpoints = [
            e
            for e in self._endpoints
            if e.record.zone == zone and e.state is EndpointState.READY
        ]
        self._rng.shuffle(endpoints)
        endpoints.sort(key=lambda e: e.connection_failures > 0)
        return endpoints[:TESTED_ENDPOINTS]

    async def _accepts(self, endpoint: Endpoint) -> bool:
        try:
            conn = await connect(endpoint.record.address, CONNECT_TIMEOUT_S)
        except UpstreamError:
            return False
        conn.close()
        return True
