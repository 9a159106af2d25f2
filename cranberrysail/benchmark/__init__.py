"""Plays arrivals at model engines through the router's own decisions."""

from cranberrysail.benchmark.arrivals import (
    Arrival,
    draw,
    read_arrivals,
    write_arrivals,
)
from cranberrysail.benchmark.play import Play
from cranberrysail.benchmark.policy import POLICIES, BasePolicy
from cranberrysail.benchmark.report import table, write_plots
from cranberrysail.benchmark.sheet import Sheet

__all__ = [
    "POLICIES",
    "Arrival",
    "BasePolicy",
    "Play",
    "Sheet",
    "draw",
    "read_arrivals",
    "table",
    "write_arrivals",
    "write_plots",
]
