from __future__ import annotations

import math

import pytest

from ferrydeck.mesh.inbound import pricing

SLOTS = 10


def offer(price: pricing.SlotPrice, begin: float, seconds: float, share: float) -> None:
    """Offer a share of the capacity; a share above 1 queues requests."""
    waiting_s = 0.01 * SLOTS if share > 1.0 else 0.0
    for step in range(int(seconds * 100)):
        price.add_offered(share * SLOTS * 0.01)
        price.update(begin + step * 0.01, SLOTS, waiting_s)


def test_load_below_the_capacity_sets_no_price():
    price = pricing.SlotPrice()
    offer(price, 0.0, 5.0, 0.95)
    assert price.value == 0.0


def test_a_surge_sets_a_price_within_a_second_that_ends_within_two():
    price = pricing.SlotPrice()
    offer(price, 0.0, 2.0, 0.8)
    offer(price, 2.0, 1.0, 1.5)
    assert price.value > 0.3
    offer(price, 3.0, 2.0, 0.6)
    assert price.value < 0.05


def test_a_price_decreases_at_full_load_while_the_queue_is_empty():
    price = pricing.SlotPrice()
    offer(price, 0.0, 2.0, 1.5)
    price_before = price.value
    offer(price, 2.0, 3.0, 1.0)
    assert price.value < 0.6 * price_before


def test_a_high_price_halves_within_1_2_seconds_while_slots_are_free():
    # At a high price nearly all of the offered load is not sheddable, so the few
    # sheddable requests have to grow many times over to fill the slots.
    price = pricing.SlotPrice()
    offer(price, 0.0, 4.0, 2.0)
    price_before = price.value
    assert price_before > 2.0
    offer(price, 4.0, 1.2, 0.65)
    assert price.value < 0.55 * price_before


def test_a_long_queue_sets_a_price_at_a_load_below_the_capacity():
    price = pricing.SlotPrice()
    for step in range(200):
        price.add_offered(0.95 * SLOTS * 0.01)
        price.update(step * 0.01, SLOTS, 0.2 * SLOTS)
    assert price.value > 0.3


@pytest.mark.parametrize("delay_s", [0.1, 0.3, 0.6, 0.8])
def test_a_price_settles_despite_feedback_delay(delay_s):
    # The offered load follows an earlier price, as it does behind a chain of calls. It
    # is up to twice the capacity, and 70% of it is sheddable.
    price = pricing.SlotPrice()
    prices: list[float] = []
    offered: list[float] = []
    for step in range(1000):
        prices.append(price.value)
        delayed_price = prices[max(0, step - int(delay_s * 100))]
        share = 0.6 + 1.4 * math.exp(-delayed_price)
        offered.append(share)
        price.add_offered(share * SLOTS * 0.01)
        waiting_s = max(0.0, share - 1.0) * 0.1 * SLOTS
        price.update(step * 0.01, SLOTS, waiting_s)
    settled = offered[500:]
    assert 0.85 < sum(settled) / len(settled) < 1.05
    assert max(settled) < 1.25
    assert min(settled) > 0.75


def costs_with(**service_times_s: float) -> pricing.Costs:
    costs = pricing.Costs(initial_service_time_s=0.1)
    for _ in range(200):
        for name, service_time_s in service_times_s.items():
            costs.count_run(
                name, service_time_s=service_time_s, calls=0, callees={}, full=True
            )
    return costs


def test_demand_grows_with_the_service_time():
    costs = costs_with(short=0.03, long=0.48)
    demands = {name: costs.demand("desk", name)["desk"] for name in ("short", "long")}
    assert 15 < demands["long"] / demands["short"] < 17


def test_the_demand_of_a_run_includes_its_calls():
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.set_demand("call", [("deep", 50), ("plan", 100)])
    for _ in range(20):
        costs.count_run(
            "look", service_time_s=0.1, calls=4, callees={"call": 4}, full=True
        )
    assert costs.makes_calls("look")
    assert costs.demand("desk", "look") == {"desk": 1.0, "deep": 2.0, "plan": 4.0}


def test_the_newest_demand_report_applies_at_once():
    # A daemon that admits four runs per second can't wait for twenty of them.
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.count_run("look", service_time_s=0.1, calls=4, callees={"call": 4}, full=True)
    costs.set_demand("call", [("plan", 100)])
    costs.set_demand("call", [("plan", 100), ("deep", 400)])
    assert costs.demand("desk", "look")["deep"] == 16.0


def test_demand_is_relative_to_the_most_expensive_sheddable_route():
    costs = pricing.Costs(initial_service_time_s=0.1)
    costs.set_demand("look", [("deep", 400)], sheddable=True)
    costs.set_demand("entry", [("deep", 300)], sheddable=True)
    costs.set_demand("post", [("deep", 800)])
    assert costs.relative_demand("deep", "look", 4.0) == 1.0
    assert costs.relative_demand("deep", "entry", 3.0) == 0.75
    assert costs.relative_demand("deep", "never-heard-of", 1.0) == 0.25
    assert costs.relative_demand("plan", "look", 0.0) == 0.0


def test_failed_runs_do_not_change_the_mean_number_of_calls():
    costs = pricing.Costs(initial_service_time_s=0.1)
    for _ in range(50):
        costs.count_run(
            "look", service_time_s=0.1, calls=4, callees={"call": 4}, full=True
        )
    for _ in range(500):
        costs.count_run(
            "look", service_time_s=0.01, calls=1, callees={"call": 1}, full=False
        )
    assert costs.route("look").calls == 4
    assert costs.route("look").callees == {"call": 4}


def test_a_route_without_runs_makes_no_calls():
    assert not pricing.Costs(initial_service_time_s=0.1).makes_calls("look")
