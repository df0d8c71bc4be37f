"""Tests of the output of `status` and `explain` for a store."""

import asyncio

import attrs
import pytest

from laburnumlatch.core import errors
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from tests import stores
from tests import test_configuration as fixtures


class TestStatus:
    """Output names the places and reasons that an operator needs to act."""

    def test_store_shows_services_and_conflicts_with_both_places(self):
        """Guards against a conflict that names only one of the two files.

        Two teams declare one service with different numbers of connections.
        """
        memory = stores.MemoryStore()
        entries = [
            fixtures.entry('a', file='a.yaml'),
            fixtures.entry('b', file='b.yaml'),
        ]
        entries[1] = attrs.evolve(
            entries[1], intent=fixtures.intent('bokun', connections=2)
        )
        fixtures.run_publish(memory, entries)
        document = report.status(
            asyncio.run(state.from_store(memory, fixtures.CODEC))
        )
        (service,) = document['configuration']['services']
        assert service['teams'] == ['a', 'b']
        (conflict,) = document['configuration']['conflicts']
        assert conflict['first_place'] == 'a.yaml'
        assert conflict['second_place'] == 'b.yaml'
        assert 'conflict about bokun' in report.status_text(document)

    def test_empty_store_has_version_0(self):
        """Guards against a failure before the first publication.

        The store has no configuration, plans or hosts then.
        """
        empty = asyncio.run(
            state.from_store(stores.MemoryStore(), fixtures.CODEC)
        )
        assert 'configuration version 0' in report.status_text(
            report.status(empty)
        )

    def test_invalid_key_or_service_is_rejected_with_valid_ones(self):
        """Guards against an error that doesn't say what was expected.

        The keys are out of range or not a number, or the service has no plan.
        """
        for service, key in (('bokun', '65536'), ('bokun', 'x'), ('no', '1')):
            with pytest.raises(errors.InvalidInputError, match='expected'):
                report.explain(state.State(), service, key)
