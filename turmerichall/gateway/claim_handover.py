"""Keeps a keeper's memory at another instance across a planned restart.

A keeper that stops as planned ceases to grant, then gives its memory to one
other instance.  The next run asks every other instance for it before it
grants anything.  A memory is kept for `KEPT_SECONDS`; a run that could not
ask all of them waits for that long, so that no memory is taken back after a
later run has granted claims.
"""

from typing import NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.gateway import claims as claiming
from turmerichall.gateway import claim_store as keepers
from turmerichall.gateway import peer_calls
from turmerichall.leases import lease

__all__ = ["Custody", "KEPT_SECONDS"]

KEPT_SECONDS = 8.0
CALL_SECONDS = 1.0
ASK_SECONDS = 2.0
RETRY_SECONDS = 0.1
CLAIMS_PER_PART = 5_000

KEEP = "gateway.keep"
TAKE = "gateway.take"

STOPPING = "this keeper is stopping"
ASKING = "this keeper asks for what it knew before its restart"


class Part(NamedTuple):
    """A part of a keeper's memory.

    Attributes:
        number: Number of the part, from 0.
        parts: How many there are.
        lists: Digests of the lists of entry instances that it went by.
        vouches_from: See `keeper.Keeper`.
        claims: Claims by id.
    """

    number: int
    parts: int
    lists: tuple[int, ...]
    vouches_from: float
    claims: list[tuple[str, keepers.Claimed]]


class Kept(NamedTuple):
    """What is kept for another instance.

    Attributes:
        at: When the first part arrived, trio time.
        parts: The parts so far, encoded.
    """

    at: float
    parts: list[bytes]


class Custody:
    """Gives the memory of this instance's keeper away and takes it back.

    Attributes:
        name: Name of this instance.
        network: Connections to the other instances.
        claims: Claims whose keeper's memory it is.
        kept: Memories of other instances, by name.
    """

    def __init__(
        self, name: str, network: peer_calls.Network, claims: claiming.Claims
    ):
        self.name = name
        self.network = network
        self.claims = claims
        self.kept: dict[str, Kept] = {}
        self.first_vouches_from = claims.keeper.vouches_from
        claims.keeper.abstains = ASKING
        network.handle(KEEP, self._on_keep)
        network.handle(TAKE, self._on_take)

    async def take_back(self) -> None:
        """Asks for the memory of the run before; grants only afterwards."""
        started_at = trio.current_time()
        while not self.claims.members:
            await trio.sleep(RETRY_SECONDS)
        answers: dict[str, list[bytes]] = {}
        async with trio.open_nursery() as nursery:
            for name in self._others():
                nursery.start_soon(self._ask, name, answers)
        found = [parts for parts in answers.values() if parts]
        if len(found) == 1:
            self._restore(found[0])
        elif found or len(answers) < len(self._others()):
            until = started_at + lease.ended_after_seconds(KEPT_SECONDS)
            await trio.sleep_until(until)
        self.claims.keeper.abstains = ""

    async def hand_over(self) -> bool:
        """Ceases to grant and gives the memory to one other instance.

        Returns:
            Whether an instance keeps it.
        """
        self.claims.keeper.abstains = STOPPING
        parts = self._parts()
        for name in self._others():
            if await self._give(name, parts):
                return True
        return False

    async def _give(self, name: str, parts: list[bytes]) -> bool:
        for part in parts:
            answer = await self.network.call(name, KEEP, part, CALL_SECONDS)
            if isinstance(answer, outcomes.Refusal):
                return False
        return True

    def _others(self) -> list[str]:
        zone = self.claims.members.get(self.name, "")
        others = [name for name in self.claims.members if name != self.name]
        # A whole zone may stop at once, so other zones go first.
        return sorted(
            others, key=lambda name: (self.claims.members[name] == zone, name)
        )

    def _parts(self) -> list[bytes]:
        keeper = self.claims.keeper
        known = list(keeper.claims.items())
        count = max(1, -(-len(known) // CLAIMS_PER_PART))
        return [
            msgspec.msgpack.encode(
                Part(
                    number,
                    count,
                    self.claims.digests(),
                    keeper.vouches_from,
                    known[number * CLAIMS_PER_PART :][:CLAIMS_PER_PART],
                )
            )
            for number in range(count)
        ]

    async def _ask(self, name: str, answers: dict[str, list[bytes]]) -> None:
        deadline = trio.current_time() + ASK_SECONDS
        while trio.current_time() < deadline:
            parts = await self._ask_once(name)
            if parts is not None:
                answers[name] = parts
                return
            await trio.sleep(RETRY_SECONDS)

    async def _ask_once(self, name: str) -> list[bytes] | None:
        """Returns all parts of the memory, none if there is none."""
        parts: list[bytes] = []
        while True:
            answer = await self.network.call(name, TAKE, b"", CALL_SECONDS)
            if isinstance(answer, outcomes.Refusal):
                # Parts that were taken are lost; the memory is not whole.
                return [] if parts else None
            if not answer:
                return parts
            parts.append(answer)

    def _restore(self, encoded: list[bytes]) -> None:
        parts = [msgspec.msgpack.decode(part, type=Part) for part in encoded]
        numbers = [part.number for part in parts]
        keeper = self.claims.keeper
        if numbers != list(range(parts[0].parts)):
            return
        if keeper.vouches_from != self.first_vouches_from:
            return
        if parts[0].lists != self.claims.digests():
            return
        for part in parts:
            keeper.claims.update(part.claims)
        keeper.vouches_from = parts[0].vouches_from

    async def _on_keep(self, sender: str, body: bytes) -> bytes:
        part = msgspec.msgpack.decode(body, type=Part)
        if part.number == 0:
            self.kept[sender] = Kept(trio.current_time(), [])
        known = self.kept.get(sender)
        if known is not None and len(known.parts) == part.number:
            known.parts.append(body)
        return b"kept"

    async def _on_take(self, sender: str, _: bytes) -> bytes:
        known = self.kept.get(sender)
        if known is None or not known.parts:
            self.kept.pop(sender, None)
            return b""
        if trio.current_time() - known.at > KEPT_SECONDS:
            del self.kept[sender]
            return b""
        return known.parts.pop(0)
