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
from turmerichall.dispatch import roster
from turmerichall.peers import link
from turmerichall.queues import configuration as configurations
from turmerichall.telemetry import tally as tallies

__all__ = ["Tickets"]

# Workers named in one call; the time of a call grows with them.
ASK_WORKERS = 30
# Before a ticket runs out, for the order to arrive at the worker, seconds.
MARGIN_SECONDS = 0.5
# For a call beyond the time that the policy itself takes, seconds, with others
# before it in its queue.
PATIENCE_SECONDS = 1.0
PATIENCE_FACTOR = 3.0
# Between two tries while the policy does not answer.
RETRY_SECONDS = 0.25


class _Ticket(NamedTuple):
    text: str
    until: float


class _Wish(NamedTuple):
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


class Tickets:
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
        self._wishes: dict[policy_client.StepName, _Wish] = {}
        self._wished = trio.Event()
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
            if ticket.until > now
        }

    def wish(
        self,
        step: policy_client.StepName,
        rank: tuple[Any, ...],
        advice: configurations.Advice,
        workers: Iterable[roster.Worker],
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
            is_valid = ticket is not None and ticket.until > now
            if worker_id not in known.refused and not is_valid:
                wanted.append(worker_id)
            if len(wanted) == ASK_WORKERS:
                break
        if wanted:
            self._wishes[step] = _Wish(rank, advice, tuple(wanted))
            self._wished.set()
        else:
            self._wishes.pop(step, None)

    def refused(self, step: policy_client.StepName, worker: str) -> None:
        """Notes that a worker did not take a ticket; it is asked for anew."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(worker, None)

    def forget_step(self, step: policy_client.StepName) -> None:
        """Forgets a step that is done."""
        self._steps.pop(step, None)
        self._wishes.pop(step, None)

    def forget_job(self, job_id: str) -> None:
        """Forgets the steps of a job that has ended."""
        for step in [step for step in self._steps if step[0] == job_id]:
            self.forget_step(step)

    async def run(self, changed: Any) -> None:
        """Makes the calls, one at a time, the most urgent first.

        Args:
            changed: Called without arguments after each answer.
        """
        while True:
            await self._wished.wait()
            if not self._wishes:
                self._wished = trio.Event()
                continue
            step = min(self._wishes, key=lambda name: self._wishes[name].rank)
            if await self._ask(step, self._wishes.pop(step)):
                changed()
            else:
                await trio.sleep(RETRY_SECONDS)

    async def _ask(self, step: policy_client.StepName, wish: _Wish) -> bool:
        assert self.client is not None
        advice = wish.advice
        usual = advice.decision_ms + advice.per_worker_ms * len(wish.workers)
        asked_at = leases.steady_seconds()
        answer = await self.client.ask(
            step,
            wish.workers,
            PATIENCE_SECONDS + PATIENCE_FACTOR * usual / 1000,
        )
        seconds = leases.steady_seconds() - asked_at
        self._tally.count("advice_calls", answered=str(answer is not None))
        self._tally.seconds("advice", seconds)
        self._note_reach(answer is not None)
        if answer is None:
            return False
        self._log.info(
            "policy answered",
            job=step[0],
            occurrence=step[1],
            step=step[2],
            asked=len(wish.workers),
            allowed=len(answer),
            seconds=round(seconds, 3),
        )
        known = self._steps.get(step)
        if known is None:
            return True
        until = asked_at + advice.validity_ms / 1000 - MARGIN_SECONDS
        for worker in wish.workers:
            ticket = answer.get(worker)
            if ticket is None:
                known.refused.add(worker)
            else:
                known.tickets[worker] = _Ticket(ticket, until)
        return True

    def _note_reach(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            what = "policy in reach" if reachable else "policy does not answer"
            self._log.info(what)
