"""Tests of a router process: TLS, the operators' token, and stops after a fault."""

import asyncio
import contextlib
import hashlib
import http.client
import ssl

import pytest

from cranberrysail.process import RouterProcess
from cranberrysail.settings import (
    CallerSettings,
    OperatorSettings,
    PeerKeys,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from tests.certificate import make_certificate

TOKEN = "operator-token"
KEYS = PeerKeys(
    public="Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID",
    secret="D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs",
)


def fetch(port, path, context=None, headers=None):
    if context is None:
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    else:
        conn = http.client.HTTPSConnection(
            "127.0.0.1", port, timeout=20, context=context
        )
    conn.request("GET", path, headers=headers or {})
    response = conn.getresponse()
    body = response.read()
    conn.close()
    return response.status, body


def make_settings(callers):
    return Settings(
        name="r0",
        zone="z",
        region="r",
        callers=callers,
        operators=OperatorSettings(
            port=0, token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest()
        ),
        peers=PeerSettings(port=0, keys=KEYS),
        platform=PlatformSettings(
            log_url="http://127.0.0.1:1/log", hosts_url="http://127.0.0.1:1/hosts"
        ),
    )


def test_callers_use_tls_and_operators_need_a_token(tmp_path):
    make_certificate(tmp_path)
    cfg = make_settings(
        CallerSettings(
            port=0, tls_cert=tmp_path / "cert.pem", tls_key=tmp_path / "key.pem"
        )
    )
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE

    async def scenario():
        router = RouterProcess.from_config(cfg)
        await router.start()
        callers, operators = router.caller_port, router.operator_port
        token = {"Authorization": f"Bearer {TOKEN}"}
        wrong = {"Authorization": "Bearer guess"}
        results = [
            await asyncio.to_thread(fetch, callers, "/x", context),
            await asyncio.to_thread(fetch, operators, "/dump"),
            await asyncio.to_thread(fetch, operators, "/dump", None, wrong),
            await asyncio.to_thread(fetch, operators, "/dump", None, token),
            await asyncio.to_thread(fetch, operators, "/health"),
            await asyncio.to_thread(fetch, operators, "/ready"),
        ]
        await router.close()
        return results

    results = asyncio.run(scenario())
    assert [status for status, _ in results] == [401, 401, 401, 200, 200, 503]
    assert TOKEN.encode() not in results[3][1]
    assert KEYS.secret.encode() not in results[3][1]


def fail_first_tick(router):
    handle, calls = router.node.handle, []

    def handle_or_fail(event, now):
        calls.append(event)
        if len(calls) == 1:
            raise LookupError("a fault of the test")
        return handle(event, now)

    router.node.handle = handle_or_fail


def add_action_that_fails(router):
    handle = router.node.handle
    router.node.handle = lambda event, now: ["unknown", *handle(event, now)]


@pytest.mark.parametrize("fault", [fail_first_tick, add_action_that_fails])
def test_process_stops_after_an_exception_in_a_tick(fault):
    """Guards against a process that ignores a stop since its timer has ended."""

    async def scenario():
        router = RouterProcess.from_config(make_settings(CallerSettings(port=0)))
        await router.start()
        fault(router)
        await asyncio.sleep(0.2)
        with contextlib.suppress(ExceptionGroup):
            router.request_stop()
        async with asyncio.timeout(10.0):
            await router.run()

    asyncio.run(scenario())


def test_operator_listener_on_other_than_loopback_requires_a_token():
    with pytest.raises(ValueError, match="token_sha256 is needed"):
        OperatorSettings(address="10.0.0.1")


def test_single_tls_file_is_rejected():
    with pytest.raises(ValueError, match="go together"):
        CallerSettings(tls_cert="cert.pem")
