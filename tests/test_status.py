"""What `status` and `explain` show of a store."""

import asyncio

import attrs
import pytest

from laburnumlatch.core import errors
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from tests import stores
from tests import test_configuration as files


class TestStatus:
    """An operator who sees no reason or no place can't act on it."""

    def test_store_shows_services_and_conflicts_with_both_places(self):
        memory = stores.MemoryStore()
        both = [
            files.entry('a', file='a.yaml'),
            files.entry('b', file='b.yaml'),
        ]
        both[1] = attrs.evolve(
            both[1], intent=files.intent('bokun', connections=2)
        )
        files.run_publish(memory, both)
        shown = report.status(asyncio.run(state.from_store(memory, files.FORM)))
        (service,) = shown['configuration']['services']
        assert service['teams'] == ['a', 'b']
        (conflict,) = shown['configuration']['conflicts']
        assert conflict['first_place'] == 'a.yaml'
        assert conflict['second_place'] == 'b.yaml'
        assert 'conflict about bokun' in report.status_text(shown)

    def test_empty_store_is_shown(self):
        known = asyncio.run(state.from_store(stores.MemoryStore(), files.FORM))
        assert 'configuration version 0' in report.status_text(
            report.status(known)
        )

    def test_wrong_key_or_service_is_refused_with_what_is_known(self):
        for service, key in (('bokun', '65536'), ('bokun', 'x'), ('no', '1')):
            with pytest.raises(errors.InvalidInputError, match='expected'):
                report.explain(state.State(), service, key)
