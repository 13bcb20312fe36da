"""The order and the results of the admission checks, queueing and retry-after."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import admission, request_queue, retry_after
from tests.mesh.poison import test_records

Reason = messages.Reason


class Shedder:
    """Sheds every request except those of route `kept`, and counts the decisions."""

    def __init__(self) -> None:
        self.decisions = 0
        self.costs = self

    def should_shed(self, now: float, forward: messages.Forward) -> bool:
        self.decisions += 1
        return forward.route != "kept"

    def makes_calls(self, route: str) -> bool:
        return False


class SpentBudget:
    """A retry budget without retries left, which counts the decisions."""

    def __init__(self) -> None:
        self.decisions = 0

    def grant_rerun(self, now: float, *, makes_calls: bool) -> bool:
        self.decisions += 1
        return False


INPUTS = {
    "left_s": 0.0,
    "blocked": True,
    "open": False,
    "service": "desk",
    "incarnation": "i-a@1",
    "silent_s": 2.0,
    "heartbeat_age_s": 4.0,
    "heartbeat_s": 1.5,
}
FORWARD = {
    "service": "book",
    "incarnation": "i-a@0",
    "route": "look",
    "sheddable": True,
}
CORRECTIONS = [
    (Reason.BLOCKED, {}, {}),
    (Reason.EXPIRED, {"blocked": False}, {}),
    (Reason.CLOSED, {"left_s": 1.0}, {}),
    (Reason.WRONG_INCARNATION, {"open": True}, {}),
    (Reason.WRONG_INCARNATION, {}, {"service": "desk"}),
    (Reason.CLOSED, {}, {"incarnation": "i-a@1"}),
    (Reason.SHED, {"silent_s": 0.5}, {}),
    (Reason.RETRY_BUDGET, {}, {"route": "kept"}),
]


def test_the_checks_reject_in_their_documented_order():
    shedder, retries = Shedder(), SpentBudget()
    inputs, fields = dict(INPUTS), dict(FORWARD)
    for reason, changes, forward_changes in CORRECTIONS:
        inputs |= changes
        fields |= forward_changes
        forward = test_records.new_forward(retry=messages.Retry.MAY_HAVE_RUN, **fields)
        result = admission.decide(
            admission.Inputs(forward=forward, **inputs),
            0.0,
            shedder=shedder,
            retries=retries,
            notice_stalled=True,
        )
        assert result == admission.Rejected(reason=reason)
    # The checks with side effects come last and run once per request.
    assert (shedder.decisions, retries.decisions) == (2, 1)


def test_an_urgent_first_attempt_is_neither_shed_nor_counted_as_a_retry():
    shedder, retries = Shedder(), SpentBudget()
    values = INPUTS | {"blocked": False, "left_s": 1.0, "open": True, "silent_s": 0.0}
    forward = test_records.new_forward(incarnation="i-a@1", route="look")
    inputs = admission.Inputs(forward=forward, **values)
    controls = {"shedder": shedder, "retries": retries, "notice_stalled": True}
    assert admission.decide(inputs, 0.0, **controls) == admission.ADMITTED
    assert (shedder.decisions, retries.decisions) == (0, 0)


@pytest.mark.parametrize(
    ("wait_s", "waiting", "place"),
    [
        (0.5, 40, request_queue.Decision.WAITS),
        (0.5, 41, request_queue.Decision.DISPLACES),
        (1.5, 41, request_queue.Decision.DROPPED),
    ],
)
def test_a_request_is_queued_or_dropped(wait_s, waiting, place):
    inputs = request_queue.Inputs(
        wait_s=wait_s, max_wait_s=1.0, waiting=waiting, limit=10
    )
    assert request_queue.decide(inputs) is place


def test_retry_after_shedding_leaves_time_to_meet_the_objective():
    def retry_after_s(random_value: float, reason: Reason = Reason.SHED) -> float:
        return retry_after.decide(
            retry_after.Inputs(
                reason=reason,
                service_time_s=0.15,
                objective_s=1.5,
                waiting_s=1.85,
                capacity=10,
                random_value=random_value,
            )
        )

    assert retry_after_s(1.0) == pytest.approx(1.5 - 0.15 - retry_after.RETRY_MARGIN_S)
    assert retry_after_s(0.0) < retry_after_s(0.5) < retry_after_s(1.0)
    assert retry_after_s(0.5, Reason.OVERLOAD) == pytest.approx(0.2)
