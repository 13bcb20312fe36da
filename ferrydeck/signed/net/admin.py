"""The admin endpoint: metrics, health, status, audit and drain, with `circuits.web`.

Reads the core's state; only `drain` changes it.
"""

from __future__ import annotations

import attrs
import msgspec
from circuits import web

from ferrydeck import clock
from ferrydeck.signed.net import driver

JSON = "application/json"


@attrs.define(kw_only=True, frozen=True)
class PeerStatus:
    """State of a known box."""

    box: str
    incarnation: int
    data_centre: str
    service: str
    state: str
    takes_work: bool
    silent_s: float


@attrs.define(kw_only=True, frozen=True)
class Status:
    """State of the daemon."""

    box: str
    incarnation: int
    data_centre: str
    service: str
    ready: bool
    leaving: bool
    bundle_version: int
    bundle_digest: str
    callers_waiting: int
    jobs: int
    shards: tuple[int, ...]
    quarantined: int
    lease_left_s: float
    peers: tuple[PeerStatus, ...]


def status_of(drv: driver.Driver) -> Status:
    """Return the current state of the daemon."""
    core = drv.core
    now = clock.now()
    active = core.ctx.active
    owned = core.shard_owner.owned
    return Status(
        box=core.identity.box,
        incarnation=core.identity.incarnation,
        data_centre=core.identity.data_centre,
        service=core.identity.service,
        ready=core.ready,
        leaving=core.ctx.leaving,
        bundle_version=core.rollout.version,
        bundle_digest=active.digest if active else "",
        callers_waiting=len(core.forwarder.attempts.by_conn),
        jobs=len(core.serving.jobs),
        shards=tuple(sorted(owned)),
        quarantined=sum(now < one.quarantine_until for one in owned.values()),
        lease_left_s=max(0.0, core.shard_owner.lease.valid_until - now),
        peers=tuple(peer_status(peer, now) for peer in core.members.peers.values()),
    )


def peer_status(peer: object, now: float) -> PeerStatus:
    """Return the state of a known box as seen by this daemon."""
    member = peer.member
    return PeerStatus(
        box=member.box,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        service=member.service,
        state=member.state,
        takes_work=peer.accepts_work,
        silent_s=round(now - peer.last_message, 3),
    )


class Admin(web.Controller):
    """Handlers of the admin endpoint."""

    channel = "/"
    drv: driver.Driver

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        now = clock.now()
        drv = self.drv
        return drv.metrics.render(drv.core, drv.peers, drv.links, now)

    def health(self) -> str:
        """Respond, to show that the event loop is running."""
        return "ok\n"

    def ready(self) -> str:
        """Return status 200 if the daemon is ready, else 503."""
        if not self.drv.core.ready:
            self.response.status = 503
            return "not ready\n"
        return "ready\n"

    def status(self) -> bytes:
        """Return the state of the daemon as JSON."""
        self.response.headers["Content-Type"] = JSON
        return msgspec.json.encode(status_of(self.drv))

    def audit(self) -> bytes:
        """Return the audit trail as JSON Lines."""
        self.response.headers["Content-Type"] = "application/jsonl"
        lines = [msgspec.json.encode(entry) for entry in self.drv.audit_trail.entries]
        return b"\n".join(lines) + b"\n"

    def drain(self) -> str:
        """Start to leave the cluster without exiting."""
        if self.request.method != "POST":
            self.response.status = 405
            return "use POST\n"
        self.drv.leave(end=False, reason="drain requested by an operator")
        return "draining\n"


def open_admin(drv: driver.Driver, ip: str, port: int) -> None:
    """Open the admin endpoint on the daemon's event loop."""
    server = web.Server((ip, port), display_banner=False)
    server.register(drv)
    controller = Admin()
    controller.drv = drv
    controller.register(drv)
