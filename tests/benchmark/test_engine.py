"""A model engine reads, keeps and gives way as told."""

import pytest

from cranberrysail.benchmark.arrivals import Arrival
from cranberrysail.benchmark.engine import Engine, Work
from cranberrysail.benchmark.sheet import CallSheet, EngineSheet

KIND = CallSheet(
    name="note",
    rate=1,
    shared=100,
    own=50,
    events=2,
    subjects=3,
    aim_ms=100,
    gap_ms=50,
    left_s=5,
)


def engine(**changed):
    told = {
        "count": 1,
        "slots": 2,
        "memory_tokens": 10_000,
        "step_ms": 3.0,
        "step_ms_a_call": 0.0,
        "read_tokens_a_ms": 100.0,
        "event_tokens": 4,
    }
    return Engine("e0", EngineSheet(**told | changed))


def work(subject=0, *, to_read=500.0, urgency=5, tokens=3, own=50, at_s=0.0):
    arrival = Arrival(at_s, "note", subject, 100, own, tokens)
    return Work(arrival, KIND, 0, urgency, to_read)


def run(model, steps):
    now, done = 0.0, []
    for _ in range(steps):
        now += model.step(now)
        done += model.finished()
    return now, done


def test_reading_costs_time_and_the_first_token_follows_it():
    model, call = engine(), work()
    model.take(call)
    now, done = run(model, 3)
    assert call.first_s == pytest.approx(0.003 + 0.005)
    assert done == [call]
    assert now == pytest.approx(0.009 + 0.005)


def test_a_long_prompt_is_read_in_chunks_between_tokens():
    model = engine()
    short, long = work(to_read=1.0, tokens=50), work(1, to_read=5000.0)
    model.take(short)
    model.step(0.0)
    model.take(long)
    run(model, 4)
    assert short.made == 5
    assert long.made == 0
    assert short.gap_s < 0.015


def test_more_urgent_calls_get_a_slot_first():
    model = engine(slots=1)
    for call in (late := work(0, urgency=5), soon := work(1, urgency=0)):
        model.take(call)
    model.step(0.0)
    assert soon in model.reading + model.running
    assert late in model.waiting


def test_the_least_recently_used_part_yields():
    model = engine(memory_tokens=1024)
    for prompt in ("a", "b", "a", "c"):
        model.keep(prompt, 400)
    assert list(model.kept) == ["a", "c"]


def test_when_memory_runs_out_the_newest_of_the_least_urgent_is_put_back():
    model = engine(memory_tokens=1024, slots=3)
    calls = [
        work(0, urgency=1, own=400, tokens=900, at_s=0.0, to_read=1),
        work(0, urgency=5, own=400, tokens=900, at_s=0.1, to_read=1),
        work(0, urgency=5, own=200, tokens=900, at_s=0.2, to_read=1),
    ]
    for call in calls:
        model.take(call)
    run(model, 30)
    assert model.preempted == 1
    assert calls[2] in model.waiting + model.reading
    assert calls[2].to_read > 200
