"""Discovery of the leader, and forwarding of calls to it."""

from collections.abc import Iterable
import secrets

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.entry import attempts as attempt_records
from turmerichall.entry import calls
from turmerichall.http1 import message
from turmerichall.peers import link
from turmerichall.peers import network as networks

__all__ = ["LeaderClient"]

# Delay until the replicas are polled for the leader again: after a poll that
# found one, and after a poll that found none.
POLL_SECONDS = 1.0
POLL_RETRY_SECONDS = 0.1
POLL_TIMEOUT_SECONDS = 0.6
# Timeout of one attempt to call a replica, after which another one is tried,
# since that may be the leader by then.
ATTEMPT_TIMEOUT_SECONDS = 1.2
RETRY_DELAY_SECONDS = 0.05
# Delay after an answer that does not tell the outcome of the call.
UNRESOLVED_RETRY_DELAY_SECONDS = 0.25
# How long a call is retried while no leader is found and no replica can have
# processed the call.
LEADER_WAIT_SECONDS = 1.2
RETRY_AFTER_SECONDS = 1
# This instance is not ready if no leader has answered a poll for this long.
MAX_LEADER_AGE_SECONDS = 2.5


class LeaderClient:
    """Client that finds the leader of the replicas and forwards calls to it.

    Attributes:
        network: Connections to the replicas, with their addresses as names.
        seeds: Configured addresses of replicas; the leader names the others.
        leader: Last answer of a leader to a poll; has no address before the
            first one.
        leader_seen_at: When the poll that led to `leader` was sent, trio time;
            -inf before the first answer of a leader.
        log: Where to log.
    """

    def __init__(
        self, network: networks.Network, seeds: Iterable[str], log: link.Log
    ):
        self.network = network
        self.seeds = tuple(seeds)
        self.leader = leader_apis.Leader("", False)
        self.leader_seen_at = -float("inf")
        self.log = log
        self._leader_hint = ""
        # Term of the leader at `_leader_hint`; 0 if unknown.
        self._leader_term = 0
        self._call_prefix = f"{secrets.token_hex(8)}-"
        self._calls = 0
        self._leader_lost = False

    def ready(self) -> bool:
        """Return whether a leader with a configuration answered recently.

        It must have answered a poll that was sent less than
        `MAX_LEADER_AGE_SECONDS` ago.
        """
        age = trio.current_time() - self.leader_seen_at
        return age < MAX_LEADER_AGE_SECONDS and self.leader.configured

    def _replicas(self) -> list[str]:
        """Return addresses of replicas, the likeliest leader first."""
        candidates = dict.fromkeys(
            (self._leader_hint, *self.leader.replicas, *self.seeds)
        )
        return [address for address in candidates if address]

    def _update_connections(self) -> None:
        """Connect to the known replicas, and disconnect from others."""
        addresses = {address: address for address in self._replicas()}
        if addresses != self.network.addresses:
            self.network.set_addresses(addresses)

    async def run(self) -> None:
        """Poll the replicas for the leader until cancelled."""
        while True:
            self._update_connections()
            found = False
            for address in self._replicas():
                if await self._poll(address):
                    found = True
                    break
            leader_lost = (
                trio.current_time() - self.leader_seen_at
                > MAX_LEADER_AGE_SECONDS
            )
            if leader_lost != self._leader_lost:
                self._leader_lost = leader_lost
                text = (
                    "no leader in reach" if leader_lost else "leader in reach"
                )
                self.log.info(text, leader=self._leader_hint)
            await trio.sleep(POLL_SECONDS if found else POLL_RETRY_SECONDS)

    async def _poll(self, address: str) -> bool:
        """Ask a replica for the leader; return whether it is the leader."""
        sent_at = trio.current_time()
        reply = await self.network.call(
            address, calls.LEADER_QUERY, b"", POLL_TIMEOUT_SECONDS
        )
        if isinstance(reply, outcomes.Refusal):
            return False
        try:
            reported = calls.decode_leader(reply)
        except msgspec.DecodeError as error:
            self.log.warning(
                "malformed answer to a query for the leader",
                peer=address,
                reason=str(error),
            )
            return False
        if reported.serving:
            if self._leader_hint != address:
                self._leader_hint, self._leader_term = address, 0
            self.leader = reported
            self.leader_seen_at = sent_at
            return True
        if reported.address and reported.address != self._leader_hint:
            self._leader_hint, self._leader_term = reported.address, 0
        return False

    async def forward(
        self, kind: str, request: message.Request, caller_timeout_seconds: float
    ) -> message.Response:
        """Forward a call to the leader, retrying while the caller waits.

        Args:
            kind: Kind of message.
            request: The call; must be idempotent, since a leader may process it
                more than once.
            caller_timeout_seconds: How long the caller waits.

        Returns:
            The leader's response; 413 if the call is too large to be sent; 503
            if no replica can have processed the
            call; 504 if one may have and the outcome is not known, also if a
            later attempt was refused (see `attempts.is_conclusive`).
        """
        began_at = trio.current_time()
        attempts: list[attempt_records.Attempt] = []
        response = await self._try_replicas(
            kind, request, caller_timeout_seconds, attempts
        )
        self._log_attempts(request, response, attempts, began_at)
        return response

    def _log_attempts(
        self,
        request: message.Request,
        response: message.Response,
        attempts: list[attempt_records.Attempt],
        began_at: float,
    ) -> None:
        """Log a call that was not served, or took several attempts."""
        if response.status < 429 and len(attempts) < 2:
            return
        now = trio.current_time()
        served = response.status < 429
        self.log.info(
            "call took several attempts" if served else "call not served",
            method=request.method,
            target=request.target,
            status=response.status,
            seconds=round(now - began_at, 2),
            attempts=attempt_records.describe(attempts),
            leader=self.leader.address,
            heard_seconds_ago=round(now - self.leader_seen_at, 2),
        )

    async def _try_replicas(
        self,
        kind: str,
        request: message.Request,
        caller_timeout_seconds: float,
        attempts: list[attempt_records.Attempt],
    ) -> message.Response:
        """Do the work of `forward`, and append each attempt to a list."""
        self._calls += 1
        call_id = f"{self._call_prefix}{self._calls}"
        began_at = trio.current_time()
        deadline = began_at + caller_timeout_seconds
        index = 0
        # Leaders that replicas named, each with its term.
        named: set[tuple[str, int]] = set()
        while (sent_at := trio.current_time()) < deadline:
            replicas = self._replicas()
            address = replicas[index % len(replicas)] if replicas else ""
            term = self._leader_term
            reply = await self.network.call(
                address,
                kind,
                calls.encode(calls.for_attempt(request, call_id, term)),
                min(ATTEMPT_TIMEOUT_SECONDS, deadline - sent_at),
            )
            now = trio.current_time()
            made = attempt_records.Attempt(
                address, sent_at - began_at, now - sent_at, addressed_term=term
            )
            index += 1
            delay_seconds = RETRY_DELAY_SECONDS
            if isinstance(reply, outcomes.Refusal):
                attempts.append(made._replace(result=reply.reason.value))
                is_too_large = reply.reason == outcomes.RefusalReason.TOO_LARGE
                if is_too_large and not any(
                    each.may_have_effect for each in attempts
                ):
                    return message.Response(413)
            else:
                answer = calls.decode_answer(reply)
                made = made._replace(term=answer.term)
                if answer.kind == calls.Kind.ANSWERED:
                    if answer.term:
                        self._leader_hint = address
                        self._leader_term = answer.term
                    is_outcome = attempt_records.is_outcome(
                        request.method, answer.status, answer.term, attempts
                    )
                    attempts.append(made._replace(result=str(answer.status)))
                    if is_outcome:
                        return answer.response()
                    delay_seconds = UNRESOLVED_RETRY_DELAY_SECONDS
                    index = 0
                else:
                    attempts.append(
                        made._replace(result=attempt_records.NOT_LEADING)
                    )
                    self._learn_leader(answer)
                    leader = (answer.leader, answer.term)
                    if answer.leader and leader not in named:
                        named.add(leader)
                        index = 0
            give_up_at = deadline
            if not any(each.may_have_effect for each in attempts):
                give_up_at = min(deadline, began_at + LEADER_WAIT_SECONDS)
            if now + delay_seconds >= give_up_at:
                break
            await trio.sleep(delay_seconds)
        # A caller without time left may have sent the call before, which this
        # instance has not asked about.
        is_asked = bool(attempts) or request.method in calls.SAFE_METHODS
        if not is_asked or any(each.may_have_effect for each in attempts):
            return message.Response(504)
        headers = {"retry-after": str(RETRY_AFTER_SECONDS)}
        return message.Response(503, b"", headers)

    def _learn_leader(self, answer: calls.Answer) -> None:
        """Take the leader from the answer of a replica that does not lead."""
        if answer.leader:
            self._leader_hint = answer.leader
            self._leader_term = answer.term
            self._update_connections()
