"""Admission control: the owner of an endpoint decides which calls it accepts."""

import math
from enum import StrEnum
from typing import Any

from cranberrysail.decisions.blackboard import Blackboard, PoolTotal
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    CallResult,
    HostState,
    Tick,
)
from cranberrysail.decisions.fairness import exceeds_fair_share
from cranberrysail.decisions.invariants import Invariant
from cranberrysail.decisions.loads import (
    current_call_limit,
    estimate_pool_load,
    load_bound,
    open_calls_by_customer,
)
from cranberrysail.decisions.messages import (
    AdmissionRequest,
    ChatRelocated,
    Deny,
    Grant,
    Release,
)
from cranberrysail.decisions.ownedendpoints import OwnedEndpoint, Permit, PermitKey
from cranberrysail.decisions.slowstart import SlowStartState

__all__ = ["AdmissionController", "DenyReason"]

# Time after a denial for lack of capacity during which less urgent calls are denied.
WAITING_PRIORITY_TTL_S = 0.3
# Time after such a denial during which customers above their fair share are denied.
DENIAL_TTL_S = 0.3
# A longer gap between ticks means that the process was stalled.
STALL_THRESHOLD_S = 1.0
# After a stall all calls are denied for this long, until the messages that the router
# missed have arrived.
STALL_RECOVERY_S = 1.0


class DenyReason(StrEnum):
    """Why an owner does not admit a call.

    Attributes:
      NOT_OWNER: The router that was asked does not own the endpoint.
      UNKNOWN: The endpoint is not in the platform's list of hosts.
      OUT: The endpoint's host or availability zone is out of service.
      LEAVING: The platform's list says that the endpoint is leaving.
      SILENT: The endpoint has not reported ready yet, reports that it is not ready, or
        no longer answers probes.
      COLD: The endpoint is cold or warming and has reached its ramp limit.
      FULL: The endpoint has reached its capacity or the bound on its load.
      SETTLING: The router recovers from a stall. Or the endpoint may hold calls whose
        permits the owner does not know, and it has granted at least half as many
        permits since the last load report as there is capacity left.
      NO_CACHE: The request was to admit the call only if the endpoint holds the chat's
        cache, and it does not.
      ELSEWHERE: Another endpoint served the chat last and holds its cache.
      YIELD: A more urgent call was denied recently for lack of capacity.
      OVER_SHARE: The customer uses more than its fair share while another waits.
    """

    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"
    OUT = "out"
    LEAVING = "leaving"
    SILENT = "silent"
    COLD = "cold"
    FULL = "full"
    SETTLING = "settling"
    NO_CACHE = "no_cache"
    ELSEWHERE = "elsewhere"
    YIELD = "yield"
    OVER_SHARE = "over_share"


@CONTROLLERS.register("admission")
class AdmissionController(BaseController):
    """Admits calls to the endpoints that this router owns."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._owned_endpoints = board.owned_endpoints
        self._last_tick_s = 0.0
        self._recovering_until_s = 0.0

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Detect a stall of this router from the gap between ticks."""
        if now - self._last_tick_s > STALL_THRESHOLD_S:
            self._recovering_until_s = now + STALL_RECOVERY_S
        self._last_tick_s = now

    @on(AdmissionRequest)
    def admission_request(
        self, source: str, message: AdmissionRequest, now: float
    ) -> None:
        """Grant or deny admission of a call to an endpoint."""
        owned = self._owned_endpoints.get(message.endpoint)
        if owned is None:
            known = message.endpoint in self.board.listed_endpoints
            reason = DenyReason.NOT_OWNER if known else DenyReason.UNKNOWN
            self._deny(source, message, reason)
            return
        if PermitKey(source, message.call_id) in owned.permits:
            self.send(source, Grant(message.call_id, message.endpoint))
            return
        reason = self._find_deny_reason(owned, message, now)
        if reason is None:
            self._grant(owned, source, message, now)
            return
        self._record_denial(owned, message, reason, now)
        cached_at = ""
        if reason is DenyReason.ELSEWHERE:
            cached_at = owned.relocated[message.chat_key]
        self._deny(source, message, reason, cached_at)

    def _deny(
        self,
        source: str,
        message: AdmissionRequest,
        reason: DenyReason,
        cached_at: str = "",
    ) -> None:
        self.board.counters[f"admission.deny.{reason.value}"] += 1
        deny = Deny(message.call_id, message.endpoint, reason.value, cached_at)
        self.send(source, deny)

    def _find_deny_reason(
        self, owned: OwnedEndpoint, request: AdmissionRequest, now: float
    ) -> DenyReason | None:
        if (
            now < self._recovering_until_s
            or now - self._last_tick_s > STALL_THRESHOLD_S
        ):
            return DenyReason.SETTLING
        if owned.listed.state is HostState.LEAVING:
            return DenyReason.LEAVING
        if not self.board.in_service(owned.listed):
            return DenyReason.OUT
        if owned.slow_start.state is SlowStartState.SILENT:
            return DenyReason.SILENT
        if request.cached_only and request.chat_key not in owned.chats:
            return DenyReason.NO_CACHE
        if not request.ignore_relocation and self._served_elsewhere(
            owned, request.chat_key
        ):
            return DenyReason.ELSEWHERE
        capacity_reason = self._capacity_deny_reason(owned, now)
        if capacity_reason is not None:
            return capacity_reason
        if now < owned.waiting_until_s and request.priority > owned.waiting_priority:
            return DenyReason.YIELD
        if self._over_fair_share(owned, request.customer, now):
            return DenyReason.OVER_SHARE
        return None

    def _served_elsewhere(self, owned: OwnedEndpoint, chat_key: int) -> bool:
        if not chat_key or chat_key in owned.chats or chat_key not in owned.relocated:
            return False
        listed = self.board.listed_endpoints.get(owned.relocated[chat_key])
        if listed is not None and self.board.in_service(listed):
            return True
        # A cache at an endpoint that is not in service cannot be used.
        del owned.relocated[chat_key]
        return False

    def _capacity_deny_reason(
        self, owned: OwnedEndpoint, now: float
    ) -> DenyReason | None:
        open_calls = owned.estimated_open(now)
        limit = owned.slow_start.limit()
        if open_calls >= limit:
            warm = owned.slow_start.state is SlowStartState.WARM
            return DenyReason.FULL if warm else DenyReason.COLD
        pool_load = estimate_pool_load(self.board, owned, now)
        call_limit = current_call_limit(self.board, owned)
        limit = min(
            limit,
            load_bound(
                self.board.load_factor(owned.listed.pool), call_limit, pool_load
            ),
        )
        if open_calls >= limit:
            return DenyReason.FULL
        # Calls without a known permit may take some of the capacity left.
        unknown_permits = not owned.settled or owned.unaccounted_calls(now) > 0
        if unknown_permits and owned.granted_since_report >= math.ceil(
            (limit - open_calls) / 2
        ):
            return DenyReason.SETTLING
        return None

    def _over_fair_share(self, owned: OwnedEndpoint, customer: str, now: float) -> bool:
        recently_denied = [
            name for name, at in owned.denied_at_s.items() if now - at < DENIAL_TTL_S
        ]
        if not recently_denied:
            return False
        pool = owned.listed.pool
        usage = dict(self.board.pool_totals.get(pool, PoolTotal()).top_customers)
        # The pool totals lag behind the permits of the owned endpoints.
        for name, count in open_calls_by_customer(self.board, pool).items():
            usage[name] = max(usage.get(name, 0), count)
        rows = self.board.tables.customers
        weights = {name: rows[name].weight for name in usage if name in rows}
        return exceeds_fair_share(customer, recently_denied, usage, weights)

    def _record_denial(
        self,
        owned: OwnedEndpoint,
        request: AdmissionRequest,
        reason: DenyReason,
        now: float,
    ) -> None:
        if reason not in (DenyReason.FULL, DenyReason.COLD):
            return
        owned.denied_at_s = {
            n: at for n, at in owned.denied_at_s.items() if now - at < DENIAL_TTL_S
        }
        owned.denied_at_s[request.customer] = now
        if now >= owned.waiting_until_s or request.priority <= owned.waiting_priority:
            owned.waiting_priority = request.priority
            owned.waiting_until_s = now + WAITING_PRIORITY_TTL_S

    def _grant(
        self, owned: OwnedEndpoint, source: str, request: AdmissionRequest, now: float
    ) -> None:
        self._check_invariants(owned, now)
        cached = request.chat_key in owned.chats
        permit = Permit(request.customer, request.chat_key, now, now)
        owned.add(PermitKey(source, request.call_id), permit, now)
        owned.granted_since_report += 1
        owned.denied_at_s.pop(request.customer, None)
        if request.chat_key:
            owned.remember_chat(request.chat_key, now)
            owned.relocated.pop(request.chat_key, None)
        self.board.counters["admission.granted"] += 1
        self.send(source, Grant(request.call_id, request.endpoint, cached))

    def _check_invariants(self, owned: OwnedEndpoint, now: float) -> None:
        check = self.board.invariants.check
        name = owned.listed.name
        after = owned.estimated_open(now) + 1
        pool_load = estimate_pool_load(self.board, owned, now)
        call_limit = current_call_limit(self.board, owned)
        limit = load_bound(
            self.board.load_factor(owned.listed.pool), call_limit, pool_load
        )
        check(
            Invariant.LOAD_BOUND,
            after <= limit,
            now,
            f"{name}: {after} open calls, load bound {limit}",
        )
        if owned.slow_start.state is not SlowStartState.WARM:
            ramp_limit = owned.slow_start.ramp_limit
            check(
                Invariant.COLD_LIMIT,
                after <= ramp_limit,
                now,
                f"{name}: {after} open calls, ramp limit {ramp_limit}",
            )
        out = owned.listed.zone in self.board.tables.zones_out
        out = out or owned.listed.host in self.board.tables.hosts_out
        check(Invariant.OUT_OF_SERVICE, not out, now, f"{name} is out of service")
        leaving = owned.listed.state is HostState.LEAVING
        check(Invariant.LEAVING, not leaving, now, f"{name} is leaving")

    @on(Release)
    def release(self, source: str, message: Release, now: float) -> None:
        """Remove a permit and update the endpoint's state from the call's result."""
        key = PermitKey(message.holder or source, message.call_id)
        owned = self._owned_endpoints.get(message.endpoint)
        if owned is None:
            self._forward_release(source, message)
            return
        if owned.remove(key, now) is None:
            owned.record_early_release(key, now)
            return
        if message.result == CallResult.OK:
            owned.slow_start.record_success(message.first_ms, now)
        elif message.result in (CallResult.BROKEN, CallResult.CUT, CallResult.NOT_SENT):
            owned.slow_start.record_failure(now)
            # The next tick probes it, to learn whether it still answers.
            owned.next_probe_s = now

    def _forward_release(self, source: str, message: Release) -> None:
        owner = self.board.owner_of(message.endpoint)
        if message.holder or owner in (None, self.board.name):
            return
        forwarded = Release(
            message.call_id, message.endpoint, message.result, message.first_ms, source
        )
        self.send(owner, forwarded)

    @on(ChatRelocated)
    def chat_relocated(self, source: str, message: ChatRelocated, now: float) -> None:
        """Record the endpoint that serves a chat instead of its first-ranked one."""
        owned = self._owned_endpoints.get(message.endpoint)
        if owned is not None and message.chat_key:
            owned.chats.pop(message.chat_key, None)
            owned.remember_relocated(message.chat_key, message.new_endpoint)

    def dump(self) -> dict[str, Any]:
        """Return the load, limits and state of each owned endpoint.

        ``evidence`` is the reason for the state, and ``moved_chats`` the number of
        chats that are known to be served by another endpoint.
        """
        return {
            name: {
                "pool": owned.listed.pool,
                "zone": owned.listed.zone,
                "state": owned.slow_start.state.value,
                "evidence": owned.slow_start.state_reason,
                "open": len(owned.permits),
                "reported_open": owned.report.open if owned.report else None,
                "capacity": owned.slow_start.capacity,
                "limit_now": owned.slow_start.limit(),
                "in_service": self.board.in_service(owned.listed),
                "settled": owned.settled,
                "chats": len(owned.chats),
                "moved_chats": len(owned.relocated),
            }
            for name, owned in sorted(self._owned_endpoints.items())
        }
