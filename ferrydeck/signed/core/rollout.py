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

POINTER_KEY = "bundle/current"
WATCH_TIMEOUT_S = 5.0
WATCH_RETRY_INTERVAL_S = 0.5
POLL_INTERVAL_S = 30.0
"""How often a box that does not watch reads the pointer all the same, seconds."""
BOX_LIST_INTERVAL_S = 1.0
BUNDLE_REQUEST_INTERVAL_S = 0.2
ANNOUNCE_FANOUT = 6
PEER_WAIT_TIMEOUT_S = 1.0
"""How long a box that starts waits for a peer's message before it trusts the platform
alone, which may serve an older bundle; seconds."""


@attrs.define(kw_only=True, frozen=True)
class WatchTimer:
    """Time to watch or read the pointer again."""


@attrs.define(kw_only=True, frozen=True)
class BoxListTimer:
    """Time to read the platform's list of boxes again."""


@attrs.define(kw_only=True, frozen=True)
class PeerWaitTimer:
    """Time to take the platform's bundle though no peer sent a message."""


@attrs.define(kw_only=True, frozen=True)
class Pointer:
    """The value of the key `bundle/current`."""

    version: int
    digest: str


@attrs.define(kw_only=True, frozen=True)
class StatedVersion:
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
    signatures_needed: int
    bundle_changed: bool = False
    """Set when a bundle came in force; whoever acts on it clears it."""
    _pointer_version: int = 0
    _last_request: float = -1e9
    _held_bundle: bytes | None = None
    """The platform's bundle, held until a peer sent a message."""
    _peer_wait_over: bool = False
    _highest_announced: int = -1
    _audited_rejections: set[str] = attrs.Factory(set)

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return self.ctx.active.bundle.version if self.ctx.active else 0

    def start(self, now: float) -> None:
        """Begin to read the pointer and the list of boxes."""
        self.ctx.emit(effects.AskPlatform(request=platform.Read(key=POINTER_KEY)))
        self.ctx.schedule(now, BoxListTimer())
        wait_s = PEER_WAIT_TIMEOUT_S if self.members.seeds else 0.0
        self.ctx.schedule(now + wait_s, PeerWaitTimer())

    def watch(self, now: float) -> None:
        """Watch the pointer, or read it where others watch."""
        if self.members.is_watcher():
            request = platform.Watch(
                key=POINTER_KEY,
                after_version=self._pointer_version,
                wait_s=WATCH_TIMEOUT_S,
            )
        else:
            request = platform.Read(key=POINTER_KEY)
        self.ctx.emit(effects.AskPlatform(request=request))

    def read_box_list(self, now: float) -> None:
        """Read the list of boxes, where this box watches the platform."""
        every = BOX_LIST_INTERVAL_S * (0.9 + 0.2 * self.ctx.rng.random())
        self.ctx.schedule(now + every, BoxListTimer())
        if self.members.is_watcher():
            self.ctx.emit(effects.AskPlatform(request=platform.ListBoxes()))

    def message_received(self, now: float, envelope: messages.Envelope) -> None:
        """Ask a box that has a newer bundle for it."""
        self._highest_announced = max(self._highest_announced, envelope.bundle)
        self._try_held_bundle(now)
        if (
            envelope.bundle <= self.version
            or now - self._last_request < BUNDLE_REQUEST_INTERVAL_S
        ):
            return
        self._last_request = now
        peer = self.members.peers.get(envelope.box)
        if peer is not None:
            self.members.send(peer, messages.BundleAsk())

    def send_bundle(self, box: str) -> None:
        """Give the bundle in force to a box that asked for it."""
        peer = self.members.peers.get(box)
        if peer is not None and self.ctx.active is not None:
            self.members.send(peer, messages.BundleGive(raw=self.ctx.active.raw))

    def offer(self, now: float, raw: bytes, source: str) -> None:
        """Take a signed bundle if it is newer and passes every check."""
        if self.ctx.active is not None and raw == self.ctx.active.raw:
            return
        verified = signing.verify(
            raw, signers=self.signers, needed=self.signatures_needed, name=source
        )
        if isinstance(verified, findings.Rejected):
            self._reject(source, str(verified).replace("\n", "; "))
            return
        bundle = verified.bundle
        if bundle.version <= self.version:
            self._reject_older(verified, source)
            return
        self.ctx.active = context.make_active_bundle(verified)
        self.bundle_changed = True
        self.ctx.audit(
            "bundle-accepted",
            f"version {bundle.version} digest {verified.digest} "
            f"signed by {', '.join(verified.signers)} from {source}",
        )
        self._announce()

    def handle_platform_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> bool:
        """Take the platform's answer; return whether the request was one of these."""
        match request, result:
            case platform.ListBoxes(), platform.BoxList(boxes=boxes):
                self._handle_box_list(now, boxes)
            case platform.ListBoxes(), _:
                self.ctx.count("platform_faults", "boxes")
            case platform.Read(key=key) | platform.Watch(key=key), _ if (
                key == POINTER_KEY
            ):
                self._handle_pointer_result(now, result)
            case platform.Read(key=key), platform.Found(entry=entry) if is_bundle_key(
                key
            ):
                self._handle_platform_bundle(now, entry.value.encode())
            case platform.Read(key=key), _ if is_bundle_key(key):
                self.ctx.count("platform_faults", "bundle")
            case _:
                return False
        return True

    def end_peer_wait(self, now: float) -> None:
        """Take the platform's bundle though no peer sent a message."""
        self._peer_wait_over = True
        self._try_held_bundle(now)

    def _handle_platform_bundle(self, now: float, raw: bytes) -> None:
        """Take the platform's bundle; at the start only after a peer's message."""
        if self.ctx.active is not None or self._peer_wait_over:
            self.offer(now, raw, "platform")
            return
        self._held_bundle = raw
        self._try_held_bundle(now)

    def _try_held_bundle(self, now: float) -> None:
        """Take the held bundle once no peer is known to have a newer one."""
        if self._held_bundle is None:
            return
        peers_agree = self._highest_announced >= 0
        if self._highest_announced > 0:
            verified = signing.decode(self._held_bundle, "platform")
            peers_agree = self._stated_version(verified) >= self._highest_announced
        if peers_agree or self._peer_wait_over:
            raw, self._held_bundle = self._held_bundle, None
            self.offer(now, raw, "platform")

    def _stated_version(self, signed: signing.SignedBundle | findings.Rejected) -> int:
        """Return the version that a signed bundle states; 0 where it can't be read."""
        if isinstance(signed, findings.Rejected):
            return 0
        try:
            return msgspec.json.decode(signed.body, type=StatedVersion).version
        except msgspec.DecodeError:
            return 0

    def _handle_pointer_result(self, now: float, result: platform.Result) -> None:
        delay = WATCH_RETRY_INTERVAL_S
        match result:
            case platform.Found(entry=entry):
                self._follow_pointer(entry)
                delay = 0.0 if self.members.is_watcher() else self._poll_delay()
            case platform.Absent():
                self._pointer_version = 0
                if not self.members.is_watcher():
                    delay = self._poll_delay()
            case _:
                self.ctx.count("platform_faults", "pointer")
        self.ctx.schedule(now + max(delay, WATCH_RETRY_INTERVAL_S / 10), WatchTimer())

    def _poll_delay(self) -> float:
        """Return when to read again; soon while there is no bundle at all."""
        if self.ctx.active is None:
            return WATCH_RETRY_INTERVAL_S
        return POLL_INTERVAL_S * (0.5 + self.ctx.rng.random())

    def _follow_pointer(self, entry: platform.Entry) -> None:
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

    def _handle_box_list(
        self, now: float, boxes: tuple[platform.ListedBox, ...]
    ) -> None:
        for member in self.members.update_box_list(now, boxes):
            self.ctx.audit("member", f"{member.box} is listed as leaving")
            news = messages.ListedLeaving(
                box=member.box, incarnation=member.incarnation
            )
            for peer in self.members.peers.values():
                self.members.send(peer, news)

    def _reject(self, source: str, why: str) -> None:
        """Count a bundle that fails a check; put it on the audit trail once."""
        self.ctx.count("bundles_rejected", source)
        if why in self._audited_rejections:
            return
        self._audited_rejections.add(why)
        self.ctx.audit("bundle-rejected", why)

    def _reject_older(self, verified: signing.Verified, source: str) -> None:
        self.ctx.count("bundles_rejected", "older")
        same = verified.bundle.version == self.version
        if same and verified.digest != self.ctx.active.digest:
            version = verified.bundle.version
            self._reject(source, f"another bundle has the same version {version}")

    def _announce(self) -> None:
        """Announce the version to a few boxes at once; summaries reach the rest."""
        for peer in self.members.sample(ANNOUNCE_FANOUT):
            summary = messages.Digest(members=self.members.checksum())
            self.members.send(peer, summary)


def is_bundle_key(key: str) -> bool:
    """Return whether a key holds a bundle."""
    return key.startswith("bundle/") and key != POINTER_KEY
