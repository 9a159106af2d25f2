"""Responses of services by URL: taken whole, or not at all."""

import pytest

from cranberrysail.errors import UpstreamError
from cranberrysail.links import webclient
from cranberrysail.links.webclient import WebClient
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b"x" * 400


def call(script):
    async def main(loop):
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
        return await WebClient(1.0).call("GET", f"http://{ADDRESS}/")

    return run_virtual(main)


def test_whole_response_is_returned():
    assert call(Script([WHOLE])).body == b"x" * 400


def test_response_above_the_size_limit_is_an_error(monkeypatch):
    monkeypatch.setattr(webclient, "MAX_BODY_BYTES", 100)
    with pytest.raises(UpstreamError, match="limit"):
        call(Script([WHOLE[:-200], WHOLE[-200:]]))
