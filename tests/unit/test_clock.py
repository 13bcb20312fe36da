"""The clock, which includes time while a box is suspended."""

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


def test_the_clock_includes_suspended_time(monkeypatch: pytest.MonkeyPatch):
    ids = []
    monkeypatch.setattr(time, "clock_gettime", lambda one: ids.append(one) or 7.0)
    assert clock.now() == 7.0
    assert ids == [time.CLOCK_BOOTTIME]
