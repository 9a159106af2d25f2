"""Replication of the tables when the log misbehaves."""

from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.decisions.tablesync import TABLES_STREAM
from tests.support import ZONES, make_simulation


def test_edit_in_the_place_of_one_that_a_restored_log_lost_is_in_force():
    simulation = make_simulation(5)
    simulation.run(3.0)
    simulation.set_out_of_service(RowKind.ZONE, ZONES[0], True)
    simulation.run(3.0)
    stored = simulation.log._streams[TABLES_STREAM]
    stored.records.pop()
    stored.end -= 1
    simulation.set_out_of_service(RowKind.ZONE, ZONES[1], True)
    simulation.run(20.0)
    for node in simulation.nodes.values():
        assert ZONES[1] in node.board.tables.zones_out
