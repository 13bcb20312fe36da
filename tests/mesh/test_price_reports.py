"""How the prices of an overloaded service reach the daemons that admit requests."""

from __future__ import annotations

from ferrydeck.mesh.inbound import price_reports


def report(
    service: str, price_pct: int, age_ms: int = 0
) -> list[price_reports.PriceReport]:
    return [
        price_reports.PriceReport(service=service, price_pct=price_pct, age_ms=age_ms)
    ]


def test_one_report_is_enough():
    table = price_reports.PriceTable()
    table.received(1.0, "plan", report("deep", 150))
    assert table.price(1.0, "deep") == 1.5


def test_no_price_is_reported_without_overload():
    table = price_reports.PriceTable()
    table.set(1.0, "desk", 0.0)
    assert table.reports(1.0) == []


def test_an_older_report_is_ignored():
    table = price_reports.PriceTable()
    table.received(1.0, "plan", report("deep", 150, age_ms=100))
    table.received(1.0, "plan", report("deep", 20, age_ms=400))
    assert table.price(1.0, "deep") == 1.5


def test_a_newer_forwarded_report_replaces_an_older_one():
    table = price_reports.PriceTable()
    table.received(1.0, "plan", report("deep", 150))
    table.received(1.01, "plan", report("deep", 20))
    assert table.price(1.01, "deep") == 0.2


def test_the_reports_of_a_services_own_daemons_are_averaged():
    table = price_reports.PriceTable()
    for step in range(200):
        table.received(step * 0.01, "deep", report("deep", 100 if step % 2 else 200))
    assert 1.4 < table.price(2.0, "deep") < 1.6


def test_a_price_expires_two_seconds_after_its_last_report():
    table = price_reports.PriceTable()
    table.received(1.0, "plan", report("deep", 150))
    assert table.price(1.4, "deep") == 1.5
    assert 0 < table.price(2.2, "deep") < 0.75
    assert table.price(3.0, "deep") == 0.0
    assert table.reports(3.0) == []


def test_a_price_expires_even_if_daemons_report_it_in_circles():
    first, second = price_reports.PriceTable(), price_reports.PriceTable()
    first.received(0.0, "plan", report("deep", 150))
    # Two daemons report all known prices to each other every 10 ms.
    for step in range(1, 300):
        now = step * 0.01
        second.received(now, "desk", first.reports(now - 0.01))
        first.received(now, "ledger", second.reports(now - 0.01))
    assert first.price(3.0, "deep") == second.price(3.0, "deep") == 0.0


def test_a_message_contains_at_most_the_maximum_number_of_prices():
    table = price_reports.PriceTable()
    for number in range(40):
        table.received(1.0, "plan", report(f"s{number}", 10 + number))
    reports = table.reports(1.0)
    assert len(reports) == price_reports.MAX_REPORTS
    assert reports[0].price_pct == 49
