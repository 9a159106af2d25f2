"""Tests of the command line interface, each command in a process of its own."""

import asyncio
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from cranberrysail.demo.simulated import SimulatedPlatform

ROOT = Path(__file__).parent.parent
EXAMPLES = sorted((ROOT / "examples").glob("*.jsonc"))
TABLES = ROOT / "examples" / "associazione.tables.jsonc"


def run(*args):
    command = [sys.executable, "-m", "cranberrysail", *map(str, args)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.fixture
def log_url():
    with asyncio.Runner() as runner:
        platform = SimulatedPlatform()
        runner.run(platform.start())
        stop = asyncio.Event()
        loop = runner.get_loop()
        thread = threading.Thread(target=lambda: runner.run(stop.wait()))
        thread.start()
        yield platform.log_url
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        runner.run(platform.stop())


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_the_examples_are_valid(path):
    result = run("check", path)
    assert result.returncode == 0, result.stderr
    assert "valid" in result.stdout


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"pools": {}, "routes": {}, "poools": {}}', ("poools", "remove this key")),
        ('{"pools": {},\n "routes": }', ("line 2", "correct the syntax")),
        ('{"pools": {}}', ("routes", "add this key")),
        (
            '{"pools":{},"routes":{"r":{"prefix":"/x","pool":"p"}}}',
            ("there is no pool 'p'",),
        ),
        ('{"name": "UPPER"}', ("name", "correct this value")),
    ],
)
def test_an_invalid_file_is_rejected_with_location_and_remedy(tmp_path, text, expected):
    path = tmp_path / "file.jsonc"
    path.write_text(text)
    result = run("check", path)
    assert result.returncode == 2
    assert str(path) in result.stderr
    for part in expected:
        assert part in result.stderr


def test_a_missing_file_is_an_error(tmp_path):
    result = run("run", tmp_path / "none.jsonc")
    assert result.returncode == 2
    assert "check the path" in result.stderr


def test_tables_are_published_and_zones_and_hosts_taken_out(log_url):
    published = run("publish", TABLES, "--log", log_url)
    assert published.returncode == 0, published.stderr
    assert "version 1 changes" in published.stdout
    unchanged = run("publish", TABLES, "--log", log_url)
    assert "nothing to change" in unchanged.stdout
    zone_out = run("zone", "out", "vulcano", "--log", log_url, "--reason", "works")
    assert "version 2 changes zone/vulcano" in zone_out.stdout
    zone_in = run("zone", "in", "vulcano", "--log", log_url)
    assert zone_in.returncode == 0
    host_out = run("host", "out", "host-1", "--log", log_url)
    assert "host/host-1" in host_out.stdout


def test_an_edit_based_on_an_old_version_is_a_conflict(log_url, tmp_path):
    run("publish", TABLES, "--log", log_url)
    path = tmp_path / "tables.jsonc"
    path.write_text(TABLES.read_text().replace('"max_open": 32', '"max_open": 16'))
    run("publish", path, "--log", log_url)
    path.write_text(TABLES.read_text().replace('"max_open": 32', '"max_open": 8'))
    result = run("publish", path, "--log", log_url, "--base", "1")
    assert result.returncode == 3
    assert "fetch the tables again" in result.stderr


def test_a_log_that_does_not_answer_is_an_error():
    result = run("zone", "out", "x", "--log", "http://127.0.0.1:1/log")
    assert result.returncode == 5
    assert "try again later" in result.stderr


def test_a_router_that_does_not_answer_is_an_error():
    result = run("dump", "--operators", "http://127.0.0.1:1")
    assert result.returncode == 1
    assert "does not answer" in result.stderr


def test_a_usage_error_exits_with_2_and_help_with_0():
    assert run("frobnicate").returncode == 2
    assert run("--help").returncode == 0


def test_replay_with_a_difference_exits_with_1(tmp_path):
    """Guards against a failed replay that scripts take for a passed one."""
    head = next((ROOT / "traces").glob("*.jsonl")).read_text().splitlines()[0]
    path = tmp_path / "trace.jsonl"
    path.write_text(f'{head}\n{{"type": "end", "least": {{"answered": 1}}}}')
    result = run("replay", path)
    assert "differs" in result.stderr
    assert result.returncode == 1
