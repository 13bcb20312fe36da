from __future__ import annotations

import math

import pytest

from ferrydeck.mesh.inbound import pricing

SLOTS = 10


def offer(price: pricing.SlotPrice, begin: float, seconds: float, share: float) -> None:
    """Offer a share of what the slots can carry; what is too much waits a little."""
    waiting_s = 0.01 * SLOTS if share > 1.0 else 0.0
    for step in range(int(seconds * 100)):
        price.add_offered(share * SLOTS * 0.01)
        price.update(begin + step * 0.01, SLOTS, waiting_s)


def test_work_that_fits_has_no_price():
    price = pricing.SlotPrice()
    offer(price, 0.0, 5.0, 0.95)
    assert price.value == 0.0


def test_a_surge_has_a_price_within_a_second_and_none_two_seconds_after():
    price = pricing.SlotPrice()
    offer(price, 0.0, 2.0, 0.8)
    offer(price, 2.0, 1.0, 1.5)
    assert price.value > 0.3
    offer(price, 3.0, 2.0, 0.6)
    assert price.value < 0.05


def test_a_price_falls_while_nothing_waits_though_as_much_is_offered_as_fits():
    price = pricing.SlotPrice()
    offer(price, 0.0, 2.0, 1.5)
    begun = price.value
    offer(price, 2.0, 3.0, 1.0)
    assert price.value < 0.6 * begun


def test_a_high_price_halves_in_a_second_while_slots_stand_free():
    # While the price is high nearly all that is offered is urgent, and stays: what is
    # held back has to come in many times more to fill the slots.
    price = pricing.SlotPrice()
    offer(price, 0.0, 4.0, 2.0)
    begun = price.value
    assert begun > 2.0
    offer(price, 4.0, 1.2, 0.65)
    assert price.value < 0.55 * begun


def test_waiting_requests_have_a_price_though_the_slots_would_do():
    price = pricing.SlotPrice()
    for step in range(200):
        price.add_offered(0.95 * SLOTS * 0.01)
        price.update(step * 0.01, SLOTS, 0.2 * SLOTS)
    assert price.value > 0.3


@pytest.mark.parametrize("delay_s", [0.1, 0.3, 0.6, 0.8])
def test_a_price_settles_whose_effect_comes_late(delay_s):
    # What is offered follows the price of some time ago, as it does behind a chain of
    # calls: twice what fits is offered, half of it may be held back.
    price = pricing.SlotPrice()
    past: list[float] = []
    offered: list[float] = []
    for step in range(1000):
        past.append(price.value)
        late = past[max(0, step - int(delay_s * 100))]
        share = 0.6 + 1.4 * math.exp(-late)
        offered.append(share)
        price.add_offered(share * SLOTS * 0.01)
        waiting_s = max(0.0, share - 1.0) * 0.1 * SLOTS
        price.update(step * 0.01, SLOTS, waiting_s)
    settled = offered[500:]
    assert 0.85 < sum(settled) / len(settled) < 1.05
    assert max(settled) < 1.25
    assert min(settled) > 0.75


def costs_with(**holds: float) -> pricing.Costs:
    costs = pricing.Costs(initial_service_time_s=0.1)
    for _ in range(200):
        for name, service_time_s in holds.items():
            costs.count_run(
                name, service_time_s=service_time_s, calls=0, calls_to={}, full=True
            )
    return costs


def test_what_holds_a_slot_longer_uses_more():
    costs = costs_with(short=0.03, long=0.48)
    uses = {name: costs.demand("desk", name)["desk"] for name in ("short", "long")}
    assert 15 < uses["long"] / uses["short"] < 17


def test_a_run_uses_what_its_calls_use():
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.set_demand("call", [("deep", 50), ("plan", 100)])
    for _ in range(20):
        costs.count_run(
            "look", service_time_s=0.1, calls=4, calls_to={"call": 4}, full=True
        )
    assert costs.makes_calls("look")
    assert costs.demand("desk", "look") == {"desk": 1.0, "deep": 2.0, "plan": 4.0}


def test_the_newest_word_on_what_a_called_route_uses_counts_at_once():
    # A gate that lets in four runs a second can't wait for twenty of them.
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.count_run(
        "look", service_time_s=0.1, calls=4, calls_to={"call": 4}, full=True
    )
    costs.set_demand("call", [("plan", 100)])
    costs.set_demand("call", [("plan", 100), ("deep", 400)])
    assert costs.demand("desk", "look")["deep"] == 16.0


def test_a_route_weighs_what_it_uses_beside_the_route_that_uses_most():
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.set_demand("look", [("deep", 400)], sheddable=True)
    costs.set_demand("entry", [("deep", 300)], sheddable=True)
    costs.set_demand("post", [("deep", 800)])
    assert costs.relative_demand("deep", "look", 4.0) == 1.0
    assert costs.relative_demand("deep", "entry", 3.0) == 0.75
    assert costs.relative_demand("deep", "never-heard-of", 1.0) == 0.25
    assert costs.relative_demand("plan", "look", 0.0) == 0.0


def test_a_run_that_failed_tells_nothing_of_how_many_calls_there_are():
    costs = pricing.Costs(initial_service_time_s=0.1)
    for _ in range(50):
        costs.count_run(
            "look", service_time_s=0.1, calls=4, calls_to={"call": 4}, full=True
        )
    for _ in range(500):
        costs.count_run(
            "look", service_time_s=0.01, calls=1, calls_to={"call": 1}, full=False
        )
    assert costs.route("look").calls == 4
    assert costs.route("look").calls_to == {"call": 4}


def test_a_route_without_known_runs_makes_no_calls():
    assert not pricing.Costs(initial_service_time_s=0.1).makes_calls("look")
