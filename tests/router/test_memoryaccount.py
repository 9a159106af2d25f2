"""Decisions of the account of memory: who yields, and what callers still get."""

import random

import pytest

from cranberrysail.router.memoryaccount import (
    CONNECTION_BYTES,
    HEADER_OBJECT_BYTES,
    HoldingKind,
    MemoryAccount,
    MemoryHolding,
    budget_bytes,
)

MB = 1024 * 1024
BODY_BYTES = 4_194_304


def add(account, kind, held_bytes, since_s):
    holding = MemoryHolding(lambda: None, kind)
    account.charge(holding, held_bytes, since_s)
    return holding


@pytest.mark.parametrize(
    ("memory_mb", "expected_mb"),
    [(0, 80), (200, 80), (552, 220.8), (10, 16), (-1, 80), (float("nan"), 80)],
)
def test_budget_is_a_fraction_of_the_memory(memory_mb, expected_mb):
    """Guards against a budget of nothing, or an error, if the settings are odd."""
    assert budget_bytes(memory_mb) == pytest.approx(expected_mb * MB, abs=1)


def test_one_legal_request_never_makes_anybody_yield():
    """Guards against defaults that callers within the limits of the tables meet."""
    account = MemoryAccount(budget_bytes(1))
    head_bytes = 16384 // 6 * (HEADER_OBJECT_BYTES + 6)
    incoming = add(account, HoldingKind.INCOMING, BODY_BYTES + head_bytes, 0.0)
    assert account.next_to_yield(15.0) == []
    account.charge(incoming, 0, 1.0)
    request_bytes = BODY_BYTES + head_bytes
    assert account.has_room(request_bytes + BODY_BYTES)
    add(account, HoldingKind.RUNNING, request_bytes + BODY_BYTES, 1.0)
    assert account.next_to_yield(15.0) == []


def test_incomplete_request_that_held_most_for_longest_yields_first():
    account = MemoryAccount(10 * MB)
    heavy_and_new = add(account, HoldingKind.INCOMING, 3 * MB, 9.9)
    heavy_and_old = add(account, HoldingKind.INCOMING, 3 * MB, 0.0)
    light_and_old = add(account, HoldingKind.INCOMING, MB // 2, 0.0)
    add(account, HoldingKind.RUNNING, 3 * MB, 0.0)
    assert account.next_to_yield(10.0) == [heavy_and_old, light_and_old]
    assert heavy_and_new.held_bytes == 3 * MB


def test_calls_yield_last_and_those_that_nobody_reads_first():
    """Guards against closing calls while incomplete requests are there to close."""
    account = MemoryAccount(10 * MB)
    running = [add(account, HoldingKind.RUNNING, 3 * MB, n) for n in range(3)]
    unread = add(account, HoldingKind.RUNNING, 2 * MB, 0.0)
    account.set_kind(unread, HoldingKind.UNREAD, 5.0)
    incoming = add(account, HoldingKind.INCOMING, 3 * MB, 5.0)
    assert account.next_to_yield(10.0) == [incoming, unread]
    account.charge(incoming, 0, 10.0)
    assert account.next_to_yield(10.0) == [unread]
    account.charge(unread, 0, 10.0)
    assert account.next_to_yield(10.0) == []
    account.charge(running[0], 6 * MB, 10.0)
    assert account.next_to_yield(10.0) == []
    assert not account.has_room(1)
    account.charge(running[0], 7 * MB, 10.0)
    assert account.next_to_yield(10.0) == [running[0]]


def test_calls_below_the_budget_are_left_alone():
    account = MemoryAccount(10 * MB)
    running = add(account, HoldingKind.RUNNING, 8 * MB, 0.0)
    unread = add(account, HoldingKind.UNREAD, MB, 0.0)
    assert account.next_to_yield(100.0) == []
    account.charge(running, 10 * MB, 100.0)
    account.charge(unread, 0, 100.0)
    assert account.next_to_yield(100.0) == []
    assert not account.has_room(1)


@pytest.mark.parametrize("kind", [HoldingKind.RUNNING, HoldingKind.UNREAD])
def test_small_requests_are_taken_on_whatever_large_ones_hold(kind):
    """Guards against large bodies, or unread responses, that keep small calls out."""
    account = MemoryAccount(80 * MB)
    for step in range(1000):
        if account.has_room(2 * BODY_BYTES):
            add(account, kind, 2 * BODY_BYTES, step)
        if kind is HoldingKind.UNREAD:
            add(account, kind, 300_000, step)
        for holding in account.next_to_yield(step + 1.0):
            account.charge(holding, 0, step + 1.0)
        assert account.has_room(30_000)
    assert account.used > 0.75 * account.budget


def test_sum_is_right_after_many_changes():
    """Guards against an account that drifts, and refuses all calls in the end."""
    rng = random.Random(1)
    account = MemoryAccount(100 * MB)
    holdings = [MemoryHolding(lambda: None, HoldingKind.INCOMING) for _ in range(40)]
    for step in range(5000):
        holding = rng.choice(holdings)
        account.charge(holding, rng.choice((0, rng.randrange(MB))), step)
        account.set_kind(holding, rng.choice(list(HoldingKind)), step)
        assert account.used == sum(h.held_bytes for h in holdings)
    for holding in holdings:
        account.charge(holding, 0, 5000.0)
    assert account.used == 0
    assert account.next_to_yield(9999.0) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ordinary_callers_are_served_among_callers_that_hoard(seed):
    """Guards against hoarded bodies that get all ordinary calls refused.

    300 connections upload bodies that never end, and come back when they are closed;
    ordinary callers send 8 KB within 20 ms and are served in 100 ms.
    """
    rng = random.Random(seed)
    account = MemoryAccount(budget_bytes(200))
    hoards = {}
    served = closed_ordinary = refused = 0
    running = []
    peak = 0
    for step in range(4000):
        now = step * 0.01
        for ends_s, call in [r for r in running if r[0] <= now]:
            account.charge(call, 0, now)
            running.remove((ends_s, call))
        for number in rng.sample(range(300), 30):
            holding = hoards.setdefault(
                number, MemoryHolding(lambda: None, HoldingKind.INCOMING)
            )
            size = min(BODY_BYTES, holding.held_bytes + 256 * 1024)
            account.charge(holding, size, now)
        ordinary = add(account, HoldingKind.INCOMING, 8192, now - 0.02)
        for holding in account.next_to_yield(now):
            closed_ordinary += holding is ordinary
            account.charge(holding, 0, now)
        peak = max(peak, account.used)
        account.charge(ordinary, 0, now)
        if not account.has_room(8192):
            refused += 1
            continue
        running.append((now + 0.1, add(account, HoldingKind.RUNNING, 8192, now)))
        served += 1
    assert (closed_ordinary, refused) == (0, 0)
    assert served == 4000
    assert peak <= account.budget + CONNECTION_BYTES
