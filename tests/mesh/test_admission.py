"""The order in which the checks of admission are made, and what each of them says."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import admission, request_queue, retry_after
from tests.mesh.poison import test_records

Reason = messages.Reason


class Shedder:
    """Sheds each request, and counts how often it is asked."""

    def __init__(self) -> None:
        self.asked = 0
        self.costs = self

    def should_shed(self, now: float, forward: messages.Forward) -> bool:
        self.asked += 1
        return forward.route != "kept"

    def makes_calls(self, route: str) -> bool:
        return False


class NoRetries:
    """A budget that is spent; it counts how often it is asked."""

    def __init__(self) -> None:
        self.asked = 0

    def grant_rerun(self, now: float, *, makes_calls: bool) -> bool:
        self.asked += 1
        return False


FAULTY = {
    "left_s": 0.0,
    "blocked": True,
    "open": False,
    "service": "desk",
    "incarnation": "i-a@1",
    "silent_s": 2.0,
    "heartbeat_age_s": 4.0,
    "heartbeat_s": 1.5,
}
WRONG = {"service": "book", "incarnation": "i-a@0", "route": "look", "lowest": True}
MENDED = [
    (Reason.BLOCKED, {}, {}),
    (Reason.EXPIRED, {"blocked": False}, {}),
    (Reason.CLOSED, {"left_s": 1.0}, {}),
    (Reason.WRONG_INCARNATION, {"open": True}, {}),
    (Reason.WRONG_INCARNATION, {}, {"service": "desk"}),
    (Reason.CLOSED, {}, {"incarnation": "i-a@1"}),
    (Reason.SHED, {"silent_s": 0.5}, {}),
    (Reason.RETRY_BUDGET, {}, {"route": "kept"}),
]


def test_a_request_with_all_faults_is_rejected_by_one_after_the_other():
    shedder, retries = Shedder(), NoRetries()
    inputs, wrong = dict(FAULTY), dict(WRONG)
    for reason, mended, forward_mended in MENDED:
        inputs |= mended
        wrong |= forward_mended
        forward = test_records.new_forward(retry=messages.Retry.MAY_HAVE_RUN, **wrong)
        result = admission.decide(
            admission.Inputs(forward=forward, **inputs),
            0.0,
            shedder=shedder,
            retries=retries,
            notice_stalled=True,
        )
        assert result == admission.Rejected(reason=reason)
    # The checks that count what they are asked come last, and are asked once each.
    assert (shedder.asked, retries.asked) == (2, 1)


def test_a_first_request_asks_no_budget_and_an_urgent_one_is_not_shed():
    shedder, retries = Shedder(), NoRetries()
    values = FAULTY | {"blocked": False, "left_s": 1.0, "open": True, "silent_s": 0.0}
    forward = test_records.new_forward(incarnation="i-a@1", route="look")
    inputs = admission.Inputs(forward=forward, **values)
    controls = {"shedder": shedder, "retries": retries, "notice_stalled": True}
    assert admission.decide(inputs, 0.0, **controls) == admission.ADMITTED
    assert (shedder.asked, retries.asked) == (0, 0)


@pytest.mark.parametrize(
    ("wait_s", "waiting", "place"),
    [
        (0.5, 40, request_queue.Decision.WAITS),
        (0.5, 41, request_queue.Decision.DISPLACES),
        (1.5, 41, request_queue.Decision.DROPPED),
    ],
)
def test_who_waits_and_who_is_dropped(wait_s, waiting, place):
    inputs = request_queue.Inputs(
        wait_s=wait_s, max_wait_s=1.0, waiting=waiting, limit=10
    )
    assert request_queue.decide(inputs) is place


def test_a_shed_caller_comes_back_while_an_answer_is_still_on_time():
    def after(random_value: float, reason: Reason = Reason.SHED) -> float:
        return retry_after.decide(
            retry_after.Inputs(
                reason=reason,
                service_time_s=0.15,
                objective_s=1.5,
                waiting_s=1.85,
                limit=10,
                random_value=random_value,
            )
        )

    assert after(1.0) == pytest.approx(1.5 - 0.15 - retry_after.RETRY_MARGIN_S)
    assert after(0.0) < after(0.5) < after(1.0)
    assert after(0.5, Reason.OVERLOAD) == pytest.approx(0.2)
