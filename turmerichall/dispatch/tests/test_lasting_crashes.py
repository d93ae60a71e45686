"""Tests of crashes of workers under long-running tasks."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import crash_attribution
from turmerichall.dispatch.tests import crash_cluster
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
TASK = changes.TaskName(JOB, 0, 0, 0)
LATE_SECONDS = 3.0


def _suspect(
    crashes: int, doubtful: int, seconds: float, certain: bool
) -> crash_attribution.Suspect:
    is_fresh = seconds <= crash_attribution.TRIAL_SECONDS
    return crash_attribution.Suspect(
        TASK,
        crashes,
        doubtful,
        seconds,
        certain,
        not certain and is_fresh,
        True,
        True,
    )


class TestAttribute:

    # Jobs were shown as failed although no run of theirs had ended so: their
    # tasks are on workers at any time, and so are many crashes.
    @pytest.mark.parametrize(
        "suspect, is_given_up",
        [
            (_suspect(1, 0, 0.2, certain=True), True),
            # The worker may have crashed before the start reached it.
            (_suspect(1, 0, 0.0, certain=False), False),
            (_suspect(2, 0, 0.0, certain=False), True),
            (_suspect(1, 3, 0.0, certain=False), True),
            (_suspect(2, 0, LATE_SECONDS, certain=True), False),
            (_suspect(9, 9, LATE_SECONDS, certain=True), False),
            (_suspect(9, 9, LATE_SECONDS, certain=False), False),
        ],
    )
    def test_only_crashes_at_its_start_count_against_a_long_running_task(
        self, suspect: crash_attribution.Suspect, is_given_up: bool
    ) -> None:
        attribution = crash_attribution.attribute([suspect])
        assert attribution.given_up == ((JOB,) if is_given_up else ())

    def test_a_task_beside_it_is_given_up_as_before(self) -> None:
        lasting = _suspect(3, 0, LATE_SECONDS, certain=True)
        other = lasting._replace(
            task=TASK._replace(job="b"), crashes=3, lasting=False
        )
        attribution = crash_attribution.attribute([lasting, other])
        assert attribution.given_up == ("b",)


class TestLongRunning:

    # It was given up after three crashes of its workers.
    async def test_crashes_some_time_after_its_start_fail_no_job(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(3)
        for worker in cluster.incarnations:
            worker.lasting_jobs.add(JOB)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(1, lasting=True))
            for _ in range(6):
                await cluster.wait_until(
                    lambda: any(each.runs for each in cluster.workers.values())
                )
                await trio.sleep(LATE_SECONDS)
                for worker in cluster.workers.values():
                    if worker.runs:
                        worker.crash()
            assert cluster.job_state(JOB) == "active"
            await cluster.wait_until(lambda: cluster.starts_of(TASK) == 7)

        await crash_cluster.run_script(cluster, script)
