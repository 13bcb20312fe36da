"""Rollout of signed bundles: a newer valid bundle replaces the active one.

A few boxes per data centre watch the platform's pointer to the current bundle. Every
message between daemons carries the sender's active version; a daemon with an older
one requests the bundle from the sender, so bundles also spread without the platform.
"""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck.config import findings
from ferrydeck.signed import settings, signing
from ferrydeck.signed.core import context, effects, membership, platform
from ferrydeck.signed.wire import messages

POINTER = "bundle/current"
WATCH_TIMEOUT_S = 5.0
WATCH_RETRY_INTERVAL_S = 0.5
POLL_INTERVAL_S = 30.0
"""Mean interval at which boxes that do not watch the pointer read it."""
BOX_LIST_INTERVAL_S = 1.0
REQUEST_INTERVAL_S = 0.2
ANNOUNCE_FANOUT = 6
PEER_WAIT_TIMEOUT_S = 1.0
"""How long a starting box waits for a peer to confirm the platform's bundle."""


@attrs.define(kw_only=True, frozen=True)
class WatchTimer:
    """The next watch or read of the pointer is due."""


@attrs.define(kw_only=True, frozen=True)
class BoxListTimer:
    """The next read of the platform's box list is due."""


@attrs.define(kw_only=True, frozen=True)
class PeerWaitTimer:
    """The wait for a peer's message after the start is over."""


@attrs.define(kw_only=True, frozen=True)
class Pointer:
    """The value of the key `bundle/current`: version and digest of a bundle."""

    version: int
    digest: str


@attrs.define(kw_only=True, frozen=True)
class StatedVersion:
    """The version field of a bundle that has not been verified."""

    version: int


def bundle_key(version: int) -> str:
    """Return the key that stores a bundle version."""
    return f"bundle/{version}"


@attrs.define(kw_only=True)
class Rollout:
    """Activates the newest bundle that passes all checks."""

    ctx: context.Context
    members: membership.Membership
    signers: tuple[settings.Signer, ...]
    signatures_needed: int
    bundle_changed: bool = False
    """Set when a bundle is activated; cleared by the core once it is applied."""
    _pointer_version: int = 0
    _asked_at: float = -1e9
    _held_bundle: bytes | None = None
    """The platform's bundle while it waits for confirmation by a peer."""
    _peer_wait_over: bool = False
    _highest_announced: int = -1
    _audited_rejections: set[str] = attrs.Factory(set)

    @property
    def version(self) -> int:
        """The version of the active bundle; 0 if there is none."""
        return self.ctx.active.bundle.version if self.ctx.active else 0

    def start(self, now: float) -> None:
        """Start reading the pointer and the box list."""
        self.ctx.emit(effects.AskPlatform(request=platform.Read(key=POINTER)))
        self.ctx.schedule(now, BoxListTimer())
        wait_s = PEER_WAIT_TIMEOUT_S if self.members.seeds else 0.0
        self.ctx.schedule(now + wait_s, PeerWaitTimer())

    def watch(self, now: float) -> None:
        """Watch the pointer, or read it once if this box is not a watcher."""
        if self.members.is_watcher():
            request = platform.Watch(
                key=POINTER,
                after_version=self._pointer_version,
                wait_s=WATCH_TIMEOUT_S,
            )
        else:
            request = platform.Read(key=POINTER)
        self.ctx.emit(effects.AskPlatform(request=request))

    def read_box_list(self, now: float) -> None:
        """Read the platform's box list if this box is a watcher."""
        delay_s = BOX_LIST_INTERVAL_S * (0.9 + 0.2 * self.ctx.rng.random())
        self.ctx.schedule(now + delay_s, BoxListTimer())
        if self.members.is_watcher():
            self.ctx.emit(effects.AskPlatform(request=platform.ListBoxes()))

    def message_received(self, now: float, envelope: messages.Envelope) -> None:
        """Request the bundle of a box that announces a newer version."""
        self._highest_announced = max(self._highest_announced, envelope.bundle)
        self._try_held_bundle(now)
        if envelope.bundle <= self.version or now - self._asked_at < REQUEST_INTERVAL_S:
            return
        self._asked_at = now
        peer = self.members.peers.get(envelope.box)
        if peer is not None:
            self.members.send(peer, messages.BundleAsk())

    def send_bundle(self, box: str) -> None:
        """Send the active bundle to a box that requested it."""
        peer = self.members.peers.get(box)
        if peer is not None and self.ctx.active is not None:
            self.members.send(peer, messages.BundleGive(raw=self.ctx.active.raw))

    def offer(self, now: float, raw: bytes, source: str) -> None:
        """Activate a signed bundle if it is newer and passes all checks."""
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
        """Handle a result from the platform; return whether it was meant for this."""
        match request, result:
            case platform.ListBoxes(), platform.BoxList(boxes=boxes):
                self._sync_list(now, boxes)
            case platform.ListBoxes(), _:
                self.ctx.count("platform_faults", "boxes")
            case platform.Read(key=key) | platform.Watch(key=key), _ if key == POINTER:
                self._handle_pointer_result(now, result)
            case platform.Read(key=key), platform.Found(entry=entry) if is_bundle(key):
                self._handle_platform_bundle(now, entry.value.encode())
            case platform.Read(key=key), _ if is_bundle(key):
                self.ctx.count("platform_faults", "bundle")
            case _:
                return False
        return True

    def end_peer_wait(self, now: float) -> None:
        """Accept the platform's bundle without confirmation by a peer."""
        self._peer_wait_over = True
        self._try_held_bundle(now)

    def _handle_platform_bundle(self, now: float, raw: bytes) -> None:
        """Offer the platform's bundle, or hold it until a peer confirms it."""
        if self.ctx.active is not None or self._peer_wait_over:
            self.offer(now, raw, "platform")
            return
        self._held_bundle = raw
        self._try_held_bundle(now)

    def _try_held_bundle(self, now: float) -> None:
        """Offer the held bundle unless a peer announced a newer one."""
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
        """Return the version that a bundle claims, or 0 if it can't be decoded."""
        if isinstance(signed, findings.Rejected):
            return 0
        try:
            return msgspec.json.decode(signed.body, type=StatedVersion).version
        except msgspec.DecodeError:
            return 0

    def _handle_pointer_result(self, now: float, result: platform.Result) -> None:
        delay_s = WATCH_RETRY_INTERVAL_S
        match result:
            case platform.Found(entry=entry):
                self._follow_pointer(entry)
                delay_s = 0.0 if self.members.is_watcher() else self._poll_delay_s()
            case platform.Absent():
                self._pointer_version = 0
                if not self.members.is_watcher():
                    delay_s = self._poll_delay_s()
            case _:
                self.ctx.count("platform_faults", "pointer")
        self.ctx.schedule(now + max(delay_s, WATCH_RETRY_INTERVAL_S / 10), WatchTimer())

    def _poll_delay_s(self) -> float:
        """Return the delay until the next read, shorter without an active bundle."""
        if self.ctx.active is None:
            return WATCH_RETRY_INTERVAL_S
        return POLL_INTERVAL_S * (0.5 + self.ctx.rng.random())

    def _follow_pointer(self, entry: platform.Entry) -> None:
        """Read the bundle that the pointer refers to, if it is newer."""
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

    def _sync_list(self, now: float, boxes: tuple[platform.ListedBox, ...]) -> None:
        for member in self.members.sync_list(now, boxes):
            self.ctx.audit("member", f"{member.box} is listed as leaving")
            notice = messages.ListedLeaving(
                box=member.box, incarnation=member.incarnation
            )
            for peer in self.members.peers.values():
                self.members.send(peer, notice)

    def _reject(self, source: str, detail: str) -> None:
        """Count an invalid bundle, and audit each distinct reason once."""
        self.ctx.count("bundles_rejected", source)
        if detail in self._audited_rejections:
            return
        self._audited_rejections.add(detail)
        self.ctx.audit("bundle-rejected", detail)

    def _reject_older(self, verified: signing.Verified, source: str) -> None:
        self.ctx.count("bundles_rejected", "older")
        same_version = verified.bundle.version == self.version
        if same_version and verified.digest != self.ctx.active.digest:
            version = verified.bundle.version
            self._reject(source, f"another bundle already has version {version}")

    def _announce(self) -> None:
        """Announce the new version to some peers at once, by a digest."""
        for peer in self.members.sample(ANNOUNCE_FANOUT):
            digest = messages.Digest(members=self.members.checksum())
            self.members.send(peer, digest)


def is_bundle(key: str) -> bool:
    """Return whether a key stores a bundle."""
    return key.startswith("bundle/") and key != POINTER
