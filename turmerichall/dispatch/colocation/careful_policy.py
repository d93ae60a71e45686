"""Careful colocation: the decisions of this package, with counts and logs."""

from collections.abc import Sequence
import functools
import math

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import pacing
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation import first_pace
from turmerichall.dispatch.colocation import move_limits
from turmerichall.dispatch.colocation import pace_orders
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

__all__ = ["CarefulPolicy", "make_policy"]

# Time between two log lines on the same unknown pair.
LOG_INTERVAL_SECONDS = 5.0
# Maximum rise of a pace per order; two orders lead from a stop to the full
# pace.  Without hysteresis, it rises by 30 percent at each poll of 0.4 s.
MAX_RISE_PERCENT = 60


def make_policy(
    scheduling: queue_settings.Scheduling,
    interference_model: interference_models.InterferenceModel,
    metrics_registry: lightweight_metrics.MetricsRegistry,
    log: link.Log,
) -> "CarefulPolicy | None":
    """Return the policy that the settings ask for; None for the plain one."""
    if scheduling.colocation != "careful":
        return None
    return CarefulPolicy(interference_model, metrics_registry, log)


class CarefulPolicy:
    """Policy for best-effort tasks beside long-running ones in one term.

    What is known about pairs is in the interference model.  The policy itself
    keeps the time of first encounters and the number of moves, which a new
    leader counts from zero.
    """

    def __init__(
        self,
        interference_model: interference_models.InterferenceModel,
        metrics_registry: lightweight_metrics.MetricsRegistry,
        log: link.Log,
    ):
        self._model = interference_model
        self._metrics_registry = metrics_registry
        self._log = log
        # Time of the first encounter of each unknown pair, and of the latest
        # log line on it.
        self._met_at: dict[tuple[str, str], float] = {}
        self._logged_at: dict[tuple[str, str], float] = {}
        # Number of moves of each throttled task, and runs that may not move.
        self._moves: dict[changes.TaskName, int] = {}
        self._refused: set[tuple[changes.TaskName, int]] = set()

    def first_paces(
        self,
        worker: worker_state.Worker,
        runs: Sequence[run_state.Run],
        now: float,
    ) -> list[int]:
        """Return the highest pace of each run by what is known, in percent.

        Args:
            worker: The worker.
            runs: Its best-effort runs.
            now: Current time on the steady clock.
        """
        model = self._model
        limits = [100] * len(runs)
        for neighbour in worker.neighbours.values():
            long_running = neighbour.image
            if not any(
                model.is_unknown(long_running, run.step.image) for run in runs
            ):
                continue
            tasks = [
                first_pace.NewTask(
                    run.step.image,
                    run.step.cpu / max(worker.capacity.cpu, 1),
                    now
                    - self._met_at.setdefault(
                        (long_running, run.step.image), now
                    ),
                )
                for run in runs
            ]
            found = first_pace.pace_limits(
                tasks,
                functools.partial(model.pair, long_running),
                pacing.tolerable_slowdown(
                    neighbour.idle_tail, neighbour.forecast.soon
                ),
            )
            limits = [min(pace) for pace in zip(limits, found)]
            for task, limit in zip(tasks, found):
                if model.is_unknown(long_running, task.image):
                    self._log_unknown(long_running, task.image, limit, now)
        return limits

    def _log_unknown(
        self,
        long_running: str,
        image: str,
        limit: int,
        now: float,
    ) -> None:
        """Log what is decided about an unknown pair, and count new pairs."""
        pair = (long_running, image)
        logged_at = self._logged_at.get(pair)
        if logged_at is None:
            self._metrics_registry.count("first_encounters")
        elif now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[pair] = now
        self._log.info(
            "pair of images not observed enough",
            lasting=long_running,
            filling=image,
            strength=round(self._model.strength(*pair), 3),
            assumed=round(
                first_pace.assumed_weight(self._model.pair(*pair)), 2
            ),
            pace_percent=limit,
        )

    def next_order(
        self, run: run_state.Run, tolerable_percent: int, now: float
    ) -> pace_orders.PaceOrder | None:
        """Return the order of a pace to send, or None to leave the pace.

        Args:
            run: A best-effort run.
            tolerable_percent: Highest pace at which tail latencies stay below
                their targets.
            now: Current time on the steady clock.
        """
        declared = run.step.estimate_ms / 1000 or math.inf
        since_order = now - run.pace_told_at if run.pace_told_at else math.inf
        return pace_orders.next_order(
            pace_orders.PacedRun(
                run.pace_percent,
                run.step.cpu / 1000,
                since_order,
                declared * (100 - min(run.progress_percent, 99)) / 100,
            ),
            tolerable_percent,
        )

    def may_move(
        self,
        run: run_state.Run,
        throttled_seconds: float,
        typical_seconds: float,
    ) -> bool:
        """Return whether a throttled run is moved to another worker.

        Args:
            run: The run, which saves checkpoints.
            throttled_seconds: Time for which it has been throttled.
            typical_seconds: Time that its whole work takes at full pace.
        """
        moves = self._moves.get(run.task, 0)
        pace = run.pace_percent
        # A resumed run starts from its checkpoint.
        since_checkpoint = run.progress_percent - max(
            run.checkpoint_percent, run.initial_percent
        )
        reason = move_limits.reason_to_stay(
            move_limits.ThrottledRun(
                moves,
                throttled_seconds,
                100 if pace == run_state.UNKNOWN_PACE else pace,
                typical_seconds * (100 - run.progress_percent) / 100,
                typical_seconds * max(since_checkpoint, 0) / 100,
            )
        )
        if not reason:
            self._moves[run.task] = moves + 1
        elif (run.task, run.number) not in self._refused:
            self._refused.add((run.task, run.number))
            self._metrics_registry.count(
                "moves_refused", reason=reason.replace(" ", "_")
            )
        return not reason

    def forget_job(self, job_id: str) -> None:
        """Forget the tasks of a job that has ended."""
        for task in [task for task in self._moves if task.job == job_id]:
            del self._moves[task]
        self._refused = {row for row in self._refused if row[0].job != job_id}
