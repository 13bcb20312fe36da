"""Applies new policies on this daemon, and passes them on to other daemons.

A new policy comes from the store (`registry`) or from another daemon. Messages state
the version of the sender's policy; a receiver with an older one requests it. Applying a
policy updates the parts of this daemon, its driver, and the target state sent to linked
daemons, which states the new version.

Owns which policy is in force; relies on the links to carry requests and replies.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages, policy
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import incoming_links, peer_table, peers
from ferrydeck.mesh.outbound import traffic_split
from ferrydeck.mesh.teams import policy_freshness, quota_exchange

RETRY_INTERVAL_S = 0.2
"""Shortest interval between requests for a newer policy, seconds."""
CONFIRMATION_PING_AGE_S = 1.05
"""Age of the confirmation from which other daemons are pinged for a newer one, seconds;
by then the first daemon of the data centre has requested one from the store. With the
pings of idle links alone, twelve idle daemons make 60 calls of the store in ten
seconds; with this, 36 at most."""


@attrs.define(kw_only=True)
class PolicyDistribution:
    """Keeps the newest policy in force, and distributes it to other daemons."""

    ctx: context.Context
    peers: peer_table.PeerTable
    incoming_links: incoming_links.IncomingLinks
    inbound: inbound.Inbound
    splits: traffic_split.TrafficSplits
    policy_freshness: policy_freshness.PolicyFreshness
    quota_exchange: quota_exchange.QuotaExchange
    _asked_at: float = -1e9

    def apply(self, now: float, new: policy.Policy, source: str) -> None:
        """Apply a policy if it is newer than the one in force."""
        if new.version <= self.ctx.version:
            return
        old = self.ctx.version
        self.ctx.policy = new
        self.splits.clear()
        self.ctx.note("policy-in-force", version=new.version, old=old, source=source)
        self.policy_freshness.policy_applied(new.version)
        self.quota_exchange.policy_applied(now)
        limits = new.caller_limits
        self.ctx.emit(
            effects.SetCallerLimits(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                head_s=limits.head_s,
                idle_s=limits.idle_s,
            )
        )
        self.broadcast_state(now)
        self.inbound.target.probe(now)

    def broadcast_state(self, now: float) -> None:
        """Send the target state, which states the policy's version, to all daemons."""
        self.incoming_links.broadcast(self.inbound.state(now))

    def request_newer_policy(self, now: float, peer: peers.Peer, version: int) -> None:
        """Request the policy of a daemon that was dialled from here, if it is newer."""
        if self._should_request(now, version):
            self._asked_at = now
            self.peers.send(now, peer, messages.PolicyRequest())

    def request_newer_policy_back(self, now: float, link: int, version: int) -> None:
        """Request the policy of a daemon that dialled here, if it is newer."""
        if self._should_request(now, version):
            self._asked_at = now
            self.incoming_links.send(link, messages.PolicyRequest())

    def policy_reply(self) -> messages.PolicyReply | None:
        """Return the reply to a policy request; `None` without a policy."""
        current = self.ctx.policy
        if current is None:
            return None
        return messages.PolicyReply(version=current.version, raw=current.raw)

    def policy_received(self, raw: bytes, source: str) -> None:
        """Have the driver parse a policy that another daemon sent."""
        self.ctx.emit(effects.ReadPolicy(raw=raw, source=source))

    def make_pong(self, now: float, ping: messages.Ping) -> messages.Pong:
        """Return the reply to a ping, with the confirmation's age unless it expired."""
        version, load = self.ctx.version, self.inbound.load(now)
        age_s = self.policy_freshness.age_s(now)
        ttl_s = self.policy_freshness.ttl_s
        if ttl_s is None or age_s >= ttl_s:
            return messages.Pong(version=version, load=load)
        return messages.ConfirmedPong(
            version=version, load=load, asked_s=ping.sent_s, confirmation_age_s=age_s
        )

    def pong_received(self, pong: messages.Pong) -> None:
        """Record the confirmation in a pong, if there is one."""
        if isinstance(pong, messages.ConfirmedPong):
            at = pong.asked_s - pong.confirmation_age_s
            self.policy_freshness.add_confirmation(self.ctx.version, pong.version, at)

    def refresh_confirmation(self, now: float) -> None:
        """Ping other daemons if they may have a newer confirmation."""
        current = self.ctx.policy
        if current is None or not current.teams or self.policy_freshness.ttl_s is None:
            return
        if self.policy_freshness.age_s(now) > CONFIRMATION_PING_AGE_S:
            self.peers.ping_for_confirmation(now)

    def _should_request(self, now: float, version: int) -> bool:
        return version > self.ctx.version and now - self._asked_at >= RETRY_INTERVAL_S
