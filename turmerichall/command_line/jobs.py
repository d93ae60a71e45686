"""Commands about batch jobs."""

import time
from typing import Any
import urllib.parse

from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Jobs"]

_COLUMNS = (
    "job_id",
    "customer",
    "template",
    "state",
    "task_states",
    "submitted",
    "deadline",
)
_STATES = ("waiting", "running", "finished", "failed", "cancelled")


class Jobs:
    """Batch jobs."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def submit(
        self,
        *,
        customer: str,
        template: str,
        tasks: str = "1",
        deadline: str = "8 h",
        job_id: str = "",
    ) -> commands.Command:
        """Submits a batch job; it is accepted durably or not at all.

        Args:
            customer: Name of the customer.
            template: Name of a batch template.
            tasks: How many tasks.
            deadline: When it must be finished, from now, such as `8 h`.
            job_id: Unique id; made from the operation id if not given.
        """
        seconds = commands.value("--deadline", deadline, values.duration)
        document: dict[str, Any] = {
            "customer": customer,
            "template": template,
            "tasks": commands.value("--tasks", tasks, values.count),
            "deadline_wall_seconds": time.time() + seconds,
            "job_id": job_id,
        }
        return self._session.changing("POST", "/v1/jobs", document)

    def status(self, job_id: str) -> commands.Command:
        """Shows where a job and its tasks are.

        Args:
            job_id: Id of the job.
        """
        return self._session.reading(f"/v1/jobs/{_part(job_id)}", _show_job)

    def explain(self, job_id: str) -> commands.Command:
        """Shows what was decided about a job and why, in order.

        Args:
            job_id: Id of the job.
        """
        path = f"/v1/jobs/{_part(job_id)}/explain"
        return self._session.reading(path, _show_decisions)

    def list(self, *, state: str = "", customer: str = "") -> commands.Command:
        """Lists jobs, the newest first.

        Args:
            state: Only those that are waiting, running, finished, failed or
                cancelled.
            customer: Only those of this customer.
        """
        query = {}
        if state:
            chosen = values.choice(*_STATES)
            query["state"] = commands.value("--state", state, chosen)
        if customer:
            query["customer"] = customer
        encoded = urllib.parse.urlencode(query)
        path = f"/v1/jobs?{encoded}" if encoded else "/v1/jobs"
        return self._session.list(path, sessions.View(_COLUMNS, _row))

    def cancel(self, job_id: str) -> commands.Command:
        """Cancels a job: waiting tasks end, running ones are stopped.

        Args:
            job_id: Id of the job.
        """
        path = f"/v1/jobs/{_part(job_id)}/cancel"
        return self._session.changing("POST", path)


def _part(job_id: str) -> str:
    return commands.value("JOB_ID", job_id, values.name)


def _row(item: dict[str, Any]) -> dict[str, Any]:
    return {
        **item,
        "submitted": output.wall_time(item["submitted_wall_seconds"]),
        "deadline": output.wall_time(item["deadline_wall_seconds"]),
    }


def _show_job(document: dict[str, Any]) -> None:
    item = document["item"]
    row = _row(item)
    output.show(
        {name: row[name] for name in _COLUMNS}
        | {"expected finish": _finish(item["finish"])}
    )
    print()
    _show_tasks(item["current"], item["held"])
    if item["evictions"]:
        print()
        _show_recorded(item["evictions"])


def _finish(finish: dict[str, Any] | None) -> str:
    if finish is None:
        return "ended"
    if "never_because" in finish:
        return f"never: {finish['never_because']}"
    if finish["wall_seconds"] is None:
        return f"not known: {finish['unknown_because']}"
    at = output.wall_time(finish["wall_seconds"])
    return f"{at}, up to {finish['margin_seconds']:.0f} s sooner or later"


def _show_tasks(
    tasks: list[dict[str, Any]], held: list[dict[str, Any]]
) -> None:
    notes = {
        task["task_id"]: f"{task['what']}: {task['reason']}" for task in held
    }
    rows = [
        {
            **task,
            "worker": (task["held"] or {}).get("worker", "-"),
            "note": notes.get(task["task_id"], ""),
        }
        for task in tasks
    ]
    columns = ("task_id", "state", "worker", "attempt", "failures")
    output.show_rows(rows, (*columns, "checkpoint", "note"))


def _show_decisions(document: dict[str, Any]) -> None:
    item = document["item"]
    _show_recorded(item["decisions"])
    print()
    print(f"now: {item['state']}")
    _show_tasks(item["current"], item["held"])


def _show_recorded(decisions: list[dict[str, Any]]) -> None:
    rows = [
        {**made, "when": output.wall_time(made["wall_seconds"])}
        for made in decisions
    ]
    output.show_rows(rows, ("position", "when", "task", "what", "reason"))
