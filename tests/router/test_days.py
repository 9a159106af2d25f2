"""Random days keep all promises, and each check can fail."""

from dataclasses import replace

import pytest

from cranberrysail.platform.headers import PlatformDialect
from cranberrysail.router import exchange
from cranberrysail.router.coldlimit import ColdLimiter
from cranberrysail.router.dialect import AnswerHead
from cranberrysail.router.follower import Beliefs
from cranberrysail.router.outcome import NextStep
from tests.router.days import Day
from tests.router.virtual import play

SEEDS = range(1, 7)


def day(seed):
    return play(lambda loop: Day(loop, seed).play())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_keeps_all_promises(seed):
    played = day(seed)
    assert not played.broken, "\n".join(played.broken[:5])
    served = sum(asked.status == 200 for asked in played.asked)
    assert served > len(played.asked) / 2


def broken_with(text):
    played = day(1)
    return any(text in entry for entry in played.broken)


def test_the_check_of_runs_can_fail(monkeypatch):
    monkeypatch.setattr(exchange, "next_step", lambda *args, **kw: NextStep.SEND_AGAIN)
    assert broken_with("ran 2 times")


def test_the_check_of_refusals_can_fail(monkeypatch):
    monkeypatch.setattr(exchange, "next_step", lambda *args, **kw: NextStep.REFUSE)
    assert broken_with("was refused and ran")


def test_the_check_of_answers_can_fail(monkeypatch):
    real = PlatformDialect.answer_head

    def careless(self, status, headers) -> AnswerHead:
        return replace(real(self, status, headers), attempt_id="", sealed=True)

    monkeypatch.setattr(PlatformDialect, "answer_head", careless)
    assert broken_with("no seal")


def test_the_check_of_cold_endpoints_can_fail(monkeypatch):
    monkeypatch.setattr(ColdLimiter, "allows", lambda *args: True)
    monkeypatch.setattr("tests.router.days.CALLS_PER_S", 400.0)
    monkeypatch.setattr("tests.router.days.DAY_S", 12.0)
    assert broken_with("calls in a second, cold")


def test_the_check_of_tables_can_fail(monkeypatch):
    real = Beliefs._take_tables
    taken = []

    def only_the_first(self, value):
        if self not in taken:
            taken.append(self)
            real(self, value)

    monkeypatch.setattr(Beliefs, "_take_tables", only_the_first)
    assert broken_with("is due")
