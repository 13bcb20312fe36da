"""Discrete-event simulation of several daemons, with links, targets and a store.

Fakes carry out the effects of the cores in virtual time and inject faults. Answers to
callers and runs at targets are recorded for the checks.
"""

from __future__ import annotations

from tests.mesh.simulation.box import Box, Calls
from tests.mesh.simulation.callers import Request
from tests.mesh.simulation.world import World, record_of, violations

__all__ = ["Box", "Calls", "Request", "World", "record_of", "violations"]
