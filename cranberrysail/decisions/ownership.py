"""Ownership of endpoints, and the handover of their state between owners."""

from dataclasses import dataclass
from typing import Any

from cranberrysail.decisions.blackboard import Blackboard, MemberState
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    HostsRead,
    MembersChanged,
    TablesChanged,
    Tick,
)
from cranberrysail.decisions.messages import Handover, HeldPermit, PermitReport
from cranberrysail.decisions.ownedendpoints import OwnedEndpoint, Permit, PermitKey
from cranberrysail.decisions.slowstart import SlowStart

__all__ = ["OwnershipController"]

# A permit younger than this may be missing from its holder's report and is kept.
MISSING_PERMIT_GRACE_S = 5.0
# Age beyond which a handover that arrived before this router owned the endpoint is not
# applied.
EARLY_HANDOVER_TTL_S = 10.0


@dataclass(frozen=True)
class _EarlyHandover:
    """A handover that arrived before this router learnt that it is the owner."""

    message: Handover
    received_s: float


@CONTROLLERS.register("ownership")
class OwnershipController(BaseController):
    """Takes over and hands over endpoints, and keeps their permits up to date."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._cfg = board.settings.admission
        self._owned_endpoints = board.owned_endpoints
        self._early_handovers: dict[str, _EarlyHandover] = {}

    @on(HostsRead)
    def hosts_read(self, event: HostsRead, now: float) -> None:
        """Update ownership from a new list of hosts."""
        self._update_ownership(now)

    @on(MembersChanged)
    def members_changed(self, event: MembersChanged, now: float) -> None:
        """Drop the permits of dead routers and update ownership."""
        self._drop_dead_holders(now)
        self._update_ownership(now)

    @on(TablesChanged)
    def tables_changed(self, event: TablesChanged, now: float) -> None:
        """Apply changed capacities."""
        for owned in self._owned_endpoints.values():
            owned.slow_start.capacity = self.board.capacity(owned.listed)
            owned.slow_start.cold_limit = self.board.cold_capacity(owned.listed)

    def _update_ownership(self, now: float) -> None:
        if not self.board.joined:
            return
        mine = {
            listed.name: listed
            for listed in self.board.listed_endpoints.values()
            if listed.zone == self.board.zone
            and self.board.owner_of(listed.name) == self.board.name
        }
        for name in list(self._owned_endpoints):
            if name not in mine:
                self._hand_over(name)
        for name, listed in mine.items():
            if name not in self._owned_endpoints:
                self._add_endpoint(listed, now)
            elif self._owned_endpoints[name].listed != listed:
                self._update_listing(self._owned_endpoints[name], listed, now)

    def _add_endpoint(self, listed: Any, now: float) -> None:
        slow_start = SlowStart(
            self.board.cold_capacity(listed), self.board.capacity(listed)
        )
        self._owned_endpoints[listed.name] = OwnedEndpoint(listed, slow_start, now)
        early = self._early_handovers.pop(listed.name, None)
        if early is not None and now - early.received_s < EARLY_HANDOVER_TTL_S:
            self._apply_handover(self._owned_endpoints[listed.name], early.message, now)

    def _update_listing(self, owned: OwnedEndpoint, listed: Any, now: float) -> None:
        restarted = listed.instance != owned.listed.instance
        if restarted and owned.slow_start.instance not in ("", listed.instance):
            # The list of hosts shows a restart, which counts like a ready report of the
            # new instance, also for a silent endpoint.
            owned.slow_start.record_report(listed.instance, True, 0, now)
        owned.listed = listed
        owned.slow_start.capacity = self.board.capacity(listed)
        owned.slow_start.cold_limit = self.board.cold_capacity(listed)

    def _hand_over(self, name: str) -> None:
        owned = self._owned_endpoints.pop(name)
        owner = self.board.owner_of(name)
        if owner is None or owner == self.board.name:
            return
        message = Handover(
            name,
            owned.permits_by_holder(),
            tuple(owned.chats),
            dict(owned.relocated),
            owned.settled,
            owned.slow_start.instance,
            owned.slow_start.state.value,
            owned.slow_start.ramp_limit,
        )
        self.send(owner, message)

    @on(Handover)
    def handover(self, source: str, message: Handover, now: float) -> None:
        """Adopt permits, chats and slow-start state from the previous owner."""
        owned = self._owned_endpoints.get(message.endpoint)
        if owned is None:
            self._early_handovers[message.endpoint] = _EarlyHandover(message, now)
            return
        self._apply_handover(owned, message, now)

    def _apply_handover(
        self, owned: OwnedEndpoint, message: Handover, now: float
    ) -> None:
        for router, calls in message.permits_by_holder.items():
            for held in calls:
                self._add_permit(owned, router, held, now)
        for chat_key in message.chats:
            owned.remember_chat(chat_key, now)
        for chat_key, new_endpoint in message.relocated.items():
            owned.remember_relocated(chat_key, new_endpoint)
        owned.settled |= message.settled
        owned.slow_start.restore(message.instance, message.state, message.ramp_limit)

    def _add_permit(
        self, owned: OwnedEndpoint, router: str, held: HeldPermit, now: float
    ) -> None:
        permit = Permit(held.customer, held.chat_key, now, now)
        owned.add(PermitKey(router, held.call_id), permit, now)

    @on(PermitReport)
    def permit_report(self, source: str, message: PermitReport, now: float) -> None:
        """Reconcile the permits of one router with its report of those it holds."""
        owned = self._owned_endpoints.get(message.endpoint)
        if owned is None:
            return
        for held in message.permits:
            self._add_permit(owned, source, held, now)
        held_now = {held.call_id for held in message.permits}
        for key, permit in list(owned.permits.items()):
            if key.router != source or key.call_id in held_now:
                continue
            if now - permit.granted_s > MISSING_PERMIT_GRACE_S:
                owned.remove(key, now)
                self.board.counters["admission.stale_permits"] += 1

    def _drop_dead_holders(self, now: float) -> None:
        for owned in self._owned_endpoints.values():
            for key in list(owned.permits):
                member = self.board.members.get(key.router)
                if member is None or member.state is MemberState.DEAD:
                    owned.remove(key, now)

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Mark endpoints as settled that have been owned for the configured time."""
        for owned in self._owned_endpoints.values():
            if not owned.settled and now - owned.owned_since_s >= self._cfg.settle_s:
                owned.settled = True

    def dump(self) -> dict[str, Any]:
        """Return the endpoints whose handover arrived before ownership."""
        return {"early_handovers": sorted(self._early_handovers)}
