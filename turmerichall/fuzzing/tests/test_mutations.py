"""Tests of the hostile documents."""

import random

from turmerichall.fuzzing import mutations
from turmerichall.platform import lenient_json
from turmerichall.platform import sound_messages


class TestMutations:

    # Without its seed, a failure found by chance could not be reproduced.
    def test_same_seed_gives_the_same_documents(self) -> None:
        def documents(seed: int) -> list[bytes]:
            rng = random.Random(seed)
            return [
                mutations.hostile_document(sound_messages.job(), rng)
                for _ in range(50)
            ]

        assert documents(1) == documents(1)
        assert documents(1) != documents(2)

    # Documents that the JSON decoder refuses don't reach any later part.
    def test_most_documents_are_json_and_differ_from_the_sound_one(
        self,
    ) -> None:
        rng = random.Random(1)
        sound = sound_messages.poll_answer(1)
        decoded = [
            lenient_json.decode_object(mutations.mutate(sound, rng))
            for _ in range(300)
        ]
        usable = [document for document in decoded if document is not None]
        assert len(usable) > 150
        # A field may get the value that it has.
        assert sum(document != sound for document in usable) > 150
        assert sound == sound_messages.poll_answer(1)
