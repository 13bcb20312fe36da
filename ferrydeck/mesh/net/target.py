"""Requests and health checks to the target of this box.

Translates effects of the core into HTTP requests and answers into events, with the
header fields of `platform.headers`.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from ferrydeck.mesh import effects, events
from ferrydeck.mesh.net import target_client
from ferrydeck.net import poller, request_client
from ferrydeck.platform import headers

HEALTH_CHECK_TIMEOUT_S = 1.0
"""Timeout of a health check, seconds."""


class Target:
    """Sends requests and health checks to the target; feeds answers to the core."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        address: str,
        feed: Callable[[events.Event], None],
    ) -> None:
        self.address = address
        self.feed = feed
        self._health_tickets = itertools.count(-1, -1)
        """Tickets of health checks; those of requests are positive."""
        self.client = target_client.TargetClient(
            poller=poller, address=address, listener=self._answered
        )

    def dispatch(self, effect: effects.Dispatch) -> None:
        """Send a request to the target."""
        request_id = effect.request_id
        self.client.request(
            effect.dispatch,
            request_id=request_id,
            method=effect.method,
            path=effect.path,
            fields=headers.target_fields(effect),
            body=effect.body,
            is_answer=lambda fields: headers.matches_request(request_id, fields),
            left_s=effect.left_s,
        )

    def check_health(self, path: str) -> None:
        """Send a health check; `ProbeAnswered` follows."""
        self.client.request(
            next(self._health_tickets),
            request_id="",
            method="GET",
            path=path,
            fields=[(headers.HOST, self.address)],
            body=b"",
            is_answer=lambda fields: headers.matches_request("", fields),
            left_s=HEALTH_CHECK_TIMEOUT_S,
        )

    def _answered(self, event: target_client.Event) -> None:
        if event.ticket < 0:
            self._health_checked(event)
            return
        match event:
            case target_client.AnswerHead():
                self.feed(
                    events.TargetAnswered(
                        dispatch=event.ticket,
                        status=event.status,
                        fields=headers.caller_fields(event.fields),
                        body=event.body,
                        more=event.more,
                        total=event.total,
                        facts=headers.read_answer(event.status, event.fields),
                        conn=event.conn,
                        ended_by_close=event.ended_by_close,
                    )
                )
            case target_client.AnswerPart():
                self.feed(
                    events.TargetAnswerPart(
                        dispatch=event.ticket,
                        data=event.data,
                        last=event.last,
                        ended_by_close=event.ended_by_close,
                    )
                )
            case request_client.RequestFailed():
                self.feed(
                    events.TargetFailed(
                        dispatch=event.ticket,
                        sent=event.sent,
                        refused=event.refused,
                        detail=event.detail,
                    )
                )

    def _health_checked(self, event: target_client.Event) -> None:
        if not isinstance(event, target_client.AnswerHead):
            refused = isinstance(event, request_client.RequestFailed) and event.refused
            self.feed(
                events.ProbeAnswered(
                    healthy=False,
                    target_id="",
                    slots=0,
                    refused=refused,
                    answered=False,
                )
            )
            return
        if event.more:
            # Nothing of a long body is of use here.
            self.client.cancel(event.ticket)
        facts = headers.read_answer(event.status, event.fields)
        self.feed(
            events.ProbeAnswered(
                healthy=event.status == 200,
                target_id=facts.target_id,
                slots=facts.load.slots if facts.load else 0,
                leaving=facts.leaving,
            )
        )
