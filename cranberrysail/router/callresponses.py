"""Responses that the router itself gives: refusals, denials and other errors."""

import random
from collections.abc import Callable

import msgspec

from cranberrysail.router.admission import (
    AdmissionBound,
    RefusalReason,
    jittered_retry_after_s,
)
from cranberrysail.router.call import Call
from cranberrysail.router.calllog import CallLog
from cranberrysail.router.headercodec import BaseHeaderCodec, CallHead, Headers
from cranberrysail.router.httplistener import HttpServerConn
from cranberrysail.router.outcome import NextStep
from cranberrysail.router.quarantine import ContentRefusal, ContentStage
from cranberrysail.router.selector import Choice

__all__ = ["CallResponder", "error_response"]

# Content-Type header of responses that the router generates itself.
JSON_HEADER = (b"content-type", b"application/json")
# Wait for an endpoint, in seconds, that the retry delay assumes before tables and
# endpoints have been read.
NOT_LOADED_WAIT_S = 0.5
# Time that a caller is assumed to wait if it does not say, as long as there are no
# tables with the timeout of its route.
DEFAULT_CALLER_TIMEOUT_S = 1.0
# Retry delay after the deadline passed before the call was executed. It is not computed
# as usual, since no time remains of which it could be a share.
TOO_LATE_RETRY_AFTER_S = 0.1
# Refusals for lack of capacity, after which callers come back in order.
SCARCE_CAPACITY = frozenset(
    (
        RefusalReason.FULL,
        RefusalReason.ENDPOINT_REFUSED,
        RefusalReason.PRESSED,
        RefusalReason.OVER_SHARE,
        RefusalReason.LONG_WAIT,
    )
)


def error_response(status: int, error_code: str) -> tuple[Headers, bytes]:
    """Return headers and body of an error response by the router itself.

    Args:
      status: HTTP status.
      error_code: Error code for the body.
    """
    body = msgspec.json.encode({"error": error_code})
    return [JSON_HEADER], body


class CallResponder:
    """Sends the router's own responses to callers.

    Attributes:
      bound: Limits on the retry delay.
    """

    def __init__(
        self,
        bound: AdmissionBound,
        header_codec: BaseHeaderCodec,
        call_log: CallLog,
        scheduled_retry_s: Callable[[Call, float], float | None],
    ) -> None:
        """Create a responder.

        Args:
          bound: Limits on the retry delay.
          header_codec: Translates to and from the platform's HTTP headers.
          call_log: Log and metrics of calls.
          scheduled_retry_s: Returns the retry delay of a call that is refused for lack
            of capacity, by the expected wait; None if none is scheduled.
        """
        self.bound = bound
        self._scheduled_retry_s = scheduled_retry_s
        self._header_codec = header_codec
        self._call_log = call_log

    def _send_error(
        self,
        conn: HttpServerConn,
        head: CallHead,
        status: int,
        error_code: str,
        retry_after_s: float | None = None,
    ) -> None:
        headers, body = error_response(status, error_code)
        headers += self._header_codec.error_headers(head.request_id, retry_after_s)
        conn.send_response(status, headers, body)
        self._call_log.metrics.count("answers_own", f"{status} {error_code}")

    def _retry_after_s(self, wait_s: float, remaining_s: float) -> float:
        return jittered_retry_after_s(self.bound, wait_s, remaining_s, random.random())

    def short_of_memory(self, head: CallHead) -> Headers:
        """Return further headers of a refusal of a request that was not handled."""
        retry_after_s = self._retry_after_s(
            0.0, head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        )
        self._call_log.log.write("refused", id=head.request_id, why="memory_short")
        self._call_log.metrics.count("answers_own", "503 memory_short")
        return self._header_codec.error_headers(head.request_id, retry_after_s)

    def deny(
        self,
        conn: HttpServerConn,
        head: CallHead,
        status: int,
        error_code: str,
        tables_version: int,
    ) -> None:
        """Respond to a request that cannot be served as it is."""
        self._send_error(conn, head, status, error_code)
        self._call_log.denied(head, status, error_code, tables_version)

    def refuse_not_loaded(self, conn: HttpServerConn, head: CallHead) -> None:
        """Refuse a call for which tables or endpoints have not been read yet."""
        retry_after_s = self._retry_after_s(
            NOT_LOADED_WAIT_S, head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        )
        reason = RefusalReason.NO_TABLES
        self._send_error(conn, head, 503, reason.value, retry_after_s)
        self._call_log.log.write("refused", id=head.request_id, why=reason)

    def refuse(self, call: Call, reason: RefusalReason, wait_s: float) -> None:
        """Refuse a call that was not executed.

        Args:
          call: The call.
          reason: Why it is refused.
          wait_s: Expected time until it could be sent.
        """
        self._refuse_without_log(call, reason, wait_s)
        self._call_log.log.write("refused", id=call.head.request_id, why=reason)

    def _refuse_without_log(
        self, call: Call, reason: RefusalReason, wait_s: float
    ) -> None:
        retry_after_s = None
        if reason in SCARCE_CAPACITY:
            retry_after_s = self._scheduled_retry_s(call, wait_s)
        if retry_after_s is None:
            retry_after_s = self._retry_after_s(wait_s, call.remaining_s)
        self._send_error(call.caller_conn, call.head, 503, reason.value, retry_after_s)

    def refuse_content(self, call: Call, refusal: ContentRefusal) -> None:
        """Respond to a call that is not sent because of its content."""
        self._call_log.content_refused(call, refusal)
        if call.executions or call.response_started or call.endpoint_error is not None:
            self.finish(call, NextStep.ANSWER_UNKNOWN)
            return
        retry_after_s = self._retry_after_s(refusal.wait_s, call.remaining_s)
        if refusal.stage is ContentStage.QUARANTINED:
            # To come back earlier would be in vain.
            retry_after_s = refusal.wait_s
        error_code = RefusalReason.CONTENT.value
        self._send_error(call.caller_conn, call.head, 503, error_code, retry_after_s)

    def no_endpoint(self, call: Call, choice: Choice) -> None:
        """Respond to a call for which there is no endpoint."""
        self._call_log.no_endpoint(call, choice)
        if call.response_started:
            self.finish(call, NextStep.BREAK_OFF)
        elif call.endpoint_error is not None:
            self.finish(call, NextStep.GIVE_FAILURE)
        elif call.executions:
            self.finish(call, NextStep.ANSWER_UNKNOWN)
        else:
            self._refuse_without_log(call, choice.reason, choice.wait_s)

    def deadline_exceeded(self, call: Call, ended_by_stop: bool) -> None:
        """Respond to a call that was not complete by its deadline.

        Args:
          call: The call.
          ended_by_stop: Whether a planned stop of the router shortened its time.
        """
        self._call_log.time_over(call)
        if call.response_started:
            call.caller_conn.abort()
        elif call.executions:
            self._send_error(call.caller_conn, call.head, 504, "no_answer_in_time")
        else:
            reason = RefusalReason.STOPPING if ended_by_stop else RefusalReason.TOO_LATE
            self._send_error(
                call.caller_conn, call.head, 503, reason.value, TOO_LATE_RETRY_AFTER_S
            )

    def finish(self, call: Call, step: NextStep) -> None:
        """Send the final response of a call that no attempt served.

        Args:
          call: The call.
          step: The step that ends it.
        """
        if call.response_started:
            call.caller_conn.abort()
        elif step is NextStep.GIVE_FAILURE or call.endpoint_error is not None:
            status, headers, body = call.endpoint_error
            call.caller_conn.send_response(status, headers, body)
        elif step is NextStep.REFUSE:
            # Also given if no connection to an endpoint could be opened.
            self._refuse_without_log(call, RefusalReason.ENDPOINT_REFUSED, 0.0)
        else:
            self._send_error(call.caller_conn, call.head, 502, "outcome_unknown")
