"""Admission of calls to endpoints by each endpoint's owner."""

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
from cranberrysail.decisions.fairness import gives_way
from cranberrysail.decisions.invariants import Invariant
from cranberrysail.decisions.loads import bound, customer_use, pool_mean, serving_weight
from cranberrysail.decisions.messages import (
    Ask,
    Deny,
    Grant,
    Lives,
    Release,
)
from cranberrysail.decisions.slots import Permit, PermitKey, Slot
from cranberrysail.decisions.warmth import WarmthState

__all__ = ["AdmissionController", "DenyReason"]

# How long a denied call keeps less urgent ones and large customers back.
WAITING_S = 0.3
DENIED_S = 0.3
# A tick later than this means that the router stood still; it then denies calls
# until it has heard what it missed.
STALL_S = 1.0
RECOVER_S = 1.0


class DenyReason(StrEnum):
    """Why an owner does not admit a call."""

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
        self._slots = board.slots
        self._ticked_s = 0.0
        self._recovering_until_s = 0.0

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Notice that this router stood still."""
        if now - self._ticked_s > STALL_S:
            self._recovering_until_s = now + RECOVER_S
        self._ticked_s = now

    @on(Ask)
    def ask(self, source: str, message: Ask, now: float) -> None:
        """Admit a call or say why not."""
        slot = self._slots.get(message.endpoint)
        if slot is None:
            known = message.endpoint in self.board.hosts
            reason = DenyReason.NOT_OWNER if known else DenyReason.UNKNOWN
            self._deny(source, message, reason)
            return
        if PermitKey(source, message.call) in slot.permits:
            self.send(source, Grant(message.call, message.endpoint))
            return
        reason = self._refusal(slot, message, now)
        if reason is None:
            self._grant(slot, source, message, now)
            return
        self._note_denied(slot, message, reason, now)
        elsewhere = ""
        if reason is DenyReason.ELSEWHERE:
            elsewhere = slot.moved[message.chat]
        self._deny(source, message, reason, elsewhere)

    def _deny(
        self, source: str, message: Ask, reason: DenyReason, elsewhere: str = ""
    ) -> None:
        self.board.counters[f"admission.deny.{reason.value}"] += 1
        deny = Deny(message.call, message.endpoint, reason.value, elsewhere)
        self.send(source, deny)

    def _refusal(self, slot: Slot, ask: Ask, now: float) -> DenyReason | None:
        if now < self._recovering_until_s or now - self._ticked_s > STALL_S:
            return DenyReason.SETTLING
        if slot.host.state is HostState.LEAVING:
            return DenyReason.LEAVING
        if not self.board.in_service(slot.host):
            return DenyReason.OUT
        if slot.warmth.state is WarmthState.SILENT:
            return DenyReason.SILENT
        if ask.cached_only and ask.chat not in slot.chats:
            return DenyReason.NO_CACHE
        if not ask.here and self._lives_elsewhere(slot, ask.chat):
            return DenyReason.ELSEWHERE
        room = self._room(slot, now)
        if room is not None:
            return room
        if now < slot.waiting_until_s and ask.priority > slot.waiting_priority:
            return DenyReason.YIELD
        if self._over_share(slot, ask.customer, now):
            return DenyReason.OVER_SHARE
        return None

    def _lives_elsewhere(self, slot: Slot, chat: int) -> bool:
        if not chat or chat in slot.chats or chat not in slot.moved:
            return False
        host = self.board.hosts.get(slot.moved[chat])
        if host is not None and self.board.in_service(host):
            return True
        del slot.moved[chat]
        return False

    def _room(self, slot: Slot, now: float) -> DenyReason | None:
        open_calls = slot.open(now)
        limit = slot.warmth.limit()
        if open_calls >= limit:
            warm = slot.warmth.state is WarmthState.WARM
            return DenyReason.FULL if warm else DenyReason.COLD
        mean = pool_mean(self.board, slot, now)
        weight = serving_weight(self.board, slot)
        limit = min(limit, bound(self.board.load_factor(slot.host.pool), weight, mean))
        if open_calls >= limit:
            return DenyReason.FULL
        shared = not slot.settled or slot.foreign(now) > 0
        if shared and slot.granted_since_report >= math.ceil((limit - open_calls) / 2):
            return DenyReason.SETTLING
        return None

    def _over_share(self, slot: Slot, customer: str, now: float) -> bool:
        waiting = [name for name, at in slot.denied.items() if now - at < DENIED_S]
        if not waiting:
            return False
        pool = slot.host.pool
        usage = dict(self.board.totals.get(pool, PoolTotal()).heavy)
        for name, count in customer_use(self.board, pool).items():
            usage[name] = max(usage.get(name, 0), count)
        rows = self.board.tables.customers
        weights = {name: rows[name].weight for name in usage if name in rows}
        return gives_way(customer, waiting, usage, weights)

    def _note_denied(
        self, slot: Slot, ask: Ask, reason: DenyReason, now: float
    ) -> None:
        if reason not in (DenyReason.FULL, DenyReason.COLD):
            return
        slot.denied = {n: at for n, at in slot.denied.items() if now - at < DENIED_S}
        slot.denied[ask.customer] = now
        if now >= slot.waiting_until_s or ask.priority <= slot.waiting_priority:
            slot.waiting_priority = ask.priority
            slot.waiting_until_s = now + WAITING_S

    def _grant(self, slot: Slot, source: str, ask: Ask, now: float) -> None:
        self._assert_safe(slot, now)
        cached = ask.chat in slot.chats
        permit = Permit(ask.customer, ask.chat, now, now)
        slot.add(PermitKey(source, ask.call), permit, now)
        slot.granted_since_report += 1
        slot.denied.pop(ask.customer, None)
        if ask.chat:
            slot.remember_chat(ask.chat, now)
            slot.moved.pop(ask.chat, None)
        self.board.counters["admission.granted"] += 1
        self.send(source, Grant(ask.call, ask.endpoint, cached))

    def _assert_safe(self, slot: Slot, now: float) -> None:
        check = self.board.invariants.check
        name = slot.host.name
        after = slot.open(now) + 1
        mean = pool_mean(self.board, slot, now)
        weight = serving_weight(self.board, slot)
        limit = bound(self.board.load_factor(slot.host.pool), weight, mean)
        check(Invariant.LOAD_BOUND, after <= limit, now, f"{name}: {after} > {limit}")
        if slot.warmth.state is not WarmthState.WARM:
            ramp = slot.warmth.ramp
            check(Invariant.COLD_LIMIT, after <= ramp, now, f"{name}: {after} > {ramp}")
        out = slot.host.zone in self.board.tables.zones_out
        out = out or slot.host.host in self.board.tables.hosts_out
        check(Invariant.OUT_OF_SERVICE, not out, now, f"{name} is out")
        leaving = slot.host.state is HostState.LEAVING
        check(Invariant.LEAVING, not leaving, now, f"{name} is leaving")

    @on(Release)
    def release(self, source: str, message: Release, now: float) -> None:
        """Take a permit back and learn how the call went."""
        key = PermitKey(message.holder or source, message.call)
        slot = self._slots.get(message.endpoint)
        if slot is None:
            self._pass_on(source, message)
            return
        if slot.remove(key, now) is None:
            slot.note_released(key, now)
            return
        if message.result == CallResult.OK:
            slot.warmth.succeeded(message.first_ms, now)
        elif message.result in (CallResult.BROKEN, CallResult.CUT, CallResult.NOT_SENT):
            slot.warmth.broken(now)
            slot.next_probe_s = now

    def _pass_on(self, source: str, message: Release) -> None:
        owner = self.board.owner_of(message.endpoint)
        if message.holder or owner in (None, self.board.name):
            return
        passed = Release(
            message.call, message.endpoint, message.result, message.first_ms, source
        )
        self.send(owner, passed)

    @on(Lives)
    def lives(self, source: str, message: Lives, now: float) -> None:
        """Note where a chat lives whose first endpoint this router owns."""
        slot = self._slots.get(message.endpoint)
        if slot is not None and message.chat:
            slot.chats.pop(message.chat, None)
            slot.remember_moved(message.chat, message.at)

    def dump(self) -> dict[str, Any]:
        """Return the owned endpoints with their load and limits."""
        return {
            name: {
                "pool": slot.host.pool,
                "zone": slot.host.zone,
                "state": slot.warmth.state.value,
                "evidence": slot.warmth.evidence,
                "open": len(slot.permits),
                "reported_open": slot.report.open if slot.report else None,
                "capacity": slot.warmth.capacity,
                "limit_now": slot.warmth.limit(),
                "in_service": self.board.in_service(slot.host),
                "settled": slot.settled,
                "chats": len(slot.chats),
                "moved_chats": len(slot.moved),
            }
            for name, slot in sorted(self._slots.items())
        }
