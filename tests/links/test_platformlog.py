"""Reads of the log and of the list of hosts, from responses that are cut."""

import msgspec
import pytest

from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.errors import LogUnavailableError
from cranberrysail.links.platformlog import HostListClient, HttpLog, LogPage
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual
from tests.support import make_hosts

URL = f"http://{ADDRESS}"


def read_body(body, read):
    """Read a response that has no length and ends with its connection."""
    script = Script([b"HTTP/1.1 200 OK\r\n\r\n" + body], "close")

    async def main(loop):
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
        return await read()

    return run_virtual(main)


PAGE = LogPage(1, 2, 0.0, (LogRecord(1, 5.0, b"a"), LogRecord(2, 6.0, b"b")))
HOSTS = tuple(make_hosts(zones=("vulcano",), engines=2))


@pytest.mark.parametrize(
    ("whole", "read"),
    [
        (PAGE, lambda: HttpLog(URL, 1.0).read("tables", 0)),
        (HOSTS, lambda: HostListClient(URL, 1.0).read()),
    ],
    ids=["log", "hosts"],
)
def test_part_of_a_response_is_never_taken_for_the_whole(whole, read):
    body = msgspec.json.encode(whole)
    assert read_body(body, read) == whole
    for size in range(len(body)):
        with pytest.raises(LogUnavailableError):
            read_body(body[:size], read)
