"""Cache of the tickets by which a queue's policy lets workers run a step.

A ticket permits one worker to run the tasks of one step for a limited time.
The policy serves one call at a time, and a call takes longer the more workers
it asks about.  So the most urgent step is queried first, each call asks only
about workers with room, and answers are cached.  A worker that the policy
refuses for a step stays refused; an allowed worker needs a new ticket when its
ticket expires.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import policy_client
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import configuration as configurations
from turmerichall.telemetry import lightweight_metrics

__all__ = ["TicketCache"]

# Maximum number of workers about which one call asks the policy; the call takes
# longer the more workers these are.
MAX_WORKERS_PER_CALL = 30
# A ticket is not used in the last part of its validity, so that the order with
# it reaches the worker in time.
EXPIRY_MARGIN_SECONDS = 0.5
# Timeout of a call to the policy: a constant, plus this factor times the time
# that the call should take, because other calls may be queued before it.
BASE_TIMEOUT_SECONDS = 1.0
TIMEOUT_FACTOR = 3.0
# Time from a call that the policy did not answer to the next call.
RETRY_SECONDS = 0.25


class _Ticket(NamedTuple):
    text: str
    expires_at: float


class _Query(NamedTuple):
    """A call to the policy that is still to be made.

    Attributes:
        rank: Sort key; the query with the lowest rank is made first.
        advice: Time that a call takes, and validity of its tickets.
        workers: Names of the workers to ask about, by id.
    """

    rank: tuple[Any, ...]
    advice: configurations.Advice
    workers: dict[str, str]


class _Step:
    """Cached answers for one step.

    Attributes:
        tickets: Tickets by id of the worker.
        refused: Ids of workers that may not run the step.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.refused: set[str] = set()


class TicketCache:
    """Cache of the tickets of one term.

    Attributes:
        client: Client of the policy; None if no policy is configured.
    """

    def __init__(
        self,
        client: policy_client.PolicyClient | None,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self.client = client
        self._log = log
        self._metrics_registry = metrics_registry
        self._steps: dict[policy_client.StepName, _Step] = {}
        self._queries: dict[policy_client.StepName, _Query] = {}
        self._query_added = trio.Event()
        self._reachable = True

    def valid(
        self, step: policy_client.StepName, now: float
    ) -> Mapping[str, str]:
        """Return the valid tickets of a step, by id of the worker.

        Args:
            step: The step.
            now: Current time on the steady clock.
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
        """Queue a query for tickets for workers on which a step has none.

        Args:
            step: The step.
            rank: Sort key among waiting steps; the lowest goes first.
            advice: Time that a call takes, and validity of its tickets.
            workers: Workers that have room for its tasks, best first.
            now: Current time on the steady clock.
        """
        if self.client is None:
            if self._reachable:
                self._reachable = False
                self._log.error("no policy to ask is configured", step=step)
            return
        known = self._steps.setdefault(step, _Step())
        wanted: dict[str, str] = {}
        for worker in workers:
            worker_id = worker.record.id
            ticket = known.tickets.get(worker_id)
            is_valid = ticket is not None and ticket.expires_at > now
            if worker_id not in known.refused and not is_valid:
                wanted[worker_id] = worker.record.name
            if len(wanted) == MAX_WORKERS_PER_CALL:
                break
        if wanted:
            self._queries[step] = _Query(rank, advice, wanted)
            self._query_added.set()
        else:
            self._queries.pop(step, None)

    def discard(self, step: policy_client.StepName, worker: str) -> None:
        """Discard a ticket that a worker refused; a new one is requested."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(worker, None)

    def forget_step(self, step: policy_client.StepName) -> None:
        """Forget a step that is done."""
        self._steps.pop(step, None)
        self._queries.pop(step, None)

    def forget_job(self, job_id: str) -> None:
        """Forget the steps of a job that has ended."""
        for step in [step for step in self._steps if step[0] == job_id]:
            self.forget_step(step)

    async def run(self, on_answer: Any) -> None:
        """Make the queued queries one at a time, the most urgent first.

        Args:
            on_answer: Called without arguments after each answer.
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
            list(query.workers.values()),
            BASE_TIMEOUT_SECONDS + TIMEOUT_FACTOR * expected_ms / 1000,
        )
        seconds = leases.steady_seconds() - asked_at
        self._metrics_registry.count(
            "advice_calls", answered=str(answer is not None)
        )
        self._metrics_registry.record_latency("advice", seconds)
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
        for worker, name in query.workers.items():
            ticket = answer.get(name)
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
