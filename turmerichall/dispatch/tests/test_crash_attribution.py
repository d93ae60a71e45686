"""Tests of the attribution of a worker's crash to the tasks on it."""

import pytest

from turmerichall.dispatch import crash_attribution
from turmerichall.queues import change as changes

LONG = crash_attribution.CLEAR_SECONDS + 1.0
LATE = crash_attribution.TRIAL_SECONDS + 1.0


def suspect(
    job: str,
    crashes: int = 0,
    seconds: float = 0.01,
    certain: bool = True,
    likely: bool = False,
) -> crash_attribution.Suspect:
    """Return a suspect, which is on trial if it was charged before."""
    task = changes.TaskName(job, 0, 0, 0)
    return crash_attribution.Suspect(
        task, crashes, 0, seconds, certain, likely, crashes > 0
    )


def charged_jobs(attribution: crash_attribution.Attribution) -> set[str]:
    return {task.job for task in attribution.charged}


class TestCharges:

    def test_every_task_that_began_lately_is_charged(self) -> None:
        attribution = crash_attribution.attribute(
            [suspect("a"), suspect("b", seconds=LATE), suspect("c", 0, LONG)]
        )
        assert charged_jobs(attribution) == {"a", "b"}
        assert not attribution.given_up

    def test_a_task_charged_alone_starts_on_trial(self) -> None:
        attribution = crash_attribution.attribute([suspect("a")])
        assert attribution.on_trial == attribution.charged

    # Many tasks on trial at once would wait for each other.
    def test_a_loss_of_power_puts_tasks_on_trial_only_if_it_recurs(
        self,
    ) -> None:
        attribution = crash_attribution.attribute(
            [suspect("a"), suspect("b", 1)], lost_together=3
        )
        assert charged_jobs(attribution) == {"a", "b"}
        assert {task.job for task in attribution.on_trial} == {"b"}

    # Its job was shown as failed after a single crash.
    def test_a_start_that_was_not_confirmed_is_not_charged(self) -> None:
        attribution = crash_attribution.attribute(
            [suspect("a"), suspect("b", 0, 0.0, certain=False, likely=True)]
        )
        assert charged_jobs(attribution) == {"a"}
        assert {task.job for task in attribution.doubtful} == {"b"}
        assert {task.job for task in attribution.on_trial} == {"a", "b"}

    def test_many_doubtful_crashes_suffice(self) -> None:
        unsure = suspect("a", 1, 0.0, certain=False)
        for doubtful, given_up in ((2, ()), (3, ("a",))):
            attribution = crash_attribution.attribute(
                [unsure._replace(doubtful=doubtful)], lost_together=2
            )
            assert attribution.given_up == given_up

    def test_a_first_certain_crash_on_trial_is_charged_alone(self) -> None:
        unsure = suspect("b", 0, 0.0, certain=False, likely=True)
        attribution = crash_attribution.attribute(
            [suspect("a", 0, 0.2), unsure._replace(on_trial=True)]
        )
        assert charged_jobs(attribution) == {"b"}
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
            ([suspect("a", 1)], 0, ("a",)),
            ([suspect("a", 1), suspect("b", 0, 0.3)], 0, ("a",)),
            # Another task started after it.
            ([suspect("a", 1, 0.3), suspect("b")], 0, ()),
            # Both started in the same moment.
            ([suspect("a", 1), suspect("b", 1)], 0, ()),
            # It had run for longer than the trial.
            ([suspect("a", 1, LATE)], 0, ()),
            ([suspect("a", 1, 0.0, certain=False)], 0, ()),
            ([suspect("a", 1, 0.0, certain=False, likely=True)], 0, ("a",)),
            # Power was lost.
            ([suspect("a", 1)], 2, ()),
            ([suspect("a", 1)], 1, ("a",)),
            # It may crash its workers late.
            ([suspect("a", 2, LATE), suspect("b", 1, LATE)], 0, ("a",)),
            ([suspect("a", 2, LATE), suspect("b", 2, LATE)], 0, ()),
            ([suspect("a", 2, LATE)], 2, ()),
            (
                [suspect("a", 3, LATE), suspect("b", 3, LATE)],
                2,
                ("a", "b"),
            ),
        ],
    )
    def test_only_the_cause_is_given_up(
        self,
        suspects: list[crash_attribution.Suspect],
        lost_together: int,
        given_up: tuple[str, ...],
    ) -> None:
        attribution = crash_attribution.attribute(suspects, lost_together)
        assert attribution.given_up == given_up

    def test_no_task_is_started_three_times_after_a_third_crash(self) -> None:
        limit = 3 + 3
        assert crash_attribution.MAX_CRASHES < limit
        assert crash_attribution.MAX_DOUBTFUL_CRASHES < limit
