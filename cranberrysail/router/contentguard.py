"""Keeps content on which endpoints crash from reaching one after the other."""

from dataclasses import dataclass

from cranberrysail.router.call import Call
from cranberrysail.router.clock import now
from cranberrysail.router.crashdetector import Crash
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.quarantine import ContentRefusal, ContentStage, Quarantine
from cranberrysail.router.quarantineexchange import QuarantineExchange
from cranberrysail.router.quarantinegossip import incarnation_hash

__all__ = ["ContentGuard"]


@dataclass
class ContentGuard:
    """Tells the quarantine of crashes and answers, and asks it about calls.

    Attributes:
      quarantine: Content on which endpoints crash.
      exchange: Shares it with other routers.
      routers: The registered routers, which take turns with suspected content.
    """

    quarantine: Quarantine
    exchange: QuarantineExchange
    routers: RouterDirectory

    def on_crash(self, crash: Crash) -> None:
        """Record the content of the calls that were unanswered at a crash."""
        self.quarantine.record_crash(
            crash.endpoint.record.service,
            incarnation_hash(crash),
            crash.at_s,
            crash.unanswered_ids(),
            sum(not call.answered for call in crash.calls),
            now(),
        )
        self.exchange.update()

    def on_answer(self, call: Call) -> None:
        """Record that an endpoint answers a call."""
        if self.quarantine.record_answer(call.content_ids, now()):
            self.exchange.update()

    def is_known_good(self, call: Call) -> bool:
        """Return whether other calls with the same content were answered lately."""
        return self.quarantine.is_known_good(call.content_ids, now())

    def is_held_back(self, call: Call) -> bool:
        """Return whether content of a call is suspected or quarantined."""
        stages = map(self.quarantine.stage, call.content_ids)
        return any(stage is not ContentStage.OBSERVED for stage in stages)

    def check(self, call: Call) -> ContentRefusal | None:
        """Return why a call must not be sent, None if it may be."""
        return self.quarantine.check(
            call.content_ids, self.routers.rank, len(self.routers), now()
        )
