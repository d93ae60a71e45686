"""Check that a change can be stored, before it is appended to the log.

What is appended must be encoded, sent to the other replicas, applied and read
back by each of them; a change that fails at one of these stops all replicas.
"""

import msgspec

from turmerichall import errors
from turmerichall.queues import change as changes

__all__ = ["MAX_CHANGE_BYTES", "TOO_LARGE", "encode"]

# Bound on an encoded change: a configuration of the largest accepted body, with
# its decoded form, takes less.
MAX_CHANGE_BYTES = 12 * 1024 * 1024
TOO_LARGE = "is too large"


def encode(change: changes.Change) -> bytes | errors.Finding:
    """Encode a change for the log, if the log can hold it.

    Returns:
        The encoded change, which decodes to an equal one; or a finding that
        says why there is none.

    Examples:
        >>> changes.decode(encode(changes.CancelJob("a7")))
        CancelJob(job='a7')
        >>> encode(changes.ResizeWorker("w", changes.Capacity(2**64, 1, 0)))
        Finding(place='ResizeWorker', reason='has a value that can not be read')
    """
    place = type(change).__name__
    try:
        data = changes.encode(change)
        if len(data) > MAX_CHANGE_BYTES:
            return errors.Finding(place, TOO_LARGE)
        # A value of another type than declared is encoded without an error.
        changes.decode(data)
    except (
        OverflowError,
        TypeError,
        UnicodeError,
        RecursionError,
        msgspec.MsgspecError,
    ):
        return errors.Finding(place, "has a value that can not be read")
    return data
