from __future__ import annotations

import pytest

from ferrydeck.mesh.inbound import queueing


def queue_of(**counts: int) -> queueing.PriorityQueue[str]:
    queue = queueing.PriorityQueue()
    for name, count in counts.items():
        priority = int(name.removeprefix("rank"))
        for number in range(count):
            queue.push(priority, f"{priority}.{number}")
    return queue


def test_items_of_one_priority_are_served_in_order():
    queue = queue_of(rank1=3)
    assert [queue.pop() for _ in range(3)] == ["1.0", "1.1", "1.2"]
    with pytest.raises(IndexError):
        queue.pop()


def test_a_priority_gets_four_times_the_turns_of_the_next_lower_one():
    queue = queue_of(rank1=100, rank2=100)
    taken = [queue.pop()[0] for _ in range(50)]
    assert taken.count("1") == 40


def test_an_idle_priority_gets_no_credit():
    queue = queue_of(rank1=100)
    for _ in range(50):
        queue.pop()
    for number in range(50):
        queue.push(2, f"2.{number}")
    taken = [queue.pop()[0] for _ in range(25)]
    assert taken.count("2") <= 6


def test_the_last_item_is_the_newest_of_the_lowest_priority():
    assert queue_of(rank0=2, rank2=2).last() == "2.1"


def test_an_item_can_be_removed():
    queue = queue_of(rank1=2)
    first = next(iter(queue))
    assert queue.remove(1, first)
    assert not queue.remove(1, first)
    assert len(queue) == 1
    assert queue.clear() == ["1.1"]
    assert len(queue) == 0
