"""State that a router keeps of each endpoint it owns: permits, load and chats."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from cranberrysail.decisions.events import ListedEndpoint, LoadReport
from cranberrysail.decisions.messages import HeldPermit
from cranberrysail.decisions.slowstart import SlowStart

__all__ = ["OwnedEndpoint", "Permit", "PermitKey"]

# Chats remembered per endpoint, in OwnedEndpoint.chats and in OwnedEndpoint.relocated.
MAX_CHATS = 4096
MAX_RELOCATED = 1024
# Upper bound on the lag of load reports.
REPORT_LAG_S = 2.0
# Least time for which a release is remembered that arrived before its permit was known.
EARLY_RELEASE_TTL_S = 10.0


@dataclass(frozen=True)
class PermitKey:
    """Identity of a permit: the router that holds it and the id of its call there."""

    router: str
    call_id: int


@dataclass
class Permit:
    """Permission for an admitted call to use an endpoint.

    Attributes:
      granted_s: When it was granted, or when this owner learnt of it.
      confirmed_s: When its holder last confirmed it.
    """

    customer: str
    chat_key: int
    granted_s: float
    confirmed_s: float


@dataclass
class OwnedEndpoint:
    """An endpoint that this router owns, and thus admits calls to.

    Attributes:
      listed: The endpoint's entry in the platform's list of hosts.
      owned_since_s: When ownership began.
      settled: True once the permits granted by earlier owners were handed over, or
        settle_s has passed and they count as known.
      permits_by_customer: Number of permits by customer.
      report: Last load report, if any.
      report_received_s: When it arrived.
      granted_since_report: Number of permits granted since it arrived.
      chats: Chats served recently, oldest first: the time of the last call by chat key.
      relocated: Endpoint that serves a chat now by chat key, for chats whose
        first-ranked endpoint is this one.
      waiting_priority: Most urgent priority denied recently for lack of capacity.
      waiting_until_s: When denials of less urgent calls for that reason end.
      denied_at_s: When each customer was last denied for lack of capacity.
    """

    listed: ListedEndpoint
    slow_start: SlowStart
    owned_since_s: float
    settled: bool = False
    permits: dict[PermitKey, Permit] = field(default_factory=dict)
    permits_by_customer: Counter = field(default_factory=Counter)
    report: LoadReport | None = None
    report_received_s: float = 0.0
    granted_since_report: int = 0
    chats: OrderedDict[int, float] = field(default_factory=OrderedDict)
    relocated: OrderedDict[int, str] = field(default_factory=OrderedDict)
    waiting_priority: int = 0
    waiting_until_s: float = 0.0
    denied_at_s: dict[str, float] = field(default_factory=dict)
    next_probe_s: float = 0.0
    _permit_counts: list[tuple[float, int]] = field(default_factory=list)
    _early_releases: dict[PermitKey, float] = field(default_factory=dict)

    def add(self, key: PermitKey, permit: Permit, now: float) -> None:
        """Add a permit, or confirm it if it is known.

        A permit whose release has already arrived is ignored.
        """
        if key in self.permits:
            self.permits[key].confirmed_s = now
            return
        if key in self._early_releases:
            return
        self.permits[key] = permit
        self.permits_by_customer[permit.customer] += 1
        self._record_permit_count(now)

    def remove(self, key: PermitKey, now: float) -> Permit | None:
        """Remove a permit and return it, or None if it was unknown."""
        permit = self.permits.pop(key, None)
        if permit is None:
            return None
        # The count before the removal.
        self._record_permit_count(now, extra=1)
        self.permits_by_customer[permit.customer] -= 1
        if self.permits_by_customer[permit.customer] <= 0:
            del self.permits_by_customer[permit.customer]
        return permit

    def record_early_release(self, key: PermitKey, now: float) -> None:
        """Record a release that arrived before its permit was known here."""
        self._early_releases = {
            known: at
            for known, at in self._early_releases.items()
            if now - at < EARLY_RELEASE_TTL_S
        }
        self._early_releases[key] = now

    def _record_permit_count(self, now: float, extra: int = 0) -> None:
        self._permit_counts = [
            p for p in self._permit_counts if now - p[0] < REPORT_LAG_S
        ]
        self._permit_counts.append((now, len(self.permits) + extra))

    def peak_permits(self, now: float) -> int:
        """Return the highest number of permits held at once within REPORT_LAG_S."""
        recent = [count for at, count in self._permit_counts if now - at < REPORT_LAG_S]
        return max([len(self.permits), *recent])

    def unaccounted_calls(self, now: float) -> int:
        """Return the reported open calls that no known permit accounts for.

        As reports lag, they are compared with the peak of recent permits.
        """
        if self.report is None:
            return 0
        return max(0, self.report.open - self.peak_permits(now))

    def estimated_open(self, now: float) -> int:
        """Return the number of permits and of reported calls without a permit."""
        return len(self.permits) + self.unaccounted_calls(now)

    def low_estimated_open(self, now: float) -> int:
        """Return a low estimate of the open calls, for sums that must err low.

        A permit may outlive its call, so the estimate is at most the number of reported
        calls and of permits granted since the report.
        """
        if self.report is None:
            return len(self.permits)
        return min(
            self.estimated_open(now), self.report.open + self.granted_since_report
        )

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report.

        Forgets the recent chats if its instance differs from the one that the
        slow-start state applies to.
        """
        self.report = report
        self.report_received_s = now
        self.granted_since_report = 0
        if self.slow_start.instance not in ("", report.instance):
            self.chats.clear()
        self.slow_start.record_report(report.instance, report.ready, report.open, now)

    def remember_chat(self, chat_key: int, now: float) -> None:
        """Record that the endpoint serves a chat, and evict the oldest if full."""
        self.chats[chat_key] = now
        self.chats.move_to_end(chat_key)
        if len(self.chats) > MAX_CHATS:
            self.chats.popitem(last=False)

    def remember_relocated(self, chat_key: int, new_endpoint: str) -> None:
        """Record the endpoint that serves a chat for which this one is ranked first."""
        self.relocated[chat_key] = new_endpoint
        self.relocated.move_to_end(chat_key)
        if len(self.relocated) > MAX_RELOCATED:
            self.relocated.popitem(last=False)

    def permits_by_holder(self) -> dict[str, tuple[HeldPermit, ...]]:
        """Return the permits by the name of the router that holds them."""
        by_holder: dict[str, list[HeldPermit]] = {}
        for key, permit in self.permits.items():
            held = HeldPermit(key.call_id, permit.customer, permit.chat_key)
            by_holder.setdefault(key.router, []).append(held)
        return {router: tuple(held) for router, held in by_holder.items()}
