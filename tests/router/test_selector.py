"""What a choice among many endpoints looks at."""

import random

import pytest

from cranberrysail.router.config import RouterConfig
from cranberrysail.router.eligibility import AllEligible
from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.load import LoadReport, LoadTracker
from cranberrysail.router.model import EndpointRecord, RouteTables, Service
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.selector import Selector

SLOTS = 12
# Estimates of a call on average; a few endpoints in rank may be full.
MAX_ESTIMATES = 4
CALLS = 50


def make_selector(endpoints):
    directory = EndpointDirectory()
    loads = LoadTracker()
    rng = random.Random(1)
    for number in range(endpoints):
        address = f"10.1.{number // 250}.{number % 250}:80"
        record = EndpointRecord(f"e{number}", 1, 1, "s", address, "a", SLOTS)
        directory.declare(record, 0.0)
        endpoint = directory.get(f"e{number}")
        loads.record_report(endpoint, LoadReport(rng.randrange(9), 0, SLOTS), 0.5)
    cfg = RouterConfig("r1", "a", "", "", "", "", "")
    routers = RouterDirectory("r1", "a")
    return Selector(cfg, directory, loads, routers, random.Random(2))


@pytest.mark.parametrize("endpoints", [62, 124, 1000])
def test_call_does_not_estimate_the_load_of_every_endpoint(endpoints, monkeypatch):
    estimated = []
    original = LoadTracker.estimate

    def count(self, endpoint, *args):
        estimated.append(endpoint)
        return original(self, endpoint, *args)

    monkeypatch.setattr(LoadTracker, "estimate", count)
    selector = make_selector(endpoints)
    tables = RouteTables(1, (), {"s": Service("s", engine_slots=SLOTS)})
    for number in range(CALLS):
        prompt = ("shared", f"prompt-{number}", "own")
        assert selector.choose(tables, "s", prompt, set(), 5.0, 1.0).endpoint
    assert len(estimated) <= CALLS * MAX_ESTIMATES


class OneOfTwo(AllEligible):
    """Considers the first endpoint only, and for retries the others."""

    def eligible(self, service, usable, admissible, is_retry, now):
        return usable[1:] if is_retry else usable[:1]

    def restricts(self, service):
        return True


def test_call_is_not_refused_because_the_tried_version_is_full():
    """Endpoints of a new version that are slow refused calls that others could take."""
    selector = make_selector(2)
    full, free = selector.endpoints
    report = LoadReport(SLOTS, 900, SLOTS)
    selector.loads.record_report(full, report, 0.9)
    selector.loads.record_report(free, LoadReport(1, 0, SLOTS), 0.9)
    selector.rollouts = OneOfTwo()
    tables = RouteTables(1, (), {"s": Service("s", engine_slots=SLOTS)})
    assert selector.choose(tables, "s", ("p", "own"), set(), 2.0, 1.0).endpoint is free
