"""Which endpoints this router owns, and what owners tell each other of them."""

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
from cranberrysail.decisions.messages import Handover, HeldCall, Holding
from cranberrysail.decisions.slots import Permit, PermitKey, Slot
from cranberrysail.decisions.warmth import Warmth

__all__ = ["OwnershipController"]

# A permit younger than this may be missing from what its holder tells.
HOLDING_GRACE_S = 5.0
# A handover that comes before the change of owners is kept for this long.
EARLY_S = 10.0


@dataclass(frozen=True)
class _Early:
    """A handover that came before this router knew that it is the owner."""

    message: Handover
    at_s: float


@CONTROLLERS.register("ownership")
class OwnershipController(BaseController):
    """Takes endpoints over, hands them over, and keeps their permits true."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._cfg = board.settings.admission
        self._slots = board.slots
        self._early: dict[str, _Early] = {}

    @on(HostsRead)
    def hosts_read(self, event: HostsRead, now: float) -> None:
        """Follow the list."""
        self._review(now)

    @on(MembersChanged)
    def members_changed(self, event: MembersChanged, now: float) -> None:
        """Take over and hand over endpoints."""
        self._drop_dead_holders(now)
        self._review(now)

    @on(TablesChanged)
    def tables_changed(self, event: TablesChanged, now: float) -> None:
        """Take new capacities over."""
        for slot in self._slots.values():
            slot.warmth.capacity = self.board.capacity(slot.host)
            slot.warmth.cold = self.board.cold_capacity(slot.host)

    def _review(self, now: float) -> None:
        if not self.board.joined:
            return
        mine = {
            host.name: host
            for host in self.board.hosts.values()
            if host.zone == self.board.zone
            and self.board.owner_of(host.name) == self.board.name
        }
        for name in list(self._slots):
            if name not in mine:
                self._hand_over(name)
        for name, host in mine.items():
            if name not in self._slots:
                self._take_over(host, now)
            elif self._slots[name].host != host:
                self._relist(self._slots[name], host, now)

    def _take_over(self, host: Any, now: float) -> None:
        warmth = Warmth(self.board.cold_capacity(host), self.board.capacity(host))
        self._slots[host.name] = Slot(host, warmth, now)
        early = self._early.pop(host.name, None)
        if early is not None and now - early.at_s < EARLY_S:
            self._adopt(self._slots[host.name], early.message, now)

    def _relist(self, slot: Slot, host: Any, now: float) -> None:
        relisted = host.instance != slot.host.instance
        if relisted and slot.warmth.instance not in ("", host.instance):
            slot.warmth.heard(host.instance, True, 0, now)
        slot.host = host
        slot.warmth.capacity = self.board.capacity(host)
        slot.warmth.cold = self.board.cold_capacity(host)

    def _hand_over(self, name: str) -> None:
        slot = self._slots.pop(name)
        owner = self.board.owner_of(name)
        if owner is None or owner == self.board.name:
            return
        message = Handover(
            name,
            slot.held_by(),
            tuple(slot.chats),
            dict(slot.moved),
            slot.settled,
            slot.warmth.instance,
            slot.warmth.state.value,
            slot.warmth.ramp,
        )
        self.send(owner, message)

    @on(Handover)
    def handover(self, source: str, message: Handover, now: float) -> None:
        """Take permits, chats and warmth from the previous owner."""
        slot = self._slots.get(message.endpoint)
        if slot is None:
            self._early[message.endpoint] = _Early(message, now)
            return
        self._adopt(slot, message, now)

    def _adopt(self, slot: Slot, message: Handover, now: float) -> None:
        for router, calls in message.holders.items():
            for held in calls:
                self._hold(slot, router, held, now)
        for chat in message.chats:
            slot.remember_chat(chat, now)
        for chat, at in message.moved.items():
            slot.remember_moved(chat, at)
        slot.settled |= message.settled
        slot.warmth.adopt(message.instance, message.state, message.ramp)

    def _hold(self, slot: Slot, router: str, held: HeldCall, now: float) -> None:
        permit = Permit(held.customer, held.chat, now, now)
        slot.add(PermitKey(router, held.call), permit, now)

    @on(Holding)
    def holding(self, source: str, message: Holding, now: float) -> None:
        """Bring the permits of one router in line with what it holds."""
        slot = self._slots.get(message.endpoint)
        if slot is None:
            return
        for held in message.calls:
            self._hold(slot, source, held, now)
        held_now = {held.call for held in message.calls}
        for key, permit in list(slot.permits.items()):
            if key.router != source or key.call in held_now:
                continue
            if now - permit.granted_s > HOLDING_GRACE_S:
                slot.remove(key, now)
                self.board.counters["admission.stale_permits"] += 1

    def _drop_dead_holders(self, now: float) -> None:
        for slot in self._slots.values():
            for key in list(slot.permits):
                member = self.board.members.get(key.router)
                if member is None or member.state is MemberState.DEAD:
                    slot.remove(key, now)

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Settle what was taken over some time ago."""
        for slot in self._slots.values():
            if not slot.settled and now - slot.since_s >= self._cfg.settle_s:
                slot.settled = True

    def dump(self) -> dict[str, Any]:
        """Return the endpoints whose handover came early."""
        return {"early_handovers": sorted(self._early)}
