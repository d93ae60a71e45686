"""Unexpected exceptions of the handlers of messages."""

import traceback

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import link
from turmerichall.supervision import failure as failures

__all__ = ["is_fatal", "report"]

# An exception may hold the message that led to it.
MAX_TRACEBACK_CHARS = 8000


def is_fatal(error: Exception) -> bool:
    """Return whether an exception of a handler has to end the process.

    A failed assertion tells that a state is not what the program relies on.

    Args:
        error: The exception, which may be a group.

    Examples:
        >>> is_fatal(AssertionError()), is_fatal(ValueError())
        (True, False)
        >>> is_fatal(ExceptionGroup("", [KeyError(), AssertionError()]))
        True
    """
    return any(
        isinstance(each, (AssertionError, errors.StorageError))
        for each in failures.leaves(error)
    )


def report(
    error: Exception,
    kind: str,
    peer: str,
    log: link.Log | None,
    counters: link.Counters,
) -> outcomes.Refusal:
    """Log and count an exception, and return the refusal for the caller.

    Args:
        error: The exception.
        kind: Kind of the message.
        peer: Name of the sender.
        log: Where to log.
        counters: Where to count.

    Returns:
        A refusal with the reason `timeout`, because the handler may have had an
        effect; other reasons promise that there was none.
    """
    counters.unknown("peers", outcomes.UnknownReason.HANDLER_FAILED)
    if log is not None:
        log.error(
            "handler of a message failed",
            kind=kind,
            peer=peer,
            traceback="".join(traceback.format_exception(error))[
                -MAX_TRACEBACK_CHARS:
            ],
        )
    return outcomes.Refusal(
        outcomes.RefusalReason.TIMEOUT,
        f"the handler of {kind} failed: {type(error).__name__}: {error}",
    )
