"""HTTP client of the policy service, which approves workers for a step."""

from collections.abc import Mapping, Sequence

import msgspec

from turmerichall.dispatch import policy_client
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import lenient_json

__all__ = ["HttpPolicyClient"]

# Maximum number of workers in one request; the policy service rejects requests
# that name more.
MAX_WORKERS = 100
# Bound on a ticket, which each start on the worker carries.
MAX_TICKET_CHARS = 4096


class HttpPolicyClient:
    """Implementation of `dispatch.policy_client.PolicyClient` over HTTP.

    Attributes:
        client: HTTP client for the address of the policy service.
    """

    def __init__(self, address: str):
        self.client = http_client.Client(address)

    async def ask(
        self,
        step: policy_client.StepName,
        workers: Sequence[str],
        timeout_seconds: float,
    ) -> Mapping[str, str] | None:
        """See `PolicyClient`."""
        job, occurrence, number = step
        body = {
            "step": f"{job}.{occurrence}.{number}",
            "workers": list(workers[:MAX_WORKERS]),
        }
        answer = await self.client.call(
            "POST",
            "/v1/advise",
            msgspec.json.encode(body),
            {"content-type": message.JSON},
            timeout_seconds,
        )
        if isinstance(answer, http_client.CallFailure) or answer.status != 200:
            return None
        document = lenient_json.decode_object(answer.body) or {}
        rows = document.get("allowed")
        if not isinstance(rows, list):
            return None
        return {
            lenient_json.text(row[0]): lenient_json.text(row[1])
            for row in rows
            if isinstance(row, list)
            and len(row) >= 2
            and 0 < len(lenient_json.text(row[1])) <= MAX_TICKET_CHARS
        }

    def close(self) -> None:
        """See `PolicyClient`."""
        self.client.close()
