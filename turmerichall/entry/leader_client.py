"""Passes calls to the leader, and finds out who that is."""

from collections.abc import Iterable

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.entry import calls
from turmerichall.http1 import message
from turmerichall.peers import link
from turmerichall.peers import network as networks

__all__ = ["LeaderClient"]

# Between two questions who leads.
ASK_SECONDS = 1.0
ASK_AGAIN_SECONDS = 0.1
ASK_TIMEOUT_SECONDS = 0.6
# Of one try, after which another replica may lead.
TRY_SECONDS = 1.2
RETRY_SECONDS = 0.05
# How long a call that was not passed on waits for a leader.
PATIENCE_SECONDS = 1.2
RETRY_AFTER_SECONDS = 1
# Without news of a leader for longer, this instance is not ready.
NEWS_SECONDS = 2.5


class LeaderClient:
    """The way of one instance to the leader.

    Attributes:
        network: Connections to replicas.
        seeds: Addresses of replicas to begin with.
        known: What the last leader told.
        heard_at: When that was, trio time.
    """

    def __init__(
        self, network: networks.Network, seeds: Iterable[str], log: link.Log
    ):
        self.network = network
        self.seeds = tuple(seeds)
        self.known = leader_apis.Leader("", False)
        self.heard_at = -float("inf")
        self._log = log
        self._hint = ""
        self._lost = False

    def ready(self) -> bool:
        """Tells whether a configured leader was heard lately."""
        age = trio.current_time() - self.heard_at
        return age < NEWS_SECONDS and self.known.configured

    def _replicas(self) -> list[str]:
        """Returns addresses to try, the likeliest leader first."""
        known = dict.fromkeys((self._hint, *self.known.replicas, *self.seeds))
        return [address for address in known if address]

    def _connect(self) -> None:
        """Keeps connections to the replicas that are known."""
        wanted = {address: address for address in self._replicas()}
        if wanted != self.network.addresses:
            self.network.set_addresses(wanted)

    async def run(self) -> None:
        """Keeps asking who leads."""
        while True:
            self._connect()
            found = False
            for address in self._replicas():
                if await self._ask(address):
                    found = True
                    break
            lost = trio.current_time() - self.heard_at > NEWS_SECONDS
            if lost != self._lost:
                self._lost = lost
                what = "no leader in reach" if lost else "leader in reach"
                self._log.info(what, leader=self._hint)
            await trio.sleep(ASK_SECONDS if found else ASK_AGAIN_SECONDS)

    async def _ask(self, address: str) -> bool:
        asked_at = trio.current_time()
        reply = await self.network.call(
            address, calls.LEADER_QUERY, b"", ASK_TIMEOUT_SECONDS
        )
        if isinstance(reply, outcomes.Refusal):
            return False
        try:
            told = calls.decode_leader(reply)
        except msgspec.DecodeError as error:
            self._log.warning(
                "answer that can't be read", peer=address, reason=str(error)
            )
            return False
        if told.serving:
            self._hint = address
            self.known = told
            self.heard_at = asked_at
            return True
        if told.address:
            self._hint = told.address
        return False

    async def pass_on(
        self, kind: str, request: message.Request, seconds: float
    ) -> message.Response:
        """Has the leader answer a call, which it may do more than once.

        Args:
            kind: Kind of the message.
            request: The call; doing it twice has the effect of once.
            seconds: How long the caller waits.

        Returns:
            The leader's answer; 503 if no replica was given the call, 504 if
            one was and did not answer.
        """
        body = calls.encode(request)
        began_at = trio.current_time()
        deadline = began_at + seconds
        sent = False
        turn = 0
        while True:
            replicas = self._replicas()
            address = replicas[turn % len(replicas)] if replicas else ""
            left = deadline - trio.current_time()
            limit = max(0.0, min(TRY_SECONDS, left))
            reply = await self.network.call(address, kind, body, limit)
            if not isinstance(reply, outcomes.Refusal):
                answer = calls.decode_answer(reply)
                if answer.kind == calls.Kind.ANSWERED:
                    return answer.response()
                turn += 1
                if answer.leader and answer.leader != address:
                    self._hint = answer.leader
                    self._connect()
                    turn = 0
            else:
                turn += 1
                sent = sent or reply.reason != (
                    outcomes.RefusalReason.UNREACHABLE
                )
            now = trio.current_time()
            patience = deadline if sent else began_at + PATIENCE_SECONDS
            if left <= 0 or now + RETRY_SECONDS >= min(deadline, patience):
                break
            await trio.sleep(RETRY_SECONDS)
        if sent:
            return message.Response(504)
        headers = {"retry-after": str(RETRY_AFTER_SECONDS)}
        return message.Response(503, b"", headers)
