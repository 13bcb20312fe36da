"""Virtual time, in which events are fed to the cores."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable

import attrs
import simpy

from ferrydeck.mesh import effects, events
from tests.mesh.simulation import box as boxes

THAW_DELAY_S = 1e-6
"""Delay of pending events after a frozen box resumes, seconds."""


@attrs.define(kw_only=True)
class Timeline(abc.ABC):
    """Virtual clock, random generator and id counter shared by a simulated world."""

    seed: int = 1
    env: simpy.Environment = attrs.Factory(simpy.Environment)
    rng: random.Random = attrs.field(init=False)
    _numbers: int = 0

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    @property
    def now(self) -> float:
        """Simulated time, seconds."""
        return self.env.now

    def number(self) -> int:
        """Return a unique number."""
        self._numbers += 1
        return self._numbers

    def clock(self, box: boxes.Box) -> float:
        """Return the time on the clock of a box, seconds."""
        return self.now + box.clock_offset_s

    def run(self, seconds: float) -> None:
        """Advance the simulation."""
        self.env.run(until=self.env.now + seconds)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        timeout = self.env.timeout(max(0.0, delay_s))
        timeout.callbacks.append(lambda _: action())

    def feed(self, box: boxes.Box, event: events.Event) -> None:
        """Feed an event to a core, once its box is not frozen."""
        if not box.up:
            return
        if self.now < box.frozen_until:
            self.feed_later(box, event, box.frozen_until - self.now + THAW_DELAY_S)
            return
        self.carry_out(box, box.core.handle(self.clock(box), event))

    def feed_later(
        self, box: boxes.Box, event: events.Event, delay_s: float = 0.0
    ) -> None:
        """Feed an event to a core after a delay, unless its daemon restarts before."""
        incarnation = box.incarnation

        def feed() -> None:
            if box.incarnation == incarnation:
                self.feed(box, event)

        self.after(delay_s, feed)

    @abc.abstractmethod
    def carry_out(self, box: boxes.Box, wanted: list[effects.Effect]) -> None:
        """Carry out the effects of a core."""
