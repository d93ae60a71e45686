"""Attribution of a worker's crash to the tasks that ran on it.

Answers a load in which a few tasks crash each worker that starts them.  Every
crash also ends the other runs on the worker, so such a task has to be found
after few crashes, and the tasks beside it must not be taken for it.

A crash charges every task that was certainly at work, and had begun lately.
These, and those that may have been at work, start on trial from then on:
nothing else is started beside them until they have run for `TRIAL_SECONDS`.  If
a worker crashes during a trial, the task on trial is the cause.  It is given up
once it is charged with two crashes.  Crashes during which a task may have been
at work, or not, are doubtful; they count only if there are many.

A long-running task is on a worker at any time, and must be restarted however it
ends, so crashes count against it only as the cause of a crash during a trial.

Workers lost at the same moment, as in a loss of power, are no evidence against
single tasks: these are charged, but are neither given up nor put on trial
before a second crash.
"""

from collections.abc import Sequence
from typing import NamedTuple

from turmerichall.queues import change as changes

__all__ = [
    "CLEAR_SECONDS",
    "SERIAL_TRIAL_CRASHES",
    "SAME_MOMENT_SECONDS",
    "TRIAL_SECONDS",
    "Attribution",
    "Suspect",
    "attribute",
]

# Time for which nothing else is started beside a task that was charged with a
# crash before.
TRIAL_SECONDS = 0.5
# A task that has run for this time is not charged with a crash, and earlier
# crashes no longer count.
CLEAR_SECONDS = 10.0
# Workers lost within this time of each other may have a common cause.
SAME_MOMENT_SECONDS = 0.1
# Number of other workers lost at the same moment from which the crash of one
# has a cause outside its tasks.
COMMON_CAUSE_WORKERS = 2
# Crashes after which a task is given up if the latest was during a trial.
MIN_CRASHES = 2
# Crashes after which a task is given up if no other task on the worker was
# charged with as many.
MAX_CRASHES_ALONE = 3
# Crashes after which a task is given up in any case.
MAX_CRASHES = 4
# Crashes, doubtful ones included, after which a task is given up in any case.
MAX_DOUBTFUL_CRASHES = 5
# Crashes, doubtful ones included, after which a task starts on trial, and
# the tasks of a job one after the other.
SERIAL_TRIAL_CRASHES = 2


class Suspect(NamedTuple):
    """A run that may have been at work when its worker crashed.

    Attributes:
        task: The task.
        crashes: Earlier crashes with which the task was charged.
        doubtful: Earlier crashes during which it may have been at work, or not.
        seconds: Time for which it had run; 0 if the start was not confirmed.
        certain: Whether it was certainly at work when the worker crashed.
        likely: Whether the connection broke just after the start was sent.
        on_trial: Whether nothing else was started beside it lately.
        lasting: Whether it is long-running.
    """

    task: changes.TaskName
    crashes: int
    doubtful: int
    seconds: float
    certain: bool = True
    likely: bool = False
    on_trial: bool = False
    lasting: bool = False


class Attribution(NamedTuple):
    """The tasks charged with a crash.

    Attributes:
        charged: Tasks charged with the crash.
        given_up: Ids of the jobs of tasks that crash their workers.
        on_trial: Tasks that start on trial from now on.
        doubtful: Tasks that may have been at work, or not.
    """

    charged: tuple[changes.TaskName, ...]
    given_up: tuple[str, ...] = ()
    on_trial: tuple[changes.TaskName, ...] = ()
    doubtful: tuple[changes.TaskName, ...] = ()


def attribute(
    suspects: Sequence[Suspect], lost_together: int = 0
) -> Attribution:
    """Return which tasks are charged with a crash, and which are given up.

    Args:
        suspects: Runs of the worker.
        lost_together: Number of other workers lost at the same moment.

    Examples:
        >>> cause = Suspect(changes.TaskName("a", 0, 0, 0), 0, 0, 0.0)
        >>> beside = Suspect(changes.TaskName("b", 0, 0, 3), 0, 0, 1.2)
        >>> attribute([cause, beside]).given_up
        ()
        >>> again = cause._replace(crashes=1, on_trial=True)
        >>> attribute([again, beside]).given_up
        ('a',)
        >>> attribute([again, beside], lost_together=4).given_up
        ()
    """
    recent = [each for each in suspects if each.seconds < CLEAR_SECONDS]
    if not recent:
        return Attribution(())
    has_common_cause = lost_together >= COMMON_CAUSE_WORKERS
    cause = _cause(recent)
    if cause and not has_common_cause:
        # The other tasks are cleared of this crash.
        tasks = tuple(each.task for each in cause)
        is_given_up = any(_is_given_up(each) for each in cause)
        job = cause[0].task.job
        return Attribution(tasks, (job,) if is_given_up else (), tasks)
    certain = [each for each in recent if each.certain]
    most = max((each.crashes for each in certain), default=0) + 1
    accused = {each.task.job for each in certain if each.crashes + 1 == most}
    ending = [each for each in recent if not each.lasting]
    given_up = {each.task.job for each in ending if _has_many_crashes(each)}
    if most >= MAX_CRASHES or (
        most >= MAX_CRASHES_ALONE and len(accused) == 1 and not has_common_cause
    ):
        given_up |= {
            each.task.job
            for each in certain
            if each.crashes + 1 == most and not each.lasting
        }
    return Attribution(
        tuple(each.task for each in certain),
        tuple(sorted(given_up)),
        tuple(
            each.task
            for each in recent
            if not has_common_cause
            or each.crashes + each.doubtful + 1 >= SERIAL_TRIAL_CRASHES
        ),
        tuple(each.task for each in recent if not each.certain),
    )


def _is_given_up(cause: Suspect) -> bool:
    """Return whether a task that caused a crash is given up."""
    # A start without an answer may have been sent after the crash, for which
    # no long-running job may fail.
    is_sure = cause.certain or not cause.lasting
    needed = MIN_CRASHES if is_sure else MIN_CRASHES + 1
    return cause.crashes + 1 >= needed or _has_many_crashes(cause)


def _has_many_crashes(suspect: Suspect) -> bool:
    """Return whether a task is given up, however doubtful its crashes are."""
    return suspect.crashes + suspect.doubtful + 1 >= MAX_DOUBTFUL_CRASHES


def _cause(recent: Sequence[Suspect]) -> list[Suspect]:
    """Return the tasks on trial that the worker's crash is put down to.

    These are tasks of one job, and no task of another started after them.
    """
    fresh = [each for each in recent if each.seconds <= TRIAL_SECONDS]
    newest_seconds = min((each.seconds for each in fresh), default=0.0)
    newest = {each.task.job for each in fresh if each.seconds == newest_seconds}
    if len(newest) != 1:
        return []
    return [
        each
        for each in fresh
        if each.on_trial
        and (each.certain or each.likely)
        and each.task.job in newest
    ]
