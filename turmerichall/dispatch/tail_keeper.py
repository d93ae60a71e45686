"""Keeps the tails of one worker's lasting tasks below their targets."""

import math
from typing import Protocol

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import pacing
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.dispatch import service_load
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes

__all__ = ["Owner", "TailKeeper"]

# A pace that differs by less is not told.
PACE_STEP_PERCENT = 8
# After a pace was told, seconds, in which tails still show the one before.
SETTLE_SECONDS = 1.0
# Tails come in whole milliseconds: the deviation of that rounding.
ROUNDING_MS = 0.29
# A load as low as this says little of what neighbours add.
LEAST_LEVEL = 0.1
# A tail this many times its target tells how long calls have piled up, so it is
# a lower bound of the slowdown.
PILED_RATIO = 1.5
# A tail is unexplained if the load that it implies is this much, as a factor
# and besides, above that of others of its step.
UNEXPLAINED_FACTOR = 1.2
UNEXPLAINED_BESIDE = 0.08


class Owner(Protocol):
    """What it needs of the leader; `leadership.Leadership`."""

    token: int
    sensitivity: sensitivities.Sensitivity
    loads: service_load.Loads

    def fenced(self, worker: roster.Worker) -> None:
        """Stops the leader's work: a newer term gives orders."""


class TailKeeper:
    """Learns from the tails of one worker, and sets paces by them.

    Attributes:
        owner: The leader.
        worker: The worker.
    """

    def __init__(self, owner: Owner, worker: roster.Worker):
        self.owner = owner
        self.worker = worker
        self._paced_at = -math.inf
        # Lasting tasks over their target.
        self._over_since: dict[changes.TaskName, float] = {}
        self._services: list[pacing.Service] = []

    async def adjust(self) -> None:
        """Learns from the tails of lasting runs, and paces filling ones."""
        worker, loads = self.worker, self.owner.loads
        cpu = max(worker.record.cpu, 1)
        now = leases.steady_seconds()
        fillers = [
            run
            for run in worker.runs.values()
            if run.step.fills and run.confirmed_at
        ]
        shares: dict[str, float] = {}
        for run in fillers:
            share = run.load / cpu
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        services: list[pacing.Service] = []
        for run in worker.runs.values():
            if run.step.lasting and run.step.target_ms and run.load > 0:
                services.append(self._read_tail(run, shares, now))
        self._services = services
        for task in [
            task for task in self._over_since if task not in worker.runs
        ]:
            del self._over_since[task]
        worker.lasting_load = sum(
            run.step.cpu * loads.outlook(run.task, now).soon
            for run in worker.runs.values()
            if run.step.lasting
        )
        await self.pace()

    async def pace(self) -> None:
        """Sets paces by the last tails, also of runs that have just begun."""
        worker = self.worker
        cpu = max(worker.record.cpu, 1)
        running = [
            run
            for run in worker.runs.values()
            if run.step.fills
            and run.phase == roster.Phase.RUNNING
            and not run.stopping
        ]
        if not running:
            return
        paces = pacing.percents(
            [
                pacing.Filling(
                    run.step.image, run.step.cpu / cpu, run.pace_percent
                )
                for run in running
            ],
            self._services,
            pacing.UNCROWDED - (worker.lasting_load + worker.cpu_working) / cpu,
            self.owner.sensitivity.weight,
            self.owner.sensitivity.cautious,
        )
        for run, percent in zip(running, paces):
            unknown = run.pace_percent == roster.UNKNOWN_PERCENT
            if (
                unknown
                or percent in (0, 100)
                or abs(percent - run.pace_percent) >= PACE_STEP_PERCENT
            ):
                await self._set_pace(run, percent)

    def _read_tail(
        self, run: roster.Run, shares: dict[str, float], now: float
    ) -> pacing.Service:
        """Learns from the tail of one lasting run.

        Args:
            run: The run.
            shares: Share of the processors that each filling image uses.
            now: Steady seconds.
        """
        sensitivity, loads = self.owner.sensitivity, self.owner.loads
        image, target_ms = run.step.image, run.step.target_ms
        idle_ms = loads.idle_ms(image, run.load)
        busy = service_load.busy_share(run.load, idle_ms)
        slowed = sum(
            sensitivity.weight(image, filling) * share
            for filling, share in shares.items()
        )
        level = loads.level(now, run.task, self.worker.record.id)
        is_settled = now - self._paced_at > SETTLE_SECONDS
        at_work = run.progress_percent >= 100
        if level is not None and level > LEAST_LEVEL and at_work:
            rounding = idle_ms / run.load**2 * ROUNDING_MS / level
            noise = math.hypot(sensitivities.NOISE, 1.4 * rounding)
            slowdown = busy / level - 1
            is_piled = run.load > PILED_RATIO * target_ms
            if is_settled and (slowdown > slowed or not is_piled):
                sensitivity.learn(image, shares, slowdown, noise)
        if at_work:
            loads.note(run.task, self.worker.record.id, busy, slowed, now)
        outlook = loads.outlook(run.task, now)
        self.worker.neighbours[run.task[:3]] = roster.Neighbour(
            image, idle_ms / target_ms, outlook
        )
        soon = outlook.soon
        is_unexplained = (
            level is not None
            and busy
            > UNEXPLAINED_FACTOR * level * (1 + slowed) + UNEXPLAINED_BESIDE
        )
        return pacing.Service(
            image,
            idle_ms / target_ms,
            max(soon, busy / (1 + slowed)) if is_unexplained else soon,
            self._over_seconds(run, now),
            is_unexplained,
        )

    def _over_seconds(self, run: roster.Run, now: float) -> float:
        """Returns for how long a tail has been over its target."""
        if run.load < run.step.target_ms:
            self._over_since.pop(run.task, None)
            return 0.0
        since = self._over_since.setdefault(run.task, now)
        return max(now - since, 0.001)

    async def _set_pace(self, run: roster.Run, percent: int) -> None:
        """Tells a run its pace, if that differs."""
        if run.pace_percent == percent:
            return
        result = await self.worker.client.pace(
            run.order(), percent, self.owner.token
        )
        if result.verdict == worker_client.Verdict.DONE:
            run.pace_percent = percent
            self._paced_at = leases.steady_seconds()
        elif result.verdict == worker_client.Verdict.FENCED:
            self.owner.fenced(self.worker)
