"""Answers of the backend server to grants."""

import pytest

from laburnumlatch.slots import grants
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import servermsg
from tests import worlds

END = worlds.START + 1000


@pytest.fixture
def world():
    """Return a world that waits for the answer to grants of two slots."""
    made = worlds.with_plan(['bokun-1'])
    for row in made.slots:
        row.accepted_until = 0
    ends = ((5, 7, END), (2, 7, END))
    made.standing.given = leaserows.Given(ends, worlds.START)
    return made


def answer(world, accepted, *slots):
    """Take in one answer."""
    world.inbox.post(servermsg.GrantsAnswered('bokun-1', accepted, slots))
    grants.take_answers(world, worlds.START)


class TestAnswers:
    """An ignored answer leaves a slot without grants: nobody serves it."""

    def test_order_of_slots_does_not_matter(self, world):
        answer(world, True, 2, 5)
        assert world.standing.given is None
        ends = [
            world.slots.get(('bokun', one)).accepted_until for one in (2, 5)
        ]
        assert ends == [END, END]

    def test_part_may_be_refused(self, world):
        answer(world, True, 2)
        answer(world, False, 5)
        assert world.standing.given is None
        assert world.slots.get(('bokun', 2)).accepted_until == END
        assert world.slots.get(('bokun', 5)).accepted_until == 0
        assert world.standing.unclear_until == END
