"""Sequences of events that once made an invariant fail, played again."""

import re
from pathlib import Path

import pytest

from cranberrysail.decisions.events import HostState
from tests.support import FleetMachine

SEQUENCES = sorted((Path(__file__).parent / "sequences").glob("*.txt"))
STEP = re.compile(r"state\.(\w+)\((.*)\)")


def play(line: str, machine: FleetMachine) -> None:
    """Play one recorded step."""
    name, arguments = STEP.fullmatch(line).groups()
    method = getattr(FleetMachine, name)
    for kind in ("rule", "initialize_rule"):
        recorded = getattr(method, f"hypothesis_stateful_{kind}", None)
        method = recorded.function if recorded else method
    known = {"HostState": HostState, "frozenset": frozenset, "dict": dict}
    method(machine, **eval(f"dict({arguments})", {"__builtins__": {}}, known))


@pytest.mark.parametrize("path", SEQUENCES, ids=lambda path: path.stem)
def test_a_sequence_that_once_failed_keeps_all_invariants(path):
    machine = FleetMachine()
    for line in path.read_text("utf-8").splitlines():
        play(line, machine)
        machine.all_hold()
