"""Responses of the store and of peers: taken whole, or not at all."""

import pytest

from cranberrysail.router import httpstore
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.store import StoreError
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b"x" * 400


def request(script, requests=1):
    async def main(loop):
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script] * requests)
        client = HttpStoreClient(ADDRESS, 1.0)
        for _ in range(requests):
            response = await client.request("records", "GET", "/", b"", 1.0)
        return response.body

    return run_virtual(main)


def test_whole_response_is_returned():
    assert request(Script([WHOLE]), requests=2) == b"x" * 400


def test_response_above_the_size_limit_is_an_error(monkeypatch):
    monkeypatch.setattr(httpstore, "MAX_RESPONSE_BYTES", 100)
    with pytest.raises(StoreError, match="limit"):
        request(Script([WHOLE[:-200], WHOLE[-200:]]))
