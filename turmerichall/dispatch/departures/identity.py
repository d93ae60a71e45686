"""Decision which life of a worker has sent a heartbeat.

Answers heartbeats without a start time from workers that report one: they were
taken for those of another life, which ended the live one's runs.

A worker may start again under its id; only the time of its start tells its
lives apart.  A heartbeat without it names no life where one is known.  A life
that was registered without a start time may be the one that reports it later.
"""

from collections.abc import Iterable
import enum

from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes

__all__ = ["Sender", "confirms", "identify", "may_have_sent", "was_known"]


class Sender(enum.Enum):
    """The life of a worker that a heartbeat comes from."""

    KNOWN = "known"
    # Another one than the known life.
    OTHER = "other"
    # Perhaps the known one, which has not told its start time before.
    UNCERTAIN = "uncertain"
    # The heartbeat does not tell.
    UNNAMED = "unnamed"


def identify(
    record: changes.WorkerRecord, known: changes.WorkerRecord
) -> Sender:
    """Return which life of a worker has sent a heartbeat.

    Args:
        record: The worker according to its heartbeat.
        known: A live worker.

    Examples:
        >>> known = changes.WorkerRecord("i-7f#5", "", "10.0.0.1:80", "desk",
        ...     "", "", (), 1, 1, 0, "i-7f", 5)
        >>> late = known._replace(id="i-7f", kept_name="", born_ms=0)
        >>> identify(late, known)
        <Sender.UNNAMED: 'unnamed'>
        >>> identify(known, late)
        <Sender.UNCERTAIN: 'uncertain'>
    """
    if record.id == known.id:
        return Sender.KNOWN
    if record.name != known.name:
        return Sender.OTHER
    if not record.born_ms:
        return Sender.UNNAMED
    return Sender.OTHER if known.born_ms else Sender.UNCERTAIN


def may_have_sent(
    record: changes.WorkerRecord, known: changes.WorkerRecord, runs: int
) -> bool:
    """Return whether a heartbeat must not replace a known life by another.

    An uncertain life is replaced once nothing runs in it.

    Args:
        record: The worker according to its heartbeat.
        known: A live worker.
        runs: Number of runs of the live worker whose end is not known.
    """
    sender = identify(record, known)
    if sender == Sender.UNCERTAIN:
        return runs > 0
    return sender != Sender.OTHER


def confirms(
    status: worker_client.WorkerStatus | worker_client.PollFailure,
    record: changes.WorkerRecord,
) -> bool:
    """Return whether the answer to a poll is that of a life of a worker.

    An answer without a start time may be that of any life.

    Args:
        status: The answer, or why there is none.
        record: The life that was polled.
    """
    if isinstance(status, worker_client.PollFailure):
        return False
    return record.born_ms in (0, status.born_ms)


def was_known(name: str, gone: Iterable[str]) -> bool:
    """Return whether a life of a worker was removed.

    Args:
        name: Name of the worker.
        gone: Ids of removed workers.

    Examples:
        >>> was_known("i-7f", ["i-7e#5", "i-7f#5"])
        True
    """
    return any(changes.is_incarnation_of(worker_id, name) for worker_id in gone)
