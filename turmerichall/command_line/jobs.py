"""Commands for batch jobs."""

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
        """Submit a batch job; an accepted job is durable.

        Args:
            customer: Name of the customer.
            template: Name of a batch template.
            tasks: Number of tasks.
            deadline: Time until the job must be finished, such as `8 h`.
            job_id: Unique id; derived from the operation id if not given.
        """
        seconds = commands.parse_flag("--deadline", deadline, values.duration)
        document: dict[str, Any] = {
            "customer": customer,
            "template": template,
            "tasks": commands.parse_flag("--tasks", tasks, values.count),
            "deadline_wall_seconds": time.time() + seconds,
            "job_id": job_id,
        }
        return self._session.change_command("POST", "/v1/jobs", document)

    def status(self, job_id: str) -> commands.Command:
        """Show the status of a job and of its tasks.

        Args:
            job_id: Id of the job.
        """
        return self._session.read_command(
            f"/v1/jobs/{_path_segment(job_id)}", _print_job
        )

    def explain(self, job_id: str) -> commands.Command:
        """Show the decisions about a job and their reasons, in order.

        Args:
            job_id: Id of the job.
        """
        path = f"/v1/jobs/{_path_segment(job_id)}/explain"
        return self._session.read_command(path, _print_decisions)

    def list(self, *, state: str = "", customer: str = "") -> commands.Command:
        """List jobs, the newest first.

        Args:
            state: Only jobs in this state: waiting, running, finished, failed
                or cancelled.
            customer: Only jobs of this customer.
        """
        query = {}
        if state:
            chosen = values.choice(*_STATES)
            query["state"] = commands.parse_flag("--state", state, chosen)
        if customer:
            query["customer"] = customer
        encoded = urllib.parse.urlencode(query)
        path = f"/v1/jobs?{encoded}" if encoded else "/v1/jobs"
        return self._session.list_command(
            path, sessions.TableView(_COLUMNS, _row)
        )

    def cancel(self, job_id: str) -> commands.Command:
        """Cancel a job: waiting tasks end, running tasks are stopped.

        Args:
            job_id: Id of the job.
        """
        path = f"/v1/jobs/{_path_segment(job_id)}/cancel"
        return self._session.change_command("POST", path)


def _path_segment(job_id: str) -> str:
    return commands.parse_flag("JOB_ID", job_id, values.name)


def _row(item: dict[str, Any]) -> dict[str, Any]:
    return {
        **item,
        "submitted": output.format_time(item["submitted_wall_seconds"]),
        "deadline": output.format_time(item["deadline_wall_seconds"]),
    }


def _print_job(document: dict[str, Any]) -> None:
    item = document["item"]
    row = _row(item)
    output.print_fields(
        {name: row[name] for name in _COLUMNS}
        | {"expected finish": _format_finish(item["finish"])}
    )
    print()
    _print_tasks(item["current"], item["held"])
    if item["evictions"]:
        print()
        _print_decision_table(item["evictions"])


def _format_finish(finish: dict[str, Any] | None) -> str:
    if finish is None:
        return "ended"
    if "never_because" in finish:
        return f"never: {finish['never_because']}"
    if finish["wall_seconds"] is None:
        return f"not known: {finish['unknown_because']}"
    at = output.format_time(finish["wall_seconds"])
    return f"{at}, up to {finish['margin_seconds']:.0f} s sooner or later"


def _print_tasks(
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
    output.print_table(rows, (*columns, "checkpoint", "note"))


def _print_decisions(document: dict[str, Any]) -> None:
    item = document["item"]
    _print_decision_table(item["decisions"])
    print()
    print(f"now: {item['state']}")
    _print_tasks(item["current"], item["held"])


def _print_decision_table(decisions: list[dict[str, Any]]) -> None:
    rows = [
        {**decision, "when": output.format_time(decision["wall_seconds"])}
        for decision in decisions
    ]
    output.print_table(rows, ("position", "when", "task", "what", "reason"))
