"""Tests of the way of a submission from an entry instance to admission."""

from collections.abc import Iterable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.admission_control import decision
from turmerichall.dispatch.admission_control import places
from turmerichall.dispatch.admission_control import selection
from turmerichall.dispatch.admission_control import shares
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.entry import calls
from turmerichall.http1 import message
from turmerichall.platform import client_requests
from turmerichall.queues import change as changes

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOB = b'{"steps": [{"count": 1, "cpu": 1000, "est_duration_ms": 1000}]}'


class _RefusingController:
    """Admission control that refuses all jobs and records them."""

    def __init__(self) -> None:
        self.submissions: list[controller.Submission] = []

    def decide(
        self,
        submission: controller.Submission,
        workers: Iterable[worker_state.Worker],
        now: float,
    ) -> outcomes.Refusal | None:
        """See `controller.AdmissionController`."""
        self.submissions.append(submission)
        return outcomes.Refusal(outcomes.RefusalReason.DEADLINE, "", 2)


class TestSubmission:

    async def test_zone_arrives_and_a_refused_job_is_not_committed(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # A refused job that was committed would run though its caller was told
        # otherwise.
        refusing = _RefusingController()
        monkeypatch.setattr(selection, "make_controller", lambda *_: refusing)
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        from_client = message.Request(
            "POST",
            "/jobs/a7",
            {"host": "a.example", calls.CALLER_ZONE_HEADER: "claimed"},
            JOB,
        )
        from_old_instance = from_client._replace(headers={"host": "a.example"})

        async def script() -> None:
            for sent in (
                calls.with_caller_zone(from_client, "hall"),
                from_old_instance,
            ):
                forwarded = calls.decode_request(calls.encode(sent))
                response = await client_requests.handle(
                    cluster.leader_api, forwarded
                )
                assert isinstance(response, message.Response)
                assert response.status == 429
                assert response.headers["retry-after"] == "2"

        await test_leadership.run_script(cluster, script)
        assert [each.caller_zone for each in refusing.submissions] == [
            "hall",
            "",
        ]
        assert not any(
            isinstance(change, changes.AcceptJob)
            for change in cluster.replica.changes
        )


class TestBounds:

    def test_places_are_bounded_and_expire(self) -> None:
        kept = places.Places()
        place = places.Place(("s", True, 2), 1.0, 0.0, 5.0, 1, False)
        results = [kept.keep(f"{job}", place) for job in range(600)]
        assert results.count(True) == places.MAX_PLACES
        kept.expire(5.0 + places.GRACE_SECONDS + 0.1)
        assert not kept.by_job

    def test_claimed_zones_do_not_make_groups_without_bound(self) -> None:
        # Zones come from other processes, so that they may be arbitrary.
        used = shares.Shares()
        for zone in range(1000):
            used.record_demand(used.group("q", f"{zone}"), 1.0, 0.0)
        assert len(used.usage) <= shares.MAX_GROUPS + 1


class TestWorthlessJob:

    def test_is_refused_and_told_that_no_retry_can_succeed(self) -> None:
        inputs = decision.Inputs(
            "a7", 2.0, 5.5, 1.0, 9.0, 9.0, 9.0, 9.0, False, False
        )
        made = decision.decide(inputs)
        assert made.cause == decision.Cause.WORTHLESS
        assert not made.can_succeed
