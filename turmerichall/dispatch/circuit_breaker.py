"""Circuit breakers that keep tasks away from workers whose runs fail.

A faulty worker may fail, refuse or never start every run although it looks
healthy.  Without a breaker it would attract more and more tasks, since it
always has room, and use up their attempts.
"""

import collections
from collections.abc import Hashable

__all__ = ["CircuitBreaker"]

# Number of a worker's latest runs whose outcomes are counted.
WINDOW_RUNS = 6
# Number of failures among these runs at which the breaker opens.
FAILURE_THRESHOLD = 3
# Time for which the breaker stays open; doubles each time that it opens again
# before a run has succeeded, up to the maximum.
OPEN_SECONDS = 1.5
MAX_OPEN_SECONDS = 6.0
# Once the open time is over, a single trial may start: one run, or all runs of
# a gang.  No further run starts on the worker for this time, or until a run of
# the trial ends or all of them are taken back.
TRIAL_SECONDS = 2.0
# Time for which a run of a trial has to go on to prove its worker, where the
# end of the run can't: that of a long-running task, or after refused starts.
PROVEN_SECONDS = 1.0


class CircuitBreaker:
    """The circuit breaker of one worker.

    Attributes:
        outcomes: For each of the latest runs, the cause passed to `record`, and
            whether the run succeeded.
        open_until: Time on the steady clock until which the worker gets no
            tasks.
        tripped: Whether the breaker is open or half-open: it tripped, and no
            run has succeeded since.
        proven: Whether a run has gone on for long enough since it tripped.  It
            admits all tasks, but trips again at the next failure.

    Examples:
        >>> breaker = CircuitBreaker()
        >>> for job in ("a", "a", "b", "c"):
        ...     breaker.record(False, 10.0, job)
        >>> breaker.allows(10.5), breaker.allows(12.0)
        (False, True)
        >>> breaker.record_start(12.0)
        >>> breaker.allows(13.0), breaker.allows(14.1)
        (False, True)
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=WINDOW_RUNS
        )
        self.open_until = 0.0
        self.tripped = False
        self.proven = False
        self._refused = False
        self._trial_until = 0.0
        self._trial: Hashable = None
        self._trial_runs: set[Hashable] = set()
        self._open_seconds = OPEN_SECONDS

    def record(self, succeeded: bool, now: float, cause: str = "") -> None:
        """Record the outcome of a run.

        Args:
            succeeded: Whether the run succeeded.
            now: Current time on the steady clock.
            cause: Name that failures with the same cause share, such as the id
                of the job; they count once, because a job that fails wherever
                it runs says little about a worker.
        """
        self._end_trial()
        if succeeded:
            self.outcomes.append((cause, True))
            if self.tripped:
                self.outcomes.clear()
                self.tripped = self.proven = self._refused = False
                self._open_seconds = OPEN_SECONDS
            return
        if cause and (cause, False) in self.outcomes:
            return
        self.outcomes.append((cause, False))
        failures = sum(not was_success for _, was_success in self.outcomes)
        if self.tripped or failures >= FAILURE_THRESHOLD:
            self._refused = False
            self.trip(now)

    def record_refusal(self, now: float) -> None:
        """Record that the worker refused a start, and did nothing."""
        if not self.tripped:
            self._refused = True
        self.trip(now)

    def trip(self, now: float) -> None:
        """Open the breaker for a while; `now` is on the steady clock."""
        self.proven = False
        if now >= self.open_until:
            self.open_until = now + self._open_seconds
            self._open_seconds = min(2 * self._open_seconds, MAX_OPEN_SECONDS)
        self.tripped = True

    def record_running(self, seconds: float, lasting: bool) -> bool:
        """Record that a run goes on; return whether that proves the worker.

        Args:
            seconds: How long it has been at work.
            lasting: Whether it is long-running, so that its end is no success.
        """
        if not self.tripped or self.proven or seconds < PROVEN_SECONDS:
            return False
        self.proven = lasting or self._refused
        return self.proven

    def allows(self, now: float, trial: Hashable = None) -> bool:
        """Return whether a task may start.

        Args:
            now: Current time on the steady clock.
            trial: What all tasks that start together have in common; None for a
                task that starts by itself.
        """
        if now < self.open_until:
            return False
        if not self.tripped or self.proven or now >= self._trial_until:
            return True
        return trial is not None and trial == self._trial

    def record_start(
        self, now: float, run: Hashable = None, trial: Hashable = None
    ) -> None:
        """Record that a task starts.

        Args:
            now: Current time on the steady clock.
            run: The run, for `take_back`.
            trial: See `allows`.
        """
        if not self.tripped or self.proven:
            return
        if trial is None or trial != self._trial or now >= self._trial_until:
            self._trial_runs.clear()
        self._trial = trial
        self._trial_runs.add(run)
        self._trial_until = now + TRIAL_SECONDS

    def take_back(self, run: Hashable) -> None:
        """Record that a run is gone without an outcome.

        The next trial may start at once when none of this one is left.
        """
        if run in self._trial_runs:
            self._trial_runs.remove(run)
            if not self._trial_runs:
                self._end_trial()

    def _end_trial(self) -> None:
        self._trial_until = 0.0
        self._trial = None
        self._trial_runs.clear()
