"""Tickets of queues whose policy lets only some workers run a step.

Answers a policy that takes its calls one at a time, each longer the more
workers it names: the most urgent step is asked for first, each call names only
workers that have room, and what was answered is not asked again.  Workers that
a policy refuses stay refused; those it allows need a new ticket when theirs
runs out.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import policy_client
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import configuration as configurations
from turmerichall.telemetry import tally as tallies

__all__ = ["TicketCache"]

# Workers named in one call; the time of a call grows with them.
MAX_WORKERS_PER_CALL = 30
# Before a ticket runs out, for the order to arrive at the worker, seconds.
EXPIRY_MARGIN_SECONDS = 0.5
# For a call beyond the time that the policy itself takes, seconds, with others
# before it in its queue.
BASE_TIMEOUT_SECONDS = 1.0
TIMEOUT_FACTOR = 3.0
# Between two tries while the policy does not answer.
RETRY_SECONDS = 0.25


class _Ticket(NamedTuple):
    text: str
    expires_at: float


class _Query(NamedTuple):
    """A call to be made.

    Attributes:
        rank: Which wish is met first.
        advice: What the call costs.
        workers: Ids of the workers to name.
    """

    rank: tuple[Any, ...]
    advice: configurations.Advice
    workers: tuple[str, ...]


class _Step:
    """What is known of one step.

    Attributes:
        tickets: Tickets by worker.
        refused: Workers that may not run it.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.refused: set[str] = set()


class TicketCache:
    """Tickets of one term.

    Attributes:
        port: The policy; None if there is none to ask.
    """

    def __init__(
        self,
        client: policy_client.PolicyClient | None,
        log: link.Log,
        tally: tallies.Tally,
    ):
        self.client = client
        self._log = log
        self._tally = tally
        self._steps: dict[policy_client.StepName, _Step] = {}
        self._queries: dict[policy_client.StepName, _Query] = {}
        self._query_added = trio.Event()
        self._reachable = True

    def valid(
        self, step: policy_client.StepName, now: float
    ) -> Mapping[str, str]:
        """Returns the tickets of a step that can be used now, by worker.

        Args:
            step: The step.
            now: Steady seconds.
        """
        known = self._steps.get(step)
        if known is None:
            return {}
        return {
            worker: ticket.text
            for worker, ticket in known.tickets.items()
            if ticket.expires_at > now
        }

    def request(
        self,
        step: policy_client.StepName,
        rank: tuple[Any, ...],
        advice: configurations.Advice,
        workers: Iterable[worker_state.Worker],
        now: float,
    ) -> None:
        """Asks for more tickets of a step, as soon as its turn comes.

        Args:
            step: The step.
            rank: Its place among the steps that wait; the lowest goes first.
            advice: What a call costs.
            workers: Workers that could run its tasks, the best first.
            now: Steady seconds.
        """
        if self.client is None:
            if self._reachable:
                self._reachable = False
                self._log.error("no policy to ask is configured", step=step)
            return
        known = self._steps.setdefault(step, _Step())
        wanted = []
        for worker in workers:
            worker_id = worker.record.id
            ticket = known.tickets.get(worker_id)
            is_valid = ticket is not None and ticket.expires_at > now
            if worker_id not in known.refused and not is_valid:
                wanted.append(worker_id)
            if len(wanted) == MAX_WORKERS_PER_CALL:
                break
        if wanted:
            self._queries[step] = _Query(rank, advice, tuple(wanted))
            self._query_added.set()
        else:
            self._queries.pop(step, None)

    def discard(self, step: policy_client.StepName, worker: str) -> None:
        """Notes that a worker did not take a ticket; it is asked for anew."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(worker, None)

    def forget_step(self, step: policy_client.StepName) -> None:
        """Forgets a step that is done."""
        self._steps.pop(step, None)
        self._queries.pop(step, None)

    def forget_job(self, job_id: str) -> None:
        """Forgets the steps of a job that has ended."""
        for step in [step for step in self._steps if step[0] == job_id]:
            self.forget_step(step)

    async def run(self, on_answer: Any) -> None:
        """Makes the calls, one at a time, the most urgent first.

        Args:
            changed: Called without arguments after each answer.
        """
        while True:
            await self._query_added.wait()
            if not self._queries:
                self._query_added = trio.Event()
                continue
            step = min(self._queries, key=lambda name: self._queries[name].rank)
            if await self._ask(step, self._queries.pop(step)):
                on_answer()
            else:
                await trio.sleep(RETRY_SECONDS)

    async def _ask(self, step: policy_client.StepName, query: _Query) -> bool:
        assert self.client is not None
        advice = query.advice
        expected_ms = advice.decision_ms + advice.per_worker_ms * len(
            query.workers
        )
        asked_at = leases.steady_seconds()
        answer = await self.client.ask(
            step,
            query.workers,
            BASE_TIMEOUT_SECONDS + TIMEOUT_FACTOR * expected_ms / 1000,
        )
        seconds = leases.steady_seconds() - asked_at
        self._tally.count("advice_calls", answered=str(answer is not None))
        self._tally.seconds("advice", seconds)
        self._log_reachability(answer is not None)
        if answer is None:
            return False
        self._log.info(
            "policy answered",
            job=step[0],
            occurrence=step[1],
            step=step[2],
            asked=len(query.workers),
            allowed=len(answer),
            seconds=round(seconds, 3),
        )
        known = self._steps.get(step)
        if known is None:
            return True
        expires_at = (
            asked_at + advice.validity_ms / 1000 - EXPIRY_MARGIN_SECONDS
        )
        for worker in query.workers:
            ticket = answer.get(worker)
            if ticket is None:
                known.refused.add(worker)
            else:
                known.tickets[worker] = _Ticket(ticket, expires_at)
        return True

    def _log_reachability(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            message = (
                "policy in reach" if reachable else "policy does not answer"
            )
            self._log.info(message)
