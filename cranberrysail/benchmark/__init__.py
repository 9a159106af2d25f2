"""Simulation that compares placement policies on model engines.

Calls arrive at simulated routers, which run the same placement and admission code as a
serving router, and are processed by simulated engines in virtual time.
"""

from cranberrysail.benchmark.arrivals import (
    Arrival,
    generate_arrivals,
    read_arrivals,
    write_arrivals,
)
from cranberrysail.benchmark.config import SimulationConfig
from cranberrysail.benchmark.policy import POLICIES, BasePolicy
from cranberrysail.benchmark.report import balance_table, results_table, write_plots
from cranberrysail.benchmark.simulation import Simulation

__all__ = [
    "POLICIES",
    "Arrival",
    "BasePolicy",
    "Simulation",
    "SimulationConfig",
    "balance_table",
    "generate_arrivals",
    "read_arrivals",
    "results_table",
    "write_arrivals",
    "write_plots",
]
