from __future__ import annotations

from ferrydeck.mesh import pricing

SLOTS = 10


def offer(price: pricing.SlotPrice, begin: float, seconds: float, share: float) -> None:
    """Offer a share of what the slots can carry."""
    for step in range(int(seconds * 100)):
        price.offered(share * SLOTS * 0.01)
        price.settle(begin + step * 0.01, SLOTS, 0.0)


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


def test_waiting_requests_have_a_price_though_the_slots_would_do():
    price = pricing.SlotPrice()
    for step in range(200):
        price.offered(0.95 * SLOTS * 0.01)
        price.settle(step * 0.01, SLOTS, 0.2 * SLOTS)
    assert price.value > 0.3


def costs_with(**holds: float) -> pricing.Costs:
    costs = pricing.Costs(start_hold_s=0.1)
    for _ in range(200):
        for name, hold_s in holds.items():
            costs.ended(name, hold_s=hold_s, calls=0, whole=True)
    costs.slots.value = 0.5
    return costs


def test_what_holds_a_slot_longer_costs_more():
    costs = costs_with(short=0.03, long=0.48)
    assert 15 < costs.price(0.0, "long") / costs.price(0.0, "short") < 17


def test_the_calls_of_a_run_are_a_part_of_its_price():
    costs = pricing.Costs(start_hold_s=0.1)
    for step in range(200):
        for _ in range(4):
            costs.route("look").called(step * 0.01, 0.1)
        costs.ended("look", hold_s=0.1, calls=4, whole=True)
    assert costs.makes_calls("look")
    assert 0.35 < costs.price(2.0, "look") < 0.41


def test_a_run_that_failed_tells_nothing_of_how_many_calls_there_are():
    costs = pricing.Costs(start_hold_s=0.1)
    for _ in range(50):
        costs.ended("look", hold_s=0.1, calls=4, whole=True)
    for _ in range(500):
        costs.ended("look", hold_s=0.01, calls=1, whole=False)
    assert costs.route("look").calls == 4


def test_a_price_fades_without_a_new_word():
    route = pricing.RouteCost(calls=2)
    for _ in range(100):
        route.called(1.0, 0.3)
    assert route.price(1.0) > 0.5
    assert 0.2 < route.price(1.5) < 0.4
    assert route.price(2.1) == 0.0


def test_a_route_without_known_runs_makes_no_calls():
    assert not pricing.Costs(start_hold_s=0.1).makes_calls("look")
