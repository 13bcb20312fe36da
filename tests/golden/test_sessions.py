"""Guards against unintended changes of the effects of cores in simulated sessions.

`make golden` updates the snapshots; review their diff like code.
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
OMITTED_FIELDS = {"load", "fingerprint", "caller"}


class Session:
    """Records the call events and effects of a simulated world."""

    def __init__(self, sim: world.World) -> None:
        self.sim = sim
        self.lines: list[str] = []
        sim.observer = self.record

    def record(self, box, event, requested):
        shown = [line for line in map(format_effect, requested) if line]
        event_text = format_event(event)
        if not event_text and not shown:
            return
        self.lines.append(f"{self.sim.env.now:.4f} {box}: {event_text or 'a timer'}")
        self.lines += [f"    -> {line}" for line in shown]

    @property
    def text(self) -> str:
        return "\n".join(self.lines) + "\n"


def format_event(event) -> str:
    match event:
        case events.PeerReceived(received=received):
            message = received.message
            if isinstance(message, CALL_MESSAGES):
                return f"from {received.envelope.box}: {format_object(message)}"
        case _ if isinstance(event, CALL_EVENTS):
            return format_object(event)
    return ""


def format_effect(effect) -> str:
    match effect:
        case effects.SendPeer(box=box, message=message):
            if isinstance(message, CALL_MESSAGES):
                return f"to {box}: {format_object(message)}"
        case _ if isinstance(effect, CALL_EFFECTS):
            return format_object(effect)
    return ""


def format_object(obj) -> str:
    """Return a class name and its non-empty fields on one line."""
    shown = []
    for field in attrs.fields(type(obj)):
        value = getattr(obj, field.name)
        if value in ("", 0, (), b"", False) or field.name in OMITTED_FIELDS:
            continue
        shown.append(f"{field.name}={format_value(value)}")
    return f"{type(obj).__name__}({', '.join(shown)})"


def format_value(value) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, tuple):
        return f"[{', '.join(map(format_value, value))}]"
    if isinstance(value, messages.Header):
        return f"{value.name}: {value.value}"
    if attrs.has(type(value)):
        return format_object(value)
    return str(value)


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(TextSnapshot)


class TextSnapshot(single_file.SingleFileSnapshotExtension):
    _write_mode = single_file.WriteMode.TEXT
    file_extension = "txt"


def ledger_session():
    sim = worlds.ledger_world()
    sim.run(1)
    return sim, Session(sim)


def key_owned_by(sim, name):
    owned = sim.boxes[name].core.shard_owner.owned
    candidates = (f"key-{number}" for number in range(1000))
    return next(key for key in candidates if keys.shard_of(key) in owned)


def send_posting(sim, entry, key, service_ms=5):
    path = f"{worlds.POSTING}?ms={service_ms}"
    sim.call(entry, "POST", path, key=key, body=b"12.50")


def test_a_lookup_is_served(golden):
    sim, session = ledger_session()
    sim.call("north-entry", "GET", "/payments-ledger/balances/7?ms=5")
    sim.run(0.1)
    assert session.text == golden


def test_a_posting_is_sent_twice_and_runs_once(golden):
    sim, session = ledger_session()
    key = key_owned_by(sim, "south-ledger")
    send_posting(sim, "north-entry", key)
    sim.run(0.1)
    send_posting(sim, "south-entry", key)
    sim.run(0.1)
    assert session.text == golden
    assert len(sim.effects()) == 1


def test_a_posting_whose_owner_dies_is_unknown_until_the_quarantine_ends(golden):
    sim, session = ledger_session()
    key = key_owned_by(sim, "south-ledger")
    send_posting(sim, "north-entry", key, service_ms=400)
    sim.run(0.1)
    sim.kill("south-ledger")
    sim.run(3)
    session.lines.append("(the successor has taken the shards over)")
    send_posting(sim, "north-entry", key)
    sim.run(0.1)
    lines = [line for line in session.lines if "shard-owned" not in line]
    assert "\n".join(lines) == golden


def test_a_call_that_runs_late_is_cancelled_and_unknown(golden):
    sim, session = ledger_session()
    path = "/payments-ledger/balances/7?ms=500"
    sim.call("north-entry", "GET", path, deadline_ms=100)
    sim.run(1)
    assert session.text == golden


def test_calls_over_the_limit_wait_or_are_refused(golden):
    sim, session = ledger_session()
    sim.boxes["south-ledger"].core.serving.target.admission.mean_service_s = 0.05
    sim.stop("south-ledger")
    sim.run(1)
    session.lines.clear()
    sim.boxes["north-ledger"].core.serving.target.admission.mean_service_s = 0.05
    for number in range(7):
        path = f"/payments-ledger/balances/{number}?ms=50"
        sim.call("north-entry", "GET", path, deadline_ms=80)
    sim.run(0.5)
    assert session.text == golden


def test_a_box_stops_as_planned_and_hands_its_shards_over(golden):
    sim, session = ledger_session()
    key = key_owned_by(sim, "south-ledger")
    send_posting(sim, "north-entry", key, service_ms=50)
    sim.run(0.01)
    sim.stop("south-ledger")
    sim.run(1)
    shard = keys.shard_of(key)
    markers = (f"/{shard} ", f"shard={shard}", "Leav", "leav", "Ended", "Stop", "key-")
    lines = [line for line in session.lines if any(mark in line for mark in markers)]
    assert "\n".join(lines) == golden
    assert sim.boxes["south-ledger"].stopped
