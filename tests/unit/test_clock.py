"""One clock for the whole product: one that goes on while a box is suspended."""

from __future__ import annotations

import pathlib
import re
import time

import pytest

import ferrydeck
from ferrydeck import clock

ROOT = pathlib.Path(ferrydeck.__file__).parent
OTHER_CLOCKS = re.compile(
    r"time\.(monotonic|perf_counter|time|time_ns|clock_gettime|process_time)\w*\("
    r"|from time import|datetime\.(now|today|utcnow)\("
)


def test_no_other_module_reads_a_clock():
    readers = [
        str(path.relative_to(ROOT))
        for path in sorted(ROOT.rglob("*.py"))
        if path.name != "clock.py" and OTHER_CLOCKS.search(path.read_text())
    ]
    assert readers == []


def test_it_is_the_clock_that_counts_suspended_time(monkeypatch: pytest.MonkeyPatch):
    asked = []
    monkeypatch.setattr(time, "clock_gettime", lambda one: asked.append(one) or 7.0)
    assert clock.now() == 7.0
    assert asked == [time.CLOCK_BOOTTIME]
