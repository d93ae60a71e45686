"""Calls by which a leader sends entries and heartbeats to one member."""

from collections.abc import Awaitable, Callable

import trio

from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.agreement import replica_state

__all__ = ["record_answer", "send"]

# A longer message may be under way for longer than an election timeout.
LONG_MESSAGE_BYTES = 64 * 1024
RETRY_SECONDS = 0.2

Call = Callable[[bytes], Awaitable[bytes | outcomes.Refusal]]


def record_answer(
    progress: replica_state.Progress, sent_at: float, sent_round: int
) -> None:
    """Record that a member answered a message.

    Answers to heartbeats may come before that to a longer message that was sent
    earlier, so neither value goes back.

    Args:
        progress: Progress of the member.
        sent_at: When the message was sent, trio time.
        sent_round: Value of `barrier_round` at that time.
    """
    progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
    progress.acked_round = max(progress.acked_round, sent_round)


async def send(
    state: replica_state.ReplicaState,
    name: str,
    request: message.Append,
    progress: replica_state.Progress,
) -> bytes | outcomes.Refusal:
    """Send a request to a member, and wait for its answer.

    While a long message is under way, the member gets heartbeats besides.
    Otherwise it would take the leader for lost, and the leader would step down
    for want of answers.

    Args:
        state: State of the leader.
        name: Name of the member.
        request: The request.
        progress: Progress of the member.

    Returns:
        The member's answer, or a refusal.

    Raises:
        StorageError: The journal failed.
    """

    async def call(body: bytes) -> bytes | outcomes.Refusal:
        return await state.network.call(
            name, "append", body, state.timing.call_seconds
        )

    body = message.encode(request)
    if len(body) < LONG_MESSAGE_BYTES:
        return await call(body)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_heartbeats, state, call, request, progress)
        answer = await call(body)
        nursery.cancel_scope.cancel()
    return answer


async def _send_heartbeats(
    state: replica_state.ReplicaState,
    call: Call,
    request: message.Append,
    progress: replica_state.Progress,
) -> None:
    """Send heartbeats and barriers until cancelled, beside a long request."""
    sent_at, sent_round = trio.current_time(), state.barrier_round

    def is_barrier_unsent() -> bool:
        return state.barrier_round > sent_round

    while True:
        due = sent_at + state.timing.heartbeat_seconds
        await state.send_needed.wait_for(is_barrier_unsent, due)
        sent_at, sent_round = trio.current_time(), state.barrier_round
        heartbeat = request._replace(
            entries=(),
            commit=state.commit,
            quorum_age_seconds=state.seconds_since_quorum(),
            applied=state.applied,
            digest=state.digest,
        )
        answer = await call(message.encode(heartbeat))
        if isinstance(answer, outcomes.Refusal):
            await trio.sleep(RETRY_SECONDS)
            continue
        reply = message.decode(answer, message.AppendReply)
        state.observe_term(reply.term)
        if reply.term >= request.term:
            record_answer(progress, sent_at, sent_round)
            state.acknowledged.notify_all()
