"""Keeps the tails of one worker's lasting tasks below their targets."""

from typing import Protocol

from turmerichall.dispatch import pacing
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.dispatch import worker_port

__all__ = ["Owner", "TailKeeper"]

# A pace that differs by less is not told.
PACE_STEP_PERCENT = 8


class Owner(Protocol):
    """What it needs of the leader; `tenure.Tenure`."""

    token: int
    sensitivity: sensitivities.Sensitivity

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

    async def adjust(self) -> None:
        """Learns from the tails of lasting runs, and paces filling ones."""
        worker, sensitivity = self.worker, self.owner.sensitivity
        cpu = max(worker.record.cpu, 1)
        fillers = [
            run
            for run in worker.runs.values()
            if run.step.fills and run.confirmed_at
        ]
        shares: dict[str, float] = {}
        for run in fillers:
            share = run.load / cpu
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        tails = []
        for run in worker.runs.values():
            step = run.step
            at_work = run.progress_percent >= 100 and run.load > 0
            if not step.lasting or not step.target_ms or not at_work:
                continue
            tail = pacing.Tail(step.image, run.load / step.target_ms)
            tails.append(tail)
            sensitivity.learn(step.image, shares, tail.ratio)
            added = sum(
                sensitivity.weight(step.image, image) * share
                for image, share in shares.items()
            )
            worker.note_tail(step.image, max(tail.ratio - added, 0.0))
        running = [
            run
            for run in fillers
            if run.phase == roster.Phase.RUNNING and not run.stopping
        ]
        paces = pacing.percents(
            [
                pacing.Filling(
                    run.step.image,
                    run.step.cpu / cpu,
                    max(run.pace_percent, 0),
                )
                for run in running
            ],
            tails,
            sensitivity.weight,
        )
        for run, percent in zip(running, paces):
            unknown = run.pace_percent == roster.UNKNOWN_PERCENT
            if (
                unknown
                or percent in (0, 100)
                or abs(percent - run.pace_percent) >= PACE_STEP_PERCENT
            ):
                await self._set_pace(run, percent)

    async def _set_pace(self, run: roster.Run, percent: int) -> None:
        """Tells a run its pace, if that differs."""
        if run.pace_percent == percent:
            return
        result = await self.worker.port.pace(
            run.order(), percent, self.owner.token
        )
        if result.verdict == worker_port.Verdict.DONE:
            run.pace_percent = percent
        elif result.verdict == worker_port.Verdict.FENCED:
            self.owner.fenced(self.worker)
