"""Checks that the tests of a mechanism fail when it is switched off."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import switches
from tests.mesh import (
    samples,
    simulation,
    test_balancing,
    test_lost_boxes,
    test_surge,
)
from tests.mesh.poison import test_poison_requests


def test_routes_with_failing_downstream_calls_are_shed():
    world = test_surge.chain_of()
    test_surge.send_load(world, per_s=20, seconds=4)
    world.boxes["box-1"].target.fails = True
    test_surge.send_load(world, per_s=20, seconds=3)
    looks, posts, _ = test_surge.send_load(world, per_s=20, seconds=4)
    world.run(2)
    assert sum(one.answer.status == 503 for one in looks) > 0.6 * len(looks)
    # Requests of high priority are still admitted.
    assert not [one for one in posts if one.answer.status == 503]


def test_first_failures_of_a_target_are_retried_elsewhere():
    world = samples.world_of(2)
    world.boxes["box-0"].target.fails = True
    asked = [samples.ask(world, "box-0") for _ in range(6)]
    world.run(1)
    assert {one.answer.status for one in asked} == {200}


CASES = {
    "price_slots": test_surge.test_requests_that_call_an_overloaded_service_are_shed,
    "turn_away_failing": test_routes_with_failing_downstream_calls_are_shed,
    "pass_rank_on": (
        test_surge.test_calls_of_postings_are_retried_first_while_all_targets_shed
    ),
    "offer_shed_again": (
        test_surge.test_shed_requests_are_retried_within_the_budget_and_the_attempt_limit
    ),
    "keep_offers_for_urgent": (
        test_surge.test_calls_of_postings_are_retried_first_while_all_targets_shed
    ),
    "repeat_failed": test_first_failures_of_a_target_are_retried_elsewhere,
    "prefer_fast": test_balancing.test_a_faster_target_gets_more_requests_at_low_load,
    "prefer_near": test_balancing.test_requests_are_served_in_the_same_data_centre,
    "spill_early": (
        test_surge.test_requests_go_to_another_data_centre_before_the_local_target_is_full
    ),
    "remember_suspects": (
        test_poison_requests.test_a_poison_request_crashes_at_most_three_targets
    ),
    "move_from_silent": (
        test_lost_boxes.test_requests_at_frozen_box_are_retried_elsewhere
    ),
}


@pytest.mark.parametrize("switch", CASES)
def test_the_test_of_a_mechanism_fails_without_it(switch, monkeypatch):
    made = simulation.World.__init__

    def without(self, **values):
        made(self, switches=switches.Switches(**{switch: False}), **values)

    monkeypatch.setattr(simulation.World, "__init__", without)
    with pytest.raises(AssertionError):
        CASES[switch]()
