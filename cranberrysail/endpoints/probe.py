"""Asking an endpoint for its load."""

import asyncio

import msgspec

from cranberrysail.decisions.events import LoadReport
from cranberrysail.endpoints.upstream import UpstreamRequest, open_call
from cranberrysail.errors import UpstreamError

__all__ = ["LOAD_PATH", "probe_endpoint"]

LOAD_PATH = "/load"
MAX_REPORT_BYTES = 4096
_decoder = msgspec.json.Decoder(LoadReport)


async def probe_endpoint(address: str, timeout_s: float) -> LoadReport | None:
    """Return an endpoint's load report, or None if it gives none.

    Args:
      address: ``host:port`` of the endpoint.
      timeout_s: Time after which the probe is given up.
    """
    call = None
    try:
        async with asyncio.timeout(timeout_s):
            call = await open_call(address, timeout_s)
            call.write(UpstreamRequest("GET", LOAD_PATH, ()), address)
            await call.response()
            body = await call.read_all(MAX_REPORT_BYTES)
        return _decoder.decode(body)
    except (UpstreamError, TimeoutError, msgspec.DecodeError):
        return None
    finally:
        if call is not None:
            call.close()
