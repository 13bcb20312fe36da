"""Generates load from concurrent callers on a fleet of processes."""

from __future__ import annotations

import collections
import concurrent.futures
import http.client
import threading

import attrs

from tests.platform import mesh_fleet

CONCURRENT_CALLERS = 8
"""Callers per box: more than its target's slots, so most requests are forwarded."""
REQUESTS = 400
"""Requests per box."""


@attrs.define(kw_only=True)
class Load:
    """Requests through boxes and their outcomes."""

    name: str
    outcomes: dict[str, collections.Counter[str]] = attrs.Factory(dict)
    succeeded: set[str] = attrs.Factory(set)

    def send_one(self, box: mesh_fleet.MeshBox, number: int) -> None:
        """Send a request, alternating POST and GET, and count its outcome."""
        request_id = f"{self.name}-{box.name}-{number}"
        posting = number % 2 == 0
        method, path = ("POST", "/pay/") if posting else ("GET", "/look/")
        body = b"12.50" if posting else None
        try:
            answer = box.call(f"{path}{number}", request_id, method=method, body=body)
            outcome = str(answer.status)
        except ConnectionRefusedError:
            outcome = "not taken"
        except (OSError, http.client.HTTPException) as exc:
            outcome = f"cut ({type(exc).__name__})"
        if outcome == "200":
            self.succeeded.add(request_id)
        self.outcomes.setdefault(box.name, collections.Counter())[outcome] += 1

    def send_all(self, box: mesh_fleet.MeshBox, count: int = REQUESTS) -> None:
        """Send requests through a box from concurrent callers."""
        with concurrent.futures.ThreadPoolExecutor(CONCURRENT_CALLERS) as pool:
            list(pool.map(lambda number: self.send_one(box, number), range(count)))

    def send_until(self, box: mesh_fleet.MeshBox, ended: threading.Event) -> None:
        """Send requests through a box from two callers until an event is set."""

        def caller(first: int) -> None:
            number = first
            while not ended.is_set():
                self.send_one(box, number)
                number += 2

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            list(pool.map(caller, range(2)))

    @property
    def totals(self) -> collections.Counter[str]:
        """The outcomes over all boxes."""
        return sum(self.outcomes.values(), collections.Counter())

    def failed(self) -> int:
        """Return the number of requests that were cut off or had other outcomes."""
        expected = {"200", "503", "not taken"}
        return sum(n for outcome, n in self.totals.items() if outcome not in expected)
