"""HTTP client of one worker: sends orders and decodes the responses."""

import re
from typing import Annotated, Any

import msgspec

from turmerichall.dispatch import worker_client
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import lenient_json
from turmerichall.queues import change as changes

__all__ = ["HttpWorkerClient", "task_from_wire", "task_to_wire"]

POLL_PATH = "/v1/hold"
ORDER_TIMEOUT_SECONDS = 0.35
# Timeout of a poll beyond the time that it allows the worker to wait before it
# responds.
POLL_MARGIN_SECONDS = 0.5
# Bound on a checkpoint: a change holds the ends of thousands of runs.  A longer
# one is not stored, so the next run starts from an earlier one.
MAX_CHECKPOINT_CHARS = 1024
# Maximum number of ended runs in one response of a worker.  The worker lists an
# ended run again in each response until the scheduler acknowledges it.
MAX_ENDED_RUNS = 500

_ENDINGS = {
    "done": changes.Ending.DONE,
    "failed": changes.Ending.FAILED,
    "stopped": changes.Ending.STOPPED,
    "lapsed": changes.Ending.LOST,
    "broken": changes.Ending.BROKEN,
    "alone": changes.Ending.ALONE,
}
# Verdicts on an order that a worker rejects with status 409, by the field
# `reason` of its response.
_VERDICTS_BY_REASON = {
    "fence": worker_client.Verdict.FENCED,
    "old": worker_client.Verdict.OUTDATED,
    "late": worker_client.Verdict.LATE,
    "room": worker_client.Verdict.NO_ROOM,
    "ticket": worker_client.Verdict.NO_TICKET,
}
_VERDICTS_BY_STATUS = {
    400: worker_client.Verdict.MALFORMED,
    421: worker_client.Verdict.REPLACED,
    429: worker_client.Verdict.UNWELL,
    503: worker_client.Verdict.UNWELL,
}

_ENCODER = msgspec.json.Encoder()

_TasksByName = dict[str, changes.TaskName]


# Numbers in the canonical form, short enough for the log.
_TASK_NAME = re.compile(
    r"([^.]{1,256})\.(0|[1-9][0-9]{0,14})"
    r"\.(0|[1-9][0-9]{0,8})\.(0|[1-9][0-9]{0,8})"
)

_Number = Annotated[int, msgspec.Meta(ge=0, le=lenient_json.MAX_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=lenient_json.MAX_NUMBER)]
_Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
_Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_CHARS)]


class _Poll(msgspec.Struct):
    """Answer to a poll that has exactly the published form."""

    clock_ms: _Number
    running: list[tuple[str, _Count, _Checkpoint, _Percent, _Number]] = []
    ended_runs: list[tuple[_Count, str, _Count, str, _Checkpoint]] = []
    born: _Number = 0


_POLL_DECODER = msgspec.json.Decoder(_Poll)


def task_to_wire(task: changes.TaskName) -> str:
    """Format the name of a task for HTTP, as job.occurrence.step.number.

    Examples:
        >>> task_to_wire(changes.TaskName("5c0e", 0, 1, 17))
        '5c0e.0.1.17'
    """
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def task_from_wire(name: object) -> changes.TaskName | None:
    """Parse the name of a task; return None if it is malformed.

    Examples:
        >>> task_from_wire("5c0e.0.1.17").number
        17
        >>> task_from_wire("5c0e") is None
        True
    """
    found = _TASK_NAME.fullmatch(name) if isinstance(name, str) else None
    if found is None:
        return None
    job, occurrence, step, number = found.groups()
    return changes.TaskName(job, int(occurrence), int(step), int(number))


class HttpWorkerClient:
    """Implementation of `dispatch.worker_client.WorkerClient` over HTTP.

    Every request names the worker in the header `expect-instance`; another
    worker at the same address responds with 421.  A later incarnation of the
    same worker is told by `born`, which only the response to a poll contains,
    and carries out whatever it receives.  A connection ends with the
    incarnation, so each new one begins with a poll that changes nothing, and
    carries orders only if the answer is that of the expected incarnation.

    Attributes:
        client: HTTP client for the address of the worker.
        born_ms: Time of the incarnation's start; 0 if unknown.
    """

    def __init__(self, worker: changes.WorkerRecord):
        self.client = http_client.Client(worker.address)
        self.born_ms = worker.born_ms
        self._known_tasks: _TasksByName = {}
        self._openings: dict[int, http_client.Opening] = {}
        self._headers = {
            "expect-instance": worker.name,
            "content-type": message.JSON,
        }

    async def _order(
        self, path: str, body: dict[str, Any]
    ) -> worker_client.OrderResult:
        answer = await self.client.call(
            "POST",
            path,
            _ENCODER.encode(body),
            self._headers,
            ORDER_TIMEOUT_SECONDS,
            self._opening(body["fencing_token"]),
        )
        return _order_result(answer)

    def _opening(self, token: int) -> http_client.Opening | None:
        """Return the first call on a new connection; None if not needed."""
        if not self.born_ms:
            return None
        opening = self._openings.get(token)
        if opening is None:
            body = {"fencing_token": token, "acked_through": 0}
            opening = http_client.Opening(
                "POST", POLL_PATH, _ENCODER.encode(body), self._is_expected
            )
            # A client serves one term.
            self._openings = {token: opening}
        return opening

    def _is_expected(self, answer: message.Response) -> bool:
        """Return whether a poll was answered by the expected incarnation."""
        if answer.status != 200:
            return False
        document = lenient_json.decode_object(answer.body) or {}
        born_ms = lenient_json.bounded(document.get("born")) or 0
        return born_ms in (0, self.born_ms)

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        body: dict[str, Any] = {
            "task": task_to_wire(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": deadline_ms,
            "fencing_token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("/v1/run-start", body)

    async def stop(
        self, order: worker_client.Order, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        body = {
            "task": task_to_wire(order.task),
            "run": order.run,
            "fencing_token": token,
        }
        return await self._order("/v1/run-stop", body)

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        body = {
            "task": task_to_wire(order.task),
            "run": order.run,
            "percent": percent,
            "fencing_token": token,
        }
        return await self._order("/v1/pace", body)

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        body: dict[str, Any] = {
            "fencing_token": token,
            "acked_through": acknowledged,
        }
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        # A poll that changes nothing checks the incarnation itself.
        changes_nothing = not acknowledged and deadline_ms is None
        answer = await self.client.call(
            "POST",
            POLL_PATH,
            _ENCODER.encode(body),
            self._headers,
            POLL_MARGIN_SECONDS + wait_ms / 1000,
            None if changes_nothing else self._opening(token),
        )
        status = self._decode_poll(answer)
        if isinstance(status, worker_client.PollFailure) and self.born_ms:
            # The connection may lead to another incarnation, and would carry
            # orders to it.
            self.client.close()
        return status

    def _decode_poll(
        self, answer: message.Response | http_client.CallFailure
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        if isinstance(answer, http_client.CallFailure) or answer.status != 200:
            return worker_client.PollFailure(_order_result(answer).verdict)
        status = _worker_status(answer.body, self._known_tasks)
        if status is None:
            return worker_client.PollFailure(worker_client.Verdict.UNANSWERED)
        if self.born_ms and status.born_ms not in (0, self.born_ms):
            return worker_client.PollFailure(worker_client.Verdict.REPLACED)
        return status

    def close(self) -> None:
        """See `WorkerClient`."""
        self.client.close()


def _order_result(
    answer: message.Response | http_client.CallFailure,
) -> worker_client.OrderResult:
    verdict = worker_client.Verdict
    if isinstance(answer, http_client.CallFailure):
        if answer.rejected is not None:
            return _rejection(answer.rejected, answer.possibly_sent)
        return worker_client.OrderResult(
            verdict.UNANSWERED if answer.possibly_sent else verdict.UNSENT
        )
    body = lenient_json.decode_object(answer.body) or {}
    clock_ms = lenient_json.bounded(body.get("clock_ms"))
    if answer.status == 200:
        return worker_client.OrderResult(verdict.DONE, clock_ms, answer.resent)
    if answer.status == 409:
        reason = lenient_json.text(body.get("reason"))
        refusal = _VERDICTS_BY_REASON.get(reason, verdict.UNANSWERED)
        return worker_client.OrderResult(refusal, clock_ms, answer.resent)
    failure = _VERDICTS_BY_STATUS.get(answer.status, verdict.UNANSWERED)
    return worker_client.OrderResult(failure, clock_ms, answer.resent)


def _rejection(
    opening: message.Response, possibly_sent: bool
) -> worker_client.OrderResult:
    """Return the result of a call for which no connection could be used.

    Args:
        opening: Answer to the first call on the connection.
        possibly_sent: Whether the call was sent on another connection before.
    """
    if opening.status == 200:
        return worker_client.OrderResult(worker_client.Verdict.REPLACED)
    result = _order_result(opening)
    return result._replace(may_be_pending=possibly_sent)


def _worker_status(
    body: bytes, known_tasks: _TasksByName
) -> worker_client.WorkerStatus | None:
    """Decode the answer to a poll; return None if it can't be used.

    Args:
        body: Body of the answer.
        known_tasks: Tasks that the previous answer listed, by name; replaced by
            those of this one.
    """
    try:
        poll = _POLL_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _lenient_status(body)
    tasks = {}
    running = []
    for name, run, checkpoint, percent, load in poll.running:
        task = known_tasks.get(name) or task_from_wire(name)
        if task is not None:
            tasks[name] = task
        running.append(
            worker_client.RunningTask(
                task, name, run, checkpoint, percent, load
            )
        )
    known_tasks.clear()
    known_tasks.update(tasks)
    ends = [_run_end(list(row)) for row in poll.ended_runs]
    return worker_client.WorkerStatus(
        poll.clock_ms,
        running,
        [end for end in ends if end is not None],
        len(poll.ended_runs) < MAX_ENDED_RUNS,
        poll.born,
    )


def _lenient_status(body: bytes) -> worker_client.WorkerStatus | None:
    """Decode an answer in which rows or fields have an unexpected form."""
    document = lenient_json.decode_object(body) or {}
    running = document.get("running", [])
    ended = document.get("ended_runs", [])
    if not (isinstance(running, list) and isinstance(ended, list)):
        return None
    clock_ms = lenient_json.bounded(document.get("clock_ms"))
    if clock_ms is None or clock_ms != document["clock_ms"]:
        return None
    ends = [_run_end(row) for row in ended]
    return worker_client.WorkerStatus(
        clock_ms,
        [
            _running(row)
            for row in running
            if isinstance(row, list) and len(row) >= 2
        ],
        [end for end in ends if end is not None],
        len(ended) < MAX_ENDED_RUNS,
        lenient_json.bounded(document.get("born")) or 0,
    )


def _running(row: list[Any]) -> worker_client.RunningTask:
    padded = row + ["", 0, 0][len(row) - 2 :]
    return worker_client.RunningTask(
        task_from_wire(row[0]),
        lenient_json.text(row[0]),
        lenient_json.bounded(row[1], 1) or worker_client.UNKNOWN_RUN,
        _checkpoint(padded[2]),
        lenient_json.bounded(padded[3], most=100) or 0,
        # For a long-running task, its tail latency in ms; for any other, its
        # processor use in thousandths of a core.
        lenient_json.bounded(padded[4]) or 0,
    )


def _checkpoint(value: object) -> str:
    checkpoint = lenient_json.text(value)
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_CHARS else ""


def _run_end(row: object) -> worker_client.RunEnd | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    sequence = lenient_json.bounded(row[0], 1)
    if sequence is None:
        return None
    task = task_from_wire(row[1])
    run = lenient_json.bounded(row[2], 1)
    ending = _ENDINGS.get(lenient_json.text(row[3]))
    if task is None or run is None or ending is None:
        return worker_client.RunEnd(sequence, None)
    checkpoint = _checkpoint(row[4]) if len(row) > 4 else ""
    return worker_client.RunEnd(
        sequence, changes.EndedRun(task, run, ending, checkpoint)
    )
