"""Membership and failure detection of routers by probing and gossip.

Follows the SWIM protocol: direct and indirect probes, suspicion that the suspect
can refute, and updates piggybacked on probes and their answers.
"""

import math
from dataclasses import dataclass
from typing import Any

from cranberrysail.decisions.actions import SendPeer
from cranberrysail.decisions.blackboard import Blackboard, Member, MemberState
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import MembersChanged, StopRequested, Tick
from cranberrysail.decisions.messages import (
    Ack,
    MemberList,
    MemberUpdate,
    Ping,
    PingRequest,
)

__all__ = ["MembershipController"]

# Routers that are asked to probe a target that did not answer a direct probe.
INDIRECT_PROBES = 2
# Most queued updates that one probe or answer carries.
MAX_PIGGYBACKED_UPDATES = 8
# The number of messages that carry an update is this factor times the rounded-up log2
# of the number of members plus 2.
RETRANSMIT_FACTOR = 3
# Every n-th probe goes to a router of another zone.
CROSS_ZONE_PROBE_EVERY = 4
# At this interval a random dead member is probed, so that it can refute its state if
# it is alive.
DEAD_PROBE_INTERVAL_S = 3.0
# Time after which a dead member is forgotten.
DEAD_RETENTION_S = 24 * 3600.0
SEED_PROBE_INTERVAL_S = 0.5
# A router that no peer sends the member list joins after this time.
JOIN_TIMEOUT_S = 3.0
# At equal incarnation an update applies only if its state ranks higher.
_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@dataclass
class _Probe:
    """A probe that awaits its answer."""

    target: str
    incarnation: int
    sent_s: float
    indirect: bool = False


@dataclass
class _ForwardedProbe:
    """A probe on behalf of another router, whose Ack is forwarded to it."""

    requester: str
    seq: int
    sent_s: float


@dataclass
class _QueuedUpdate:
    """An update with the number of messages that have yet to carry it."""

    update: MemberUpdate
    sends_left: int


@CONTROLLERS.register("membership")
class MembershipController(BaseController):
    """Maintains the member list and the state of each member."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._cfg = board.settings.membership
        self._seq = 0
        self._probes: dict[int, _Probe] = {}
        self._forwarded_probes: dict[int, _ForwardedProbe] = {}
        self._update_queue: dict[str, _QueuedUpdate] = {}
        self._local_targets: list[str] = []
        self._remote_targets: list[str] = []
        self._probe_rounds = 0
        self._started_s: float | None = None
        self._next_probe_s = 0.0
        self._next_dead_probe_s = 0.0
        self._next_seed_probe_s = 0.0
        own_member = Member(
            board.name,
            board.zone,
            board.settings.region,
            board.address,
            board.incarnation,
            MemberState.ALIVE,
            0.0,
        )
        board.members[board.name] = own_member

    @property
    def _self_member(self) -> Member:
        return self.board.members[self.board.name]

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Send due probes and update the state of members that do not answer."""
        if self._started_s is None:
            self._started_s = now
        if now - self._started_s >= JOIN_TIMEOUT_S:
            self._mark_joined()
        self._expire_probes(now)
        if now >= self._next_probe_s:
            self._next_probe_s = now + self._cfg.probe_s
            self._probe_next(now)
        if now >= self._next_dead_probe_s:
            self._next_dead_probe_s = now + DEAD_PROBE_INTERVAL_S
            self._probe_dead(now)
        if now >= self._next_seed_probe_s:
            self._next_seed_probe_s = now + SEED_PROBE_INTERVAL_S
            self._probe_seeds()

    @on(StopRequested)
    def stop(self, event: StopRequested, now: float) -> None:
        """Announce to the routers of the zone that this router is leaving."""
        self._set_state(self._self_member, MemberState.LEAVING, now)
        for peer in self.board.peers(self.board.zone):
            self._probe_member(peer.name, now)

    @on(Ping)
    def ping(self, source: str, message: Ping, now: float) -> None:
        """Answer a probe, and send the member list to a sender that may be new.

        That is one that is unknown or has a higher incarnation than known, as after a
        start, but also after it refuted a suspicion.
        """
        known = self.board.members.get(source)
        may_be_new = known is None or known.incarnation < message.sender.incarnation
        self._apply_gossip(message, now)
        self._send_ack(source, message.seq, message.sender.address)
        if may_be_new and self.board.joined:
            all_members = (member.as_update() for member in self.board.members.values())
            self.send(source, MemberList(tuple(all_members)))

    @on(MemberList)
    def member_list(self, source: str, message: MemberList, now: float) -> None:
        """Apply a full member list and join."""
        for update in message.updates:
            self._apply_update(update, now)
        self._mark_joined()

    def _mark_joined(self) -> None:
        if self.board.joined:
            return
        self.board.joined = True
        self.board.invalidate_caches()
        self.raise_event(MembersChanged())

    @on(Ack)
    def ack(self, source: str, message: Ack, now: float) -> None:
        """Complete a probe, or forward the answer to the router that asked for it."""
        self._apply_gossip(message, now)
        probe = self._probes.pop(message.seq, None)
        if probe is not None:
            self._clear_suspicion(probe.target, now)
        forwarded = self._forwarded_probes.pop(message.seq, None)
        if forwarded is not None:
            reply = Ack(forwarded.seq, message.sender, message.version)
            self.send(forwarded.requester, reply)

    @on(PingRequest)
    def ping_request(self, source: str, message: PingRequest, now: float) -> None:
        """Probe a target on behalf of another router."""
        target = self.board.members.get(message.target)
        if target is None:
            return
        seq = self._next_seq()
        self._forwarded_probes[seq] = _ForwardedProbe(source, message.seq, now)
        self._send_ping(seq, target)

    def _apply_gossip(self, message: Ping | Ack, now: float) -> None:
        for update in message.updates:
            self._apply_update(update, now)
        self._apply_update(message.sender, now)
        self._clear_suspicion(message.sender.name, now)

    def _clear_suspicion(self, name: str, now: float) -> None:
        # Not gossiped: the suspect itself refutes the suspicion to the other routers.
        member = self.board.members.get(name)
        if member is not None and member.state is MemberState.SUSPECT:
            self._set_state(member, MemberState.ALIVE, now, gossip=False)

    def _apply_update(self, update: MemberUpdate, now: float) -> None:
        if update.name == self.board.name:
            self._refute(update, now)
            return
        try:
            state = MemberState(update.state)
        except ValueError:
            self.board.counters["membership.bad_update"] += 1
            return
        member = self.board.members.get(update.name)
        if member is None:
            self._add_member(update, state, now)
            return
        if update.incarnation < member.incarnation:
            return
        newer = update.incarnation > member.incarnation
        if not newer and _STATE_PRECEDENCE[state] <= _STATE_PRECEDENCE[member.state]:
            return
        member.incarnation = update.incarnation
        member.address = update.address
        self._set_state(member, state, now)

    def _add_member(self, update: MemberUpdate, state: MemberState, now: float) -> None:
        if state is MemberState.DEAD:
            return
        # Starts as dead so that the transition below is counted and announced.
        member = Member(
            update.name,
            update.zone,
            update.region,
            update.address,
            update.incarnation,
            MemberState.DEAD,
            now,
        )
        self.board.members[update.name] = member
        self._set_state(member, state, now)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        own_member = self._self_member
        refutable = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if not refutable or update.incarnation < own_member.incarnation:
            return
        own_member.incarnation = update.incarnation + 1
        self.board.counters["membership.refuted"] += 1
        self._queue_update(own_member.as_update())

    def _set_state(
        self, member: Member, state: MemberState, now: float, gossip: bool = True
    ) -> None:
        # The update is queued even if the state is unchanged, since the incarnation
        # or address may be new.
        if gossip:
            previous_state = member.state
            member.state = state
            self._queue_update(member.as_update())
            member.state = previous_state
        if member.state is state:
            return
        member.state = state
        member.since_s = now
        self.board.counters[f"membership.{state.name.lower()}"] += 1
        self.board.invalidate_caches()
        self.raise_event(MembersChanged())

    def _queue_update(self, update: MemberUpdate) -> None:
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.board.members) + 2))
        self._update_queue[update.name] = _QueuedUpdate(update, sends)

    def _next_updates(self) -> tuple[MemberUpdate, ...]:
        least_sent = sorted(
            self._update_queue.values(), key=lambda queued: -queued.sends_left
        )
        taken = least_sent[:MAX_PIGGYBACKED_UPDATES]
        for queued in taken:
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                self._update_queue.pop(queued.update.name, None)
        return tuple(queued.update for queued in taken)

    def _updates_for(self, member: Member | None) -> tuple[MemberUpdate, ...]:
        updates = self._next_updates()
        if member is None:
            return updates
        # A member learns that it counts as suspect or dead, so that it can refute.
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            return (member.as_update(), *updates)
        return updates

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _probe_next(self, now: float) -> None:
        self._probe_rounds += 1
        remote = self._probe_rounds % CROSS_ZONE_PROBE_EVERY == 0
        target = self._next_target(remote) or self._next_target(not remote)
        if target is not None:
            self._probe_member(target, now)

    def _next_target(self, remote: bool) -> str | None:
        # A shuffled queue probes every member once per pass.
        queue = self._remote_targets if remote else self._local_targets
        if not queue:
            queue.extend(
                member.name
                for member in self.board.peers()
                if (member.zone != self.board.zone) is remote
            )
            self.board.rng.shuffle(queue)
        while queue:
            member = self.board.members.get(queue.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member.name
        return None

    def _probe_member(self, target: str, now: float) -> None:
        seq = self._next_seq()
        member = self.board.members[target]
        self._probes[seq] = _Probe(target, member.incarnation, now)
        self._send_ping(seq, member)

    def _send_ping(self, seq: int, member: Member) -> None:
        updates = self._updates_for(member)
        ping = Ping(
            seq, self._self_member.as_update(), self.board.tables.version, updates
        )
        self.emit(SendPeer(member.name, member.address, ping))

    def _send_ack(self, target: str, seq: int, address: str) -> None:
        version = self.board.tables.version
        updates = self._updates_for(self.board.members.get(target))
        ack = Ack(seq, self._self_member.as_update(), version, updates)
        self.emit(SendPeer(target, address, ack))

    def _probe_dead(self, now: float) -> None:
        dead = [
            member
            for member in self.board.members.values()
            if member.state is MemberState.DEAD
        ]
        for member in dead:
            if now - member.since_s > DEAD_RETENTION_S:
                del self.board.members[member.name]
        if dead:
            member = self.board.rng.choice(dead)
            self._send_ping(self._next_seq(), member)

    def _probe_seeds(self) -> None:
        known = {member.address for member in self.board.members.values()}
        for address in self.board.settings.peers.seeds:
            if address in known and self.board.joined:
                continue
            ping = Ping(
                self._next_seq(),
                self._self_member.as_update(),
                self.board.tables.version,
            )
            self.emit(SendPeer("", address, ping))

    def _expire_probes(self, now: float) -> None:
        ack_s = self._cfg.ack_s
        # The time of an indirect probe counts from the direct one before it.
        for seq, probe in list(self._probes.items()):
            if now - probe.sent_s < (2 * ack_s if probe.indirect else ack_s):
                continue
            if probe.indirect:
                del self._probes[seq]
                self._handle_probe_failure(probe, now)
            else:
                probe.indirect = True
                self._probe_indirectly(seq, probe.target)
        for seq, forwarded in list(self._forwarded_probes.items()):
            if now - forwarded.sent_s > 4 * ack_s:
                del self._forwarded_probes[seq]
        self._expire_suspects(now)

    def _probe_indirectly(self, seq: int, target: str) -> None:
        peers = [p.name for p in self.board.peers() if p.name != target]
        count = min(INDIRECT_PROBES, len(peers))
        for helper in self.board.rng.sample(sorted(peers), count):
            self.send(helper, PingRequest(seq, target))

    def _handle_probe_failure(self, probe: _Probe, now: float) -> None:
        member = self.board.members.get(probe.target)
        # The probe says nothing about a member that has restarted or refuted since.
        if member is None or member.incarnation != probe.incarnation:
            return
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, now)
        elif member.state is MemberState.LEAVING:
            self._set_state(member, MemberState.DEAD, now)

    def _expire_suspects(self, now: float) -> None:
        for member in list(self.board.members.values()):
            if member.state is not MemberState.SUSPECT:
                continue
            if now - member.since_s >= self._cfg.suspect_s:
                self._set_state(member, MemberState.DEAD, now)

    def dump(self) -> dict[str, Any]:
        """Return zone, state and incarnation of each member."""
        return {
            member.name: {
                "zone": member.zone,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
            }
            for member in self.board.members.values()
        }
