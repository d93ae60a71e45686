"""Client of a worker whose failures count as calls without an answer.

It answers a worker whose answers, or whose address, make the client raise:
only this worker is out of use then.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from turmerichall import errors
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes
from turmerichall.supervision import pause as pauses
from turmerichall.supervision import reporter as reporters

__all__ = ["SupervisedClient", "supervise"]

FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 5.0

_T = TypeVar("_T")


class SupervisedClient:
    """Implementation of `worker_client.WorkerClient` around another one.

    Attributes:
        client: The other client.
        worker: The incarnation of the worker.
    """

    def __init__(
        self,
        client: worker_client.WorkerClient,
        worker: changes.WorkerRecord,
        reporter: reporters.FailureReporter,
    ):
        self.client = client
        self.worker = worker
        self._reporter = reporter
        self._pause = pauses.GrowingPause(
            FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS
        )

    async def _call(self, call: Awaitable[_T], failed: _T) -> _T:
        """Wait for a call; return `failed` if it raises."""
        try:
            return await call
        except errors.StorageError:
            raise
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._reporter.report(
                "session with a worker",
                error,
                worker=self.worker.id,
                address=self.worker.address[:100],
            )
            return failed

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        return await self._call(
            self.client.start(order, token, deadline_ms), _UNANSWERED
        )

    async def stop(
        self, order: worker_client.Order, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        return await self._call(self.client.stop(order, token), _UNANSWERED)

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        return await self._call(
            self.client.pace(order, percent, token), _UNANSWERED
        )

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`; returns after a growing pause if it fails."""
        status = await self._call(
            self.client.poll(token, acknowledged, deadline_ms, wait_ms), None
        )
        if status is None:
            await trio.sleep(self._pause.next_seconds())
            return worker_client.PollFailure(worker_client.Verdict.UNANSWERED)
        self._pause.reset()
        return status

    def close(self) -> None:
        """See `WorkerClient`."""
        self.client.close()


_UNANSWERED = worker_client.OrderResult(
    worker_client.Verdict.UNANSWERED, may_be_pending=True
)


def supervise(
    make_client: worker_client.MakeClient, reporter: reporters.FailureReporter
) -> Callable[[changes.WorkerRecord], SupervisedClient]:
    """Return a maker of supervised clients."""

    def make(record: changes.WorkerRecord) -> SupervisedClient:
        return SupervisedClient(make_client(record), record, reporter)

    return make
