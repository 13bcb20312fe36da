"""Who is sent what when the policy changes.

A new policy comes from the store (`registry`) or from another daemon, which sends it on
request: each message that states a version shows who has a newer one. Once in force
here, three follow: the parts of this daemon that depend on it, its driver, and the
daemons linked here, which see the version in the target state and ask in their turn.

Owns which policy is in force; relies on the links to carry requests and replies.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages, policy
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import incoming_links, peer_table, peers
from ferrydeck.mesh.outbound import traffic_split
from ferrydeck.mesh.teams import policy_freshness, quota_exchange

MIN_POLICY_REQUEST_INTERVAL_S = 0.2
"""Pause between two requests for the same newer policy, seconds."""
MAX_CONFIRMATION_AGE_S = 1.05
"""Age of the confirmation that the policy is the newest from which other daemons are
asked for a younger one, seconds: by then the first of the data centre has asked the
store. Twelve idle daemons made 60 calls of the store in ten seconds with what they
receive in pings of idle links, and make 36 at the most by asking."""


@attrs.define(kw_only=True)
class PolicyDistribution:
    """Keeps the newest policy in force here, and passes it on."""

    ctx: context.Context
    peers: peer_table.PeerTable
    incoming_links: incoming_links.IncomingLinks
    inbound: inbound.Inbound
    splits: traffic_split.TrafficSplits
    policy_freshness: policy_freshness.PolicyFreshness
    quota_exchange: quota_exchange.QuotaExchange
    _requested_at: float = -1e9

    def apply(self, now: float, new: policy.Policy, source: str) -> None:
        """Put a policy in force, unless it is older than the one that is."""
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
            effects.UseCallerLimits(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                head_s=limits.head_s,
                idle_s=limits.idle_s,
            )
        )
        self.broadcast_state(now)
        self.inbound.target.probe(now)

    def broadcast_state(self, now: float) -> None:
        """Send the target state, and with it the version, to all linked daemons."""
        self.incoming_links.broadcast(self.inbound.state(now))

    def request_newer_policy(self, now: float, peer: peers.Peer, version: int) -> None:
        """Ask a daemon that was dialled from here for its policy if it is newer."""
        if self._should_request(now, version):
            self._requested_at = now
            self.peers.send(now, peer, messages.PolicyRequest())

    def request_newer_policy_back(self, now: float, link: int, version: int) -> None:
        """Ask a daemon that dialled here for its policy if it is newer."""
        if self._should_request(now, version):
            self._requested_at = now
            self.incoming_links.send(link, messages.PolicyRequest())

    def policy_reply(self) -> messages.PolicyReply | None:
        """Return the policy in force for a daemon that asked; `None` for none."""
        held = self.ctx.policy
        if held is None:
            return None
        return messages.PolicyReply(version=held.version, raw=held.raw)

    def policy_received(self, raw: bytes, source: str) -> None:
        """Have a policy read that another daemon sent."""
        self.ctx.emit(effects.ReadPolicy(raw=raw, source=source))

    def make_pong(self, now: float, ping: messages.Ping) -> messages.Pong:
        """Return the answer to a ping, with the confirmation's age if it is young."""
        held, load = self.ctx.version, self.inbound.load(now)
        age_s = self.policy_freshness.age_s(now)
        revoke_s = self.policy_freshness.revocation_timeout_s
        if revoke_s is None or age_s >= revoke_s:
            return messages.Pong(version=held, load=load)
        return messages.ConfirmedPong(
            version=held, load=load, asked_s=ping.sent_s, confirmation_age_s=age_s
        )

    def pong_received(self, pong: messages.Pong) -> None:
        """Take the confirmation that a pong may state."""
        if isinstance(pong, messages.ConfirmedPong):
            at = pong.asked_s - pong.confirmation_age_s
            self.policy_freshness.add_confirmation(self.ctx.version, pong.version, at)

    def refresh_confirmation(self, now: float) -> None:
        """Ping other daemons if they may have a younger confirmation."""
        held = self.ctx.policy
        if (
            held is None
            or not held.teams
            or self.policy_freshness.revocation_timeout_s is None
        ):
            return
        if self.policy_freshness.age_s(now) > MAX_CONFIRMATION_AGE_S:
            self.peers.ping_for_confirmation(now)

    def _should_request(self, now: float, version: int) -> bool:
        return (
            version > self.ctx.version
            and now - self._requested_at >= MIN_POLICY_REQUEST_INTERVAL_S
        )
