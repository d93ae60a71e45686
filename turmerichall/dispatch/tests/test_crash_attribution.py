"""Tests of the attribution of a worker's crash to the tasks on it."""

import pytest

from turmerichall.dispatch import crash_attribution
from turmerichall.queues import change as changes

LONG = crash_attribution.CLEAR_SECONDS + 1.0
LATE = crash_attribution.TRIAL_SECONDS + 1.0


def suspect(
    job: str, crashes: int = 0, seconds: float = 0.01, certain: bool = True
) -> crash_attribution.Suspect:
    task = changes.TaskName(job, 0, 0, 0)
    return crash_attribution.Suspect(task, crashes, seconds, certain)


def charged_jobs(attribution: crash_attribution.Attribution) -> set[str]:
    return {task.job for task in attribution.charged}


class TestCharges:

    def test_every_task_that_began_lately_is_charged(self) -> None:
        attribution = crash_attribution.attribute(
            [suspect("a"), suspect("b", seconds=LATE), suspect("c", 0, LONG)]
        )
        assert charged_jobs(attribution) == {"a", "b"}
        assert not attribution.given_up

    def test_tasks_beside_one_on_trial_are_not_charged(self) -> None:
        attribution = crash_attribution.attribute(
            [suspect("a", 1), suspect("b", 1, LATE), suspect("c", 0, 0.2)]
        )
        assert attribution.given_up == ("a",)
        assert charged_jobs(attribution) == {"a"}


class TestGivenUp:

    @pytest.mark.parametrize(
        "suspects, lost_together, given_up",
        [
            ([suspect("a", 1)], [], ("a",)),
            ([suspect("a", 1), suspect("b", 0, 0.3)], [], ("a",)),
            # Another task started after it.
            ([suspect("a", 1, 0.3), suspect("b")], [], ()),
            # Both started in the same moment.
            ([suspect("a", 1), suspect("b", 1)], [], ()),
            # It had run for longer than the trial.
            ([suspect("a", 1, LATE)], [], ()),
            ([suspect("a", 1, 0.0, certain=False)], [], ()),
            # Power was lost.
            ([suspect("a", 1)], [{"b"}, {"c"}], ()),
            # Tasks of the same job crashed the other workers.
            ([suspect("a", 1)], [{"a"}, {"a", "b"}, {"c"}], ("a",)),
            # It may crash its workers late.
            ([suspect("a", 2, LATE), suspect("b", 1, LATE)], [], ("a",)),
            ([suspect("a", 2, LATE), suspect("b", 2, LATE)], [], ()),
            ([suspect("a", 2, LATE)], [{"b"}, {"c"}], ()),
            (
                [suspect("a", 3, LATE), suspect("b", 3, LATE)],
                [{"c"}, {"d"}],
                ("a", "b"),
            ),
        ],
    )
    def test_only_the_cause_is_given_up(
        self,
        suspects: list[crash_attribution.Suspect],
        lost_together: list[set[str]],
        given_up: tuple[str, ...],
    ) -> None:
        attribution = crash_attribution.attribute(suspects, lost_together)
        assert attribution.given_up == given_up

    def test_no_task_is_started_three_times_after_a_third_crash(self) -> None:
        limit = 3 + 3
        assert crash_attribution.MAX_CRASHES < limit
