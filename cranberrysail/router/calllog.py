"""Log lines and metrics about single calls."""

from dataclasses import dataclass

from cranberrysail.router.call import Call
from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.headercodec import CallHead
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.outcome import Attempt, NextStep
from cranberrysail.router.quarantine import ContentRefusal
from cranberrysail.router.selector import Choice

__all__ = ["CallLog"]


@dataclass(frozen=True)
class CallLog:
    """Writes what happens to a call to the log, and counts it."""

    log: DecisionLog
    metrics: RouterMetrics

    def denied(
        self, head: CallHead, status: int, error_code: str, tables_version: int
    ) -> None:
        """Log a request that callers must correct before it can be served."""
        self.log.write(
            "denied",
            id=head.request_id,
            status=status,
            why=error_code,
            tables=tables_version,
        )

    def placed(self, call: Call, choice: Choice) -> None:
        """Log the endpoint that was chosen for an attempt."""
        endpoint = choice.endpoint
        self.log.write(
            "placed",
            id=call.head.request_id,
            route=call.route.name,
            endpoint=endpoint.id,
            version=endpoint.record.version or None,
            load=round(choice.load, 1),
            of=choice.candidates,
            mean=round(choice.mean_load, 1),
            spill_load=round(choice.spill_load, 1),
            rank=choice.rank,
            report_age_s=_rounded(choice.report_age_s),
            cache_from=choice.cache_source.id if choice.cache_source else None,
            cold=endpoint.is_cold(now()),
            declared_age_s=round(now() - endpoint.declared_s, 2),
            **choice.work_fields(),
            tables=call.tables.version,
            attempt=len(call.tried) + 1,
        )

    def delivered(self, call: Call, endpoint: Endpoint, attempt: Attempt) -> None:
        """Log a call whose response was sent to its caller."""
        elapsed_s = now() - call.request.arrived_s
        self.metrics.observe("call", elapsed_s)
        self.log.write(
            "delivered",
            id=call.head.request_id,
            endpoint=endpoint.id,
            ms=round(elapsed_s * 1000),
            first_ms=round(call.latency_s * 1000),
            late=call.latency_s > call.route.target_latency_s,
            **_response_fields(attempt),
        )

    def attempt_ended(
        self,
        call: Call,
        endpoint: Endpoint,
        attempt: Attempt,
        within_budget: bool,
        step: NextStep,
    ) -> None:
        """Log an attempt that delivered no response, and what follows.

        Args:
          call: The call.
          endpoint: The endpoint of the attempt.
          attempt: The attempt.
          within_budget: Whether the retry budget allowed a retry; also true if none was
            due.
          step: What follows.
        """
        self.log.write(
            "attempt_ended",
            id=call.head.request_id,
            endpoint=endpoint.id,
            result=attempt.result,
            why=attempt.why,
            ran=call.executions,
            repeat_budget=within_budget,
            next=step,
            **_response_fields(attempt),
        )

    def content_refused(self, call: Call, refusal: ContentRefusal) -> None:
        """Log a call that was not sent because of its content."""
        self.metrics.count("content_refusals", refusal.stage.value)
        self.log.write(
            "content_refused",
            id=call.head.request_id,
            content=refusal.content_id,
            stage=refusal.stage,
            crashes=refusal.crashes,
            wait_s=round(refusal.wait_s, 2),
            ran=call.executions,
        )

    def no_endpoint(self, call: Call, choice: Choice) -> None:
        """Log a call without an endpoint: there is none, or all are cold or full."""
        self.log.write(
            "no_endpoint",
            id=call.head.request_id,
            service=call.service,
            why=choice.reason,
            load=round(choice.load, 1),
            of=choice.candidates,
            ran=call.executions,
        )

    def time_over(self, call: Call) -> None:
        """Log a call that was not complete by its deadline."""
        self.log.write(
            "time_over",
            id=call.head.request_id,
            ran=call.executions,
            # Id of the last event sent.
            events=call.event_splitter.last_id.decode("latin-1"),
        )

    def caller_left(self, call: Call) -> None:
        """Log a call whose caller disconnected."""
        self.log.write("caller_left", id=call.head.request_id, ran=call.executions)


def _response_fields(attempt: Attempt) -> dict[str, object]:
    """Return the log fields that tell how far an endpoint's response came."""
    received = attempt.received
    if received is None:
        return {}
    fields = {
        "status": received.status,
        "framing": received.framing,
        "body_bytes": received.body_bytes,
    }
    if received.whole_events is not None:
        fields["whole_events"] = received.whole_events
        fields["partial_bytes"] = received.partial_bytes
    return fields


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)
