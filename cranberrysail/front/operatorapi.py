"""The HTTP interface for operators: health, state, explanations, metrics."""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from cranberrysail.decisions.explain import explain_call
from cranberrysail.decisions.node import Node
from cranberrysail.decisions.tablestate import encode_record, take_snapshot
from cranberrysail.front.response import (
    Headers,
    Response,
    json_response,
    text_response,
    write_response,
)
from cranberrysail.metrics import Metrics
from cranberrysail.router.httplistener import HttpRequest, HttpServerConn
from cranberrysail.settings import OperatorSettings

__all__ = ["OperatorApi"]

MAX_REQUEST_ID_CHARS = 128


class OperatorApi:
    """Serves the HTTP interface for operators."""

    def __init__(
        self,
        cfg: OperatorSettings,
        node: Node,
        metrics: Metrics,
        process_state: Callable[[], dict[str, Any]],
        counters: Callable[[], dict[str, int]],
    ) -> None:
        """Create the interface.

        Args:
          cfg: Settings of the listener.
          node: The node whose state is reported.
          metrics: The histograms that are reported.
          process_state: Returns the state of the process, for the dump.
          counters: Returns all counters.
        """
        self._cfg = cfg
        self._node = node
        self._metrics = metrics
        self._process_state = process_state
        self._counters = counters
        self._handlers = {
            "/health": self._health,
            "/ready": self._ready,
            "/dump": self._dump,
            "/metrics": self._metrics_text,
            "/tables": self._tables,
        }

    async def serve(self, request: HttpRequest, conn: HttpServerConn) -> None:
        """Handle a request."""
        await write_response(self._respond(request), conn)

    def reject(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Return headers and body of the response to a request that is not valid.

        Args:
          status: HTTP status code.
          reason: Error code.
        """
        response = text_response(f"{reason}\n", status)
        return response.headers, response.body

    def _respond(self, request: HttpRequest) -> Response:
        path = request.path
        if path not in ("/health", "/ready") and not self._is_authorized(request):
            return text_response("Send the operator's token as a bearer token.\n", 401)
        if request.method != "GET":
            return text_response("Use GET.\n", 405)
        if path.startswith("/explain/"):
            return self._explain(path.removeprefix("/explain/"))
        handler = self._handlers.get(path)
        if handler is None:
            paths = ", ".join([*self._handlers, "/explain/REQUEST-ID"])
            return text_response(f"Use one of {paths}.\n", 404)
        return handler()

    def _is_authorized(self, request: HttpRequest) -> bool:
        expected = self._cfg.token_sha256
        if expected is None:
            return True
        header = request.header(b"authorization")
        token = header.removeprefix(b"Bearer ")
        return hmac.compare_digest(hashlib.sha256(token).hexdigest(), expected)

    def _health(self) -> Response:
        return text_response("ok\n")

    def _ready(self) -> Response:
        board = self._node.board
        if board.draining:
            return text_response("draining\n", 503)
        if not board.tables.routes:
            return text_response("tables not yet received\n", 503)
        if not board.listed_endpoints:
            return text_response("list of hosts not yet received\n", 503)
        if not board.joined:
            return text_response("member list not yet received\n", 503)
        return text_response("ready\n")

    def _dump(self) -> Response:
        state = self._node.dump()
        state["process"] = self._process_state()
        state["durations"] = self._metrics.summary()
        return json_response(state)

    def _metrics_text(self) -> Response:
        return text_response(self._metrics.text(self._counters()))

    def _tables(self) -> Response:
        snapshot = take_snapshot(self._node.board.tables, "operator")
        response = text_response("")
        response.body = encode_record(snapshot)
        return response

    def _explain(self, request_id: str) -> Response:
        record = self._node.board.recent_calls.find(request_id[:MAX_REQUEST_ID_CHARS])
        if record is None:
            return text_response(
                "This router has no record of the request; ask the router that "
                "received it.\n",
                404,
            )
        return text_response("\n".join(explain_call(record)) + "\n")
