"""What an endpoint's owner knows about the endpoint."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from cranberrysail.decisions.events import ListedHost, LoadReport
from cranberrysail.decisions.messages import HeldCall
from cranberrysail.decisions.warmth import Warmth

__all__ = ["Permit", "PermitKey", "Slot"]

MAX_CHATS = 4096
MAX_MOVED = 1024
REPORT_LAG_S = 2.0
RELEASED_S = 10.0


@dataclass(frozen=True)
class PermitKey:
    """Identifies a permit: its holder and the holder's call."""

    router: str
    call: int


@dataclass
class Permit:
    """An admitted call.

    Attributes:
      granted_s: When it was granted.
      confirmed_s: When its holder last confirmed it.
    """

    customer: str
    chat: int
    granted_s: float
    confirmed_s: float


@dataclass
class Slot:
    """An owned endpoint.

    Attributes:
      since_s: When ownership began.
      settled: True once the permits of earlier owners are known.
      chats: Chats served lately, oldest first, with the time of the last call.
      moved: Where chats live whose first endpoint this is.
      waiting_priority: Best priority that was denied lately.
      waiting_until_s: Until when that counts.
      denied: When each customer was last denied for lack of room.
    """

    host: ListedHost
    warmth: Warmth
    since_s: float
    settled: bool = False
    permits: dict[PermitKey, Permit] = field(default_factory=dict)
    customers: Counter = field(default_factory=Counter)
    report: LoadReport | None = None
    report_s: float = 0.0
    granted_since_report: int = 0
    chats: OrderedDict[int, float] = field(default_factory=OrderedDict)
    moved: OrderedDict[int, str] = field(default_factory=OrderedDict)
    waiting_priority: int = 0
    waiting_until_s: float = 0.0
    denied: dict[str, float] = field(default_factory=dict)
    next_probe_s: float = 0.0
    _peaks: list[tuple[float, int]] = field(default_factory=list)
    _released: dict[PermitKey, float] = field(default_factory=dict)

    def add(self, key: PermitKey, permit: Permit, now: float) -> None:
        """Record a permit."""
        if key in self.permits:
            self.permits[key].confirmed_s = now
            return
        if key in self._released:
            return
        self.permits[key] = permit
        self.customers[permit.customer] += 1
        self._note_peak(now)

    def remove(self, key: PermitKey, now: float) -> Permit | None:
        """Forget a permit and return it if it was known."""
        permit = self.permits.pop(key, None)
        if permit is None:
            return None
        self._note_peak(now, extra=1)
        self.customers[permit.customer] -= 1
        if self.customers[permit.customer] <= 0:
            del self.customers[permit.customer]
        return permit

    def note_released(self, key: PermitKey, now: float) -> None:
        """Remember a release that came before its permit was known here."""
        self._released = {
            known: at for known, at in self._released.items() if now - at < RELEASED_S
        }
        self._released[key] = now

    def _note_peak(self, now: float, extra: int = 0) -> None:
        self._peaks = [p for p in self._peaks if now - p[0] < REPORT_LAG_S]
        self._peaks.append((now, len(self.permits) + extra))

    def peak(self, now: float) -> int:
        """Return the most permits known at once within the lag of reports."""
        recent = [count for at, count in self._peaks if now - at < REPORT_LAG_S]
        return max([len(self.permits), *recent])

    def foreign(self, now: float) -> int:
        """Return reported calls for which no permit of this owner accounts."""
        if self.report is None:
            return 0
        return max(0, self.report.open - self.peak(now))

    def open(self, now: float) -> int:
        """Return open calls, those of unknown origin included."""
        return len(self.permits) + self.foreign(now)

    def sure_open(self, now: float) -> int:
        """Return open calls that are certain, for sums that must err low."""
        if self.report is None:
            return len(self.permits)
        return min(self.open(now), self.report.open + self.granted_since_report)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take a load report."""
        self.report = report
        self.report_s = now
        self.granted_since_report = 0
        if self.warmth.instance not in ("", report.instance):
            self.chats.clear()
        self.warmth.heard(report.instance, report.ready, report.open, now)

    def remember_chat(self, chat: int, now: float) -> None:
        """Note that the endpoint serves a chat."""
        self.chats[chat] = now
        self.chats.move_to_end(chat)
        if len(self.chats) > MAX_CHATS:
            self.chats.popitem(last=False)

    def remember_moved(self, chat: int, at: str) -> None:
        """Note where a chat lives whose first endpoint this is."""
        self.moved[chat] = at
        self.moved.move_to_end(chat)
        if len(self.moved) > MAX_MOVED:
            self.moved.popitem(last=False)

    def held_by(self) -> dict[str, tuple[HeldCall, ...]]:
        """Return the permits by holder."""
        holders: dict[str, list[HeldCall]] = {}
        for key, permit in self.permits.items():
            held = HeldCall(key.call, permit.customer, permit.chat)
            holders.setdefault(key.router, []).append(held)
        return {router: tuple(held) for router, held in holders.items()}
