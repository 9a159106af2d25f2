"""Tests of the life cycle of calls."""

from cranberrysail.simulation.engine import Prompt
from tests.support import CHAT_ROUTE, make_simulation

CRASH_DELAY_S = 0.06
# Engines that may crash on the calls of one chat, and calls of it that may reach
# engines afterwards.
FATAL_CRASHES = 5
MAX_LATER_CALLS = 3


def test_engines_do_not_crash_one_after_the_other_on_the_calls_of_a_chat():
    simulation = make_simulation(5)
    simulation.run(5.0)
    harmful, crashes, arrivals = Prompt(7, 200, 10, 50), [], []
    start_call = simulation._start_call

    def crash(engine, instance):
        if engine.instance_number == instance:
            crashes.append(simulation.now)
            simulation.restart_engine(engine.host.name)

    def start(name, node, outcome, engine):
        start_call(name, node, outcome, engine)
        if outcome.prompt is harmful:
            arrivals.append(simulation.now)
            instance = engine.instance_number
            simulation.schedule(CRASH_DELAY_S, lambda: crash(engine, instance))

    simulation._start_call = start
    for number in range(60):
        routers = simulation.ready_routers()
        router = routers[number % len(routers)]
        simulation.call(router, "chat", CHAT_ROUTE, "guide", harmful)
        simulation.run(0.5)
    from_s = crashes[min(FATAL_CRASHES, len(crashes)) - 1] + 3.0
    later = sum(at_s > from_s for at_s in arrivals)
    assert later <= MAX_LATER_CALLS, (len(crashes), later)
