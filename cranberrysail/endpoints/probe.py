"""Probes of endpoints for their load reports."""

import asyncio

import msgspec

from cranberrysail.decisions.events import LoadReport
from cranberrysail.endpoints.upstream import UpstreamRequest, open_call
from cranberrysail.errors import UpstreamError

__all__ = ["LOAD_PATH", "probe_endpoint"]

LOAD_PATH = "/load"
MAX_REPORT_BYTES = 4096
_report_decoder = msgspec.json.Decoder(LoadReport)


async def probe_endpoint(address: str, timeout_s: float) -> LoadReport | None:
    """Return an endpoint's load report, or None if the probe fails.

    Args:
      address: ``host:port`` of the endpoint.
      timeout_s: Timeout of the whole probe, in seconds.
    """
    call = None
    try:
        async with asyncio.timeout(timeout_s):
            call = await open_call(address, timeout_s)
            call.write(UpstreamRequest("GET", LOAD_PATH, ()), address)
            await call.wait_for_response()
            body = await call.read_all(MAX_REPORT_BYTES)
        return _report_decoder.decode(body)
    except (UpstreamError, TimeoutError, msgspec.DecodeError):
        return None
    finally:
        if call is not None:
            call.close()
