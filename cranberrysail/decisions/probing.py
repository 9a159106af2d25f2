"""Probes the endpoints that this router owns and expires their permits."""

from cranberrysail.decisions.actions import ProbeEndpoint
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import ProbeAnswered, ProbeFailed, Tick
from cranberrysail.decisions.ownedendpoints import OwnedEndpoint

__all__ = ["ProbingController"]

# The interval between probes of an endpoint grows with the number of owned endpoints,
# so that an owner of many sends about 5 probes a second; it never falls below the
# minimum.
MIN_PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_PER_ENDPOINT_S = 0.2
# Probe intervals without an answer after which an endpoint counts as silent.
MAX_MISSED_PROBES = 3
# A permit that its holder has not confirmed for this long is dropped.
PERMIT_EXPIRY_S = 90.0


@CONTROLLERS.register("probing")
class ProbingController(BaseController):
    """Requests load reports from the endpoints that this router owns."""

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Probe the endpoints that are due and drop their expired permits."""
        owned_endpoints = self.board.owned_endpoints
        interval_s = max(
            MIN_PROBE_INTERVAL_S, PROBE_INTERVAL_PER_ENDPOINT_S * len(owned_endpoints)
        )
        for owned in owned_endpoints.values():
            if now >= owned.next_probe_s:
                owned.next_probe_s = now + interval_s
                self._probe(owned, interval_s, now)

    def _probe(self, owned: OwnedEndpoint, interval_s: float, now: float) -> None:
        self.emit(ProbeEndpoint(owned.listed.name, owned.listed.address))
        has_report = owned.report is not None
        if (
            has_report
            and now - owned.report_received_s > MAX_MISSED_PROBES * interval_s
        ):
            owned.slow_start.mark_silent("no answer to probes")
        for key, permit in list(owned.permits.items()):
            if now - permit.confirmed_s > PERMIT_EXPIRY_S:
                owned.remove(key, now)
                self.board.counters["admission.lapsed_permits"] += 1

    @on(ProbeAnswered)
    def probe_answered(self, event: ProbeAnswered, now: float) -> None:
        """Store the load report of an owned endpoint."""
        owned = self.board.owned_endpoints.get(event.endpoint)
        if owned is not None:
            owned.apply_report(event.report, now)

    @on(ProbeFailed)
    def probe_failed(self, event: ProbeFailed, now: float) -> None:
        """Count a failed probe; ``tick`` marks the endpoint silent after several."""
        self.board.counters["admission.probes_failed"] += 1
