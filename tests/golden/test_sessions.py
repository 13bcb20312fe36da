"""Whole sessions of several cores as text: time, box, event, effects.

`make golden` renews the files; the difference is to be reviewed like code.
"""

from __future__ import annotations

import attrs
import pytest
from syrupy.extensions import single_file

from ferrydeck.replay import world
from ferrydeck.signed.core import effects, events, keys
from ferrydeck.signed.wire import messages
from tests import worlds

CALL_EVENTS = (
    events.CallReceived,
    events.CallerGone,
    events.TargetHead,
    events.TargetFailed,
    events.StopAsked,
)
CALL_MESSAGES = (
    messages.Forward,
    messages.Cancel,
    messages.Answer,
    messages.Refused,
    messages.Uncertain,
    messages.ShardHand,
    messages.ShardTaken,
    messages.ShardYours,
)
CALL_EFFECTS = (
    effects.AnswerCaller,
    effects.DispatchTarget,
    effects.CancelTarget,
    effects.CallFinished,
    effects.Audit,
    effects.Ended,
)
NOT_SHOWN = {"load", "fingerprint", "caller"}


class Session:
    """Writes down what happens on the call path of a world."""

    def __init__(self, made: world.World) -> None:
        self.made = made
        self.lines: list[str] = []
        made.observer = self.note

    def note(self, box, event, asked):
        shown = [one for one in map(show_effect, asked) if one]
        told = show_event(event)
        if not told and not shown:
            return
        self.lines.append(f"{self.made.env.now:.4f} {box}: {told or 'a timer'}")
        self.lines += [f"    -> {line}" for line in shown]

    @property
    def text(self) -> str:
        return "\n".join(self.lines) + "\n"


def show_event(event) -> str:
    match event:
        case events.PeerReceived(received=received):
            message = received.message
            if isinstance(message, CALL_MESSAGES):
                return f"from {received.envelope.box}: {show(message)}"
        case _ if isinstance(event, CALL_EVENTS):
            return show(event)
    return ""


def show_effect(effect) -> str:
    match effect:
        case effects.SendPeer(box=box, message=message):
            if isinstance(message, CALL_MESSAGES):
                return f"to {box}: {show(message)}"
        case _ if isinstance(effect, CALL_EFFECTS):
            return show(effect)
    return ""


def show(thing) -> str:
    """Return a class and the fields that are not empty, one line."""
    shown = []
    for field in attrs.fields(type(thing)):
        value = getattr(thing, field.name)
        if value in ("", 0, (), b"", False) or field.name in NOT_SHOWN:
            continue
        shown.append(f"{field.name}={show_value(value)}")
    return f"{type(thing).__name__}({', '.join(shown)})"


def show_value(value) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, tuple):
        return f"[{', '.join(map(show_value, value))}]"
    if isinstance(value, messages.Header):
        return f"{value.name}: {value.value}"
    if attrs.has(type(value)):
        return show(value)
    return str(value)


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(TextFile)


class TextFile(single_file.SingleFileSnapshotExtension):
    _write_mode = single_file.WriteMode.TEXT
    file_extension = "txt"


def ledger():
    made = worlds.ledger_world()
    made.run(1)
    return made, Session(made)


def key_of(made, name):
    owned = made.boxes[name].core.shard_owner.owned
    found = (f"key-{number}" for number in range(1000))
    return next(key for key in found if keys.shard_of(key) in owned)


def posting(made, entry, key, ms=5):
    path = f"{worlds.POSTING}?ms={ms}"
    made.call(entry, "POST", path, key=key, body=b"12.50")


def test_a_lookup_is_served(golden):
    made, session = ledger()
    made.call("north-entry", "GET", "/payments-ledger/balances/7?ms=5")
    made.run(0.1)
    assert session.text == golden


def test_a_posting_is_sent_twice_and_runs_once(golden):
    made, session = ledger()
    key = key_of(made, "south-ledger")
    posting(made, "north-entry", key)
    made.run(0.1)
    posting(made, "south-entry", key)
    made.run(0.1)
    assert session.text == golden
    assert len(made.effects()) == 1


def test_a_posting_whose_owner_dies_is_unknown_until_the_quarantine_ends(golden):
    made, session = ledger()
    key = key_of(made, "south-ledger")
    posting(made, "north-entry", key, ms=400)
    made.run(0.1)
    made.kill("south-ledger")
    made.run(3)
    session.lines.append("(the successor has taken the shards over)")
    posting(made, "north-entry", key)
    made.run(0.1)
    lines = [one for one in session.lines if "shard-owned" not in one]
    assert "\n".join(lines) == golden


def test_a_call_that_runs_late_is_cancelled_and_unknown(golden):
    made, session = ledger()
    path = "/payments-ledger/balances/7?ms=500"
    made.call("north-entry", "GET", path, deadline_ms=100)
    made.run(1)
    assert session.text == golden


def test_calls_over_the_limit_wait_or_are_refused(golden):
    made, session = ledger()
    made.boxes["south-ledger"].core.serving.target.admission.mean_service_s = 0.05
    made.stop("south-ledger")
    made.run(1)
    session.lines.clear()
    made.boxes["north-ledger"].core.serving.target.admission.mean_service_s = 0.05
    for number in range(7):
        path = f"/payments-ledger/balances/{number}?ms=50"
        made.call("north-entry", "GET", path, deadline_ms=80)
    made.run(0.5)
    assert session.text == golden


def test_a_box_stops_as_planned_and_hands_its_shards_over(golden):
    made, session = ledger()
    key = key_of(made, "south-ledger")
    posting(made, "north-entry", key, ms=50)
    made.run(0.01)
    made.stop("south-ledger")
    made.run(1)
    shard = keys.shard_of(key)
    wanted = (f"/{shard} ", f"shard={shard}", "Leav", "leav", "Ended", "Stop", "key-")
    lines = [one for one in session.lines if any(mark in one for mark in wanted)]
    assert "\n".join(lines) == golden
    assert made.boxes["south-ledger"].ended
