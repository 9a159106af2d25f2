"""Tests of the boundaries between the platform adapter and the rest of the code."""

from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "cranberrysail"
PLATFORM_FOLDER = "platform"
PLATFORM_WORDS = (
    "cranberrysail-",
    "node.toml",
    "keyed.",
    "log-read",
    "log-newest",
    "log-append",
    "cold_remaining",
    "path_prefix",
    "max_attempts_",
    "traffic_split",
    "stream_resumption",
    "session_affinity",
    "api_keys",
    "non_idempotent",
    "evacuat",
    "fleetbench",
    "tenant",
    "back end",
    "/v1/readiness",
)


def files_outside_platform():
    return [p for p in SOURCES.rglob("*.py") if p.parent.name != PLATFORM_FOLDER]


@pytest.mark.parametrize("word", PLATFORM_WORDS)
def test_platform_words_are_confined_to_its_folder(word):
    found = [
        p.name for p in files_outside_platform() if word in p.read_text("utf-8").lower()
    ]
    assert found == []


def test_platform_folder_is_small():
    lines = sum(
        len(p.read_text("utf-8").splitlines())
        for p in (SOURCES / PLATFORM_FOLDER).glob("*.py")
    )
    assert lines < 900


def test_routing_decisions_use_no_clock_and_no_io():
    decisions = (
        "admission",
        "allocation",
        "coldlimit",
        "connectionlimit",
        "customershares",
        "endpoints",
        "load",
        "memoryaccount",
        "outcome",
        "placement",
        "plainlimits",
        "prefillbacklog",
        "responsetimes",
        "retrybudget",
        "returnschedule",
        "rollout",
        "rolloutevidence",
        "rolloutmodel",
        "rotation",
        "servicepressure",
        "waitingroom",
        "zonereachability",
    )
    for name in decisions:
        text = (SOURCES / "router" / f"{name}.py").read_text("utf-8")
        for word in ("import time", "asyncio", "clock", "socket", "import random"):
            assert word not in text, f"{name} uses {word}"
