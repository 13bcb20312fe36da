"""The bundle in force: taking newer ones, never older, and spreading them.

A few boxes of each data centre watch the platform's pointer. Every message
between daemons carries the version in force; a daemon that is behind asks for
the signed bundle and verifies it itself. So a bundle reaches a data centre that
is cut off from the platform as long as one peer outside or inside has it.
"""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck.config import findings
from ferrydeck.signed import settings, signing
from ferrydeck.signed.core import context, effects, membership, platform
from ferrydeck.signed.wire import messages

POINTER = "bundle/current"
WATCH_WAIT_S = 5.0
WATCH_RETRY_S = 0.5
POLL_EVERY_S = 30.0
"""How often a box that does not watch reads the pointer all the same, seconds."""
BOXES_EVERY_S = 1.0
ASK_EVERY_S = 0.2
PUSH_FANOUT = 6
FIRST_WAIT_S = 1.0
"""How long a box that starts waits for a peer's message before it trusts the platform
alone, which may serve an older bundle; seconds."""


@attrs.define(kw_only=True, frozen=True)
class WatchTimer:
    """Time to watch or read the pointer again."""


@attrs.define(kw_only=True, frozen=True)
class BoxesTimer:
    """Time to read the platform's list of boxes again."""


@attrs.define(kw_only=True, frozen=True)
class FirstTimer:
    """Time to take the platform's bundle though no peer sent a message."""


@attrs.define(kw_only=True, frozen=True)
class Pointer:
    """The value of the key `bundle/current`."""

    version: int
    digest: str


@attrs.define(kw_only=True, frozen=True)
class Stated:
    """The version that the body of a bundle states."""

    version: int


def bundle_key(version: int) -> str:
    """Return the key of a bundle of that version."""
    return f"bundle/{version}"


@attrs.define(kw_only=True)
class Rollout:
    """Keeps the newest bundle that passed every check in force."""

    ctx: context.Context
    members: membership.Membership
    signers: tuple[settings.Signer, ...]
    needed: int
    changed: bool = False
    """Set when a bundle came in force; whoever acts on it clears it."""
    _pointer_version: int = 0
    _asked: float = -1e9
    _first: bytes | None = None
    """The platform's bundle, held until a peer sent a message."""
    _trusts_platform: bool = False
    _highest_announced: int = -1
    _rejected: set[str] = attrs.Factory(set)

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return self.ctx.active.bundle.version if self.ctx.active else 0

    def start(self, now: float) -> None:
        """Begin to read the pointer and the list of boxes."""
        self.ctx.emit(effects.AskPlatform(request=platform.Read(key=POINTER)))
        self.ctx.schedule(now, BoxesTimer())
        wait_s = FIRST_WAIT_S if self.members.seeds else 0.0
        self.ctx.schedule(now + wait_s, FirstTimer())

    def watch(self, now: float) -> None:
        """Watch the pointer, or read it where others watch."""
        if self.members.is_watcher():
            request = platform.Watch(
                key=POINTER, after_version=self._pointer_version, wait_s=WATCH_WAIT_S
            )
        else:
            request = platform.Read(key=POINTER)
        self.ctx.emit(effects.AskPlatform(request=request))

    def read_boxes(self, now: float) -> None:
        """Read the list of boxes, where this box watches the platform."""
        every = BOXES_EVERY_S * (0.9 + 0.2 * self.ctx.rng.random())
        self.ctx.schedule(now + every, BoxesTimer())
        if self.members.is_watcher():
            self.ctx.emit(effects.AskPlatform(request=platform.ListBoxes()))

    def received(self, now: float, envelope: messages.Envelope) -> None:
        """Ask a box that has a newer bundle for it."""
        self._highest_announced = max(self._highest_announced, envelope.bundle)
        self._take_first(now)
        if envelope.bundle <= self.version or now - self._asked < ASK_EVERY_S:
            return
        self._asked = now
        peer = self.members.peers.get(envelope.box)
        if peer is not None:
            self.members.send(peer, messages.BundleAsk())

    def asked(self, box: str) -> None:
        """Give the bundle in force to a box that asked for it."""
        peer = self.members.peers.get(box)
        if peer is not None and self.ctx.active is not None:
            self.members.send(peer, messages.BundleGive(raw=self.ctx.active.raw))

    def offered(self, now: float, raw: bytes, source: str) -> None:
        """Take a signed bundle if it is newer and passes every check."""
        if self.ctx.active is not None and raw == self.ctx.active.raw:
            return
        verified = signing.verify(
            raw, signers=self.signers, needed=self.needed, name=source
        )
        if isinstance(verified, findings.Rejected):
            self._reject(source, str(verified).replace("\n", "; "))
            return
        bundle = verified.bundle
        if bundle.version <= self.version:
            self._older(verified, source)
            return
        self.ctx.active = context.make_active_bundle(verified)
        self.changed = True
        self.ctx.audit(
            "bundle-accepted",
            f"version {bundle.version} digest {verified.digest} "
            f"signed by {', '.join(verified.signers)} from {source}",
        )
        self._push()

    def answered(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> bool:
        """Take the platform's answer; return whether the request was one of these."""
        match request, result:
            case platform.ListBoxes(), platform.BoxList(boxes=boxes):
                self._listed(now, boxes)
            case platform.ListBoxes(), _:
                self.ctx.count("platform_faults", "boxes")
            case platform.Read(key=key) | platform.Watch(key=key), _ if key == POINTER:
                self._pointer_answered(now, result)
            case platform.Read(key=key), platform.Found(entry=entry) if is_bundle(key):
                self._offered_by_platform(now, entry.value.encode())
            case platform.Read(key=key), _ if is_bundle(key):
                self.ctx.count("platform_faults", "bundle")
            case _:
                return False
        return True

    def trust_platform(self, now: float) -> None:
        """Take the platform's bundle though no peer sent a message."""
        self._trusts_platform = True
        self._take_first(now)

    def _offered_by_platform(self, now: float, raw: bytes) -> None:
        """Take the platform's bundle; at the start only after a peer's message."""
        if self.ctx.active is not None or self._trusts_platform:
            self.offered(now, raw, "platform")
            return
        self._first = raw
        self._take_first(now)

    def _take_first(self, now: float) -> None:
        """Take the held bundle once no peer is known to have a newer one."""
        if self._first is None:
            return
        peers_agree = self._highest_announced >= 0
        if self._highest_announced > 0:
            verified = signing.decode(self._first, "platform")
            peers_agree = self._version_of(verified) >= self._highest_announced
        if peers_agree or self._trusts_platform:
            raw, self._first = self._first, None
            self.offered(now, raw, "platform")

    def _version_of(self, signed: signing.SignedBundle | findings.Rejected) -> int:
        """Return the version that a signed bundle states; 0 where it can't be read."""
        if isinstance(signed, findings.Rejected):
            return 0
        try:
            return msgspec.json.decode(signed.body, type=Stated).version
        except msgspec.DecodeError:
            return 0

    def _pointer_answered(self, now: float, result: platform.Result) -> None:
        delay = WATCH_RETRY_S
        match result:
            case platform.Found(entry=entry):
                self._pointed(entry)
                delay = 0.0 if self.members.is_watcher() else self._poll_delay()
            case platform.Absent():
                self._pointer_version = 0
                if not self.members.is_watcher():
                    delay = self._poll_delay()
            case _:
                self.ctx.count("platform_faults", "pointer")
        self.ctx.schedule(now + max(delay, WATCH_RETRY_S / 10), WatchTimer())

    def _poll_delay(self) -> float:
        """Return when to read again; soon while there is no bundle at all."""
        if self.ctx.active is None:
            return WATCH_RETRY_S
        return POLL_EVERY_S * (0.5 + self.ctx.rng.random())

    def _pointed(self, entry: platform.Entry) -> None:
        """Read the bundle that the pointer names, if it is newer."""
        self._pointer_version = entry.version
        try:
            pointer = msgspec.json.decode(entry.value, type=Pointer)
        except msgspec.DecodeError:
            self.ctx.count("platform_faults", "pointer")
            return
        if pointer.version < self.version:
            self.ctx.count("platform_faults", "older-pointer")
            return
        if pointer.version > self.version:
            request = platform.Read(key=bundle_key(pointer.version))
            self.ctx.emit(effects.AskPlatform(request=request))

    def _listed(self, now: float, boxes: tuple[platform.ListedBox, ...]) -> None:
        for member in self.members.listed(now, boxes):
            self.ctx.audit("member", f"{member.box} is listed as leaving")
            news = messages.ListedLeaving(
                box=member.box, incarnation=member.incarnation
            )
            for peer in self.members.peers.values():
                self.members.send(peer, news)

    def _reject(self, source: str, why: str) -> None:
        """Count a bundle that fails a check; put it on the audit trail once."""
        self.ctx.count("bundles_rejected", source)
        if why in self._rejected:
            return
        self._rejected.add(why)
        self.ctx.audit("bundle-rejected", why)

    def _older(self, verified: signing.Verified, source: str) -> None:
        self.ctx.count("bundles_rejected", "older")
        same = verified.bundle.version == self.version
        if same and verified.digest != self.ctx.active.digest:
            version = verified.bundle.version
            self._reject(source, f"another bundle has the same version {version}")

    def _push(self) -> None:
        """Announce the version to a few boxes at once; summaries reach the rest."""
        for peer in self.members.sample(PUSH_FANOUT):
            summary = messages.Digest(members=self.members.summary())
            self.members.send(peer, summary)


def is_bundle(key: str) -> bool:
    """Return whether a key holds a bundle."""
    return key.startswith("bundle/") and key != POINTER
