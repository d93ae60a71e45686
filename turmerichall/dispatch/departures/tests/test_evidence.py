"""Tests of the decision whether a leaving worker has ended."""

import pytest

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.departures import evidence as evidences

Verdict = worker_client.Verdict
Evidence = evidences.Evidence


class TestFindEvidence:

    # Tasks ran twice: any failure of a poll was taken for the end.
    @pytest.mark.parametrize(
        "poll, runs, expected",
        [
            (None, 0, None),
            (None, 2, None),
            (Verdict.UNANSWERED, 2, None),
            (Verdict.UNSENT, 2, None),
            (Verdict.UNANSWERED, 0, Evidence.NO_RUNS),
            (Verdict.UNSENT, 0, Evidence.NO_RUNS),
            (Verdict.REPLACED, 0, Evidence.REPLACED),
            (Verdict.REPLACED, 2, Evidence.REPLACED),
            (Verdict.FENCED, 0, None),
            (Verdict.UNWELL, 0, None),
            (Verdict.MALFORMED, 0, None),
        ],
    )
    def test_only_what_proves_the_end_counts(
        self, poll: Verdict | None, runs: int, expected: Evidence | None
    ) -> None:
        assert evidences.find_evidence(poll, runs) == expected
