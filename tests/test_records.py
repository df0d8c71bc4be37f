"""Records of non-repeatable requests, and a front end that is not HTTP."""

import pytest

from laburnumlatch.experiments import workworlds
from laburnumlatch.slots import planrows
from laburnumlatch.slots import records
from laburnumlatch.slots import requestmsg
from tests import linefront
from tests import worlds

NOW = worlds.START
ANSWER = requestmsg.Answer(200, (), b'booked')


@pytest.fixture
def owner():
    """Return a world that owns every slot at epoch 7."""
    return worlds.with_plan(['bokun-1'])


@pytest.fixture
def front(owner):
    """Return a line front end on that world."""
    return linefront.LineFront(owner.inbox.post)


def tick(world, front, now, *messages):
    """Run one tick and let the front end write."""
    worlds.tick(world, now, *messages)
    for kind in front.kinds:
        for message in world.outbox.take(kind):
            front.carry_out(message)
    return world.outbox.take(requestmsg.Send)


def move(world, owner, epoch):
    """Give every slot to `owner` under `epoch`."""
    slot = planrows.SlotPlan(planrows.Incarnation(owner, 1), (), epoch, 1)
    workworlds.install(world, planrows.Plan('bokun', epoch, (slot,) * 8))


def answer(number, kept=ANSWER):
    """Return the messages of a whole answer."""
    return (
        requestmsg.AnswerBegan(number, 1, requestmsg.Outcome.ANSWERED),
        requestmsg.AnswerEnded(number, 1, kept),
    )


class TestRepeats:
    """A booking that is asked for twice must not run twice."""

    def test_repeat_waits_for_the_run_and_gets_its_answer(self, owner, front):
        front.feed('1 book k id 1 -')
        assert len(tick(owner, front, NOW)) == 1
        front.feed('2 book k id 2 7')
        assert not tick(owner, front, NOW)
        assert not front.lines
        assert not tick(owner, front, NOW, *answer(1))
        assert not tick(owner, front, NOW)
        assert front.lines == ['1 answered relay 7', '2 answered 200 7']

    def test_first_attempt_that_comes_twice_runs_once(self, owner, front):
        front.feed('1 book k id 1 -')
        front.feed('2 book k id 1 -')
        assert len(tick(owner, front, NOW)) == 1

    def test_caller_that_leaves_keeps_its_record(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        tick(owner, front, NOW, requestmsg.CallerLeft(1))
        assert owner.outbox.take(requestmsg.Drain)
        assert not owner.outbox.take(requestmsg.Cancel)
        tick(owner, front, NOW, *answer(1))
        front.feed('2 book k id 2 7')
        assert not tick(owner, front, NOW)
        assert front.lines == ['2 answered 200 7']

    def test_large_answer_is_not_kept_but_known(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        tick(owner, front, NOW, *answer(1, None))
        front.feed('2 book k id 2 7')
        assert not tick(owner, front, NOW)
        assert front.lines[-1] == '2 unknown duplicate 7'

    def test_same_id_for_another_key_is_another_request(self, owner, front):
        front.feed('1 book k id 1 -')
        front.feed('2 book other id 1 -')
        assert len(tick(owner, front, NOW)) == 2


class TestOneOutcome:
    """A caller that was given an answer must not be told another outcome."""

    def test_break_inside_an_answer_cuts_it_off(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        began, _ = answer(1)
        tick(owner, front, NOW, began)
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        tick(owner, front, NOW, broke)
        assert front.lines == ['1 answered relay 7']


class TestEpochs:
    """An owner must not run what an earlier owner may have run."""

    @pytest.mark.parametrize(('epoch', 'runs'), [('7', 1), ('6', 0), ('-', 0)])
    def test_repeat_without_record_needs_epoch(self, owner, front, epoch, runs):
        front.feed(f'1 book k id 2 {epoch}')
        assert len(tick(owner, front, NOW)) == runs
        assert len(front.lines) == 1 - runs

    def test_unknown_tells_the_epoch_in_doubt(self, owner, front):
        # With the new epoch the caller's next repeat would run.
        front.feed('1 book k id 2 6')
        tick(owner, front, NOW)
        assert front.lines == ['1 unknown no-record 6']

    def test_second_break_keeps_the_first_epoch(self, owner, front):
        # A claim of the later epoch would let the new owner run it again.
        for name in ('bokun-2', 'bokun-3'):
            owner.hosts.put(name, worlds.host(name))
        move(owner, 'bokun-2', 8)
        front.feed('1 book k id 1 -')
        worlds.tick(owner, NOW)
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        move(owner, 'bokun-3', 9)
        worlds.tick(owner, NOW, broke)
        broke = requestmsg.ExchangeBroke(1, 2, requestmsg.Phase.SENT)
        worlds.tick(owner, NOW, broke)
        worlds.tick(owner, NOW + 30)
        sent = owner.outbox.take(requestmsg.Forward)
        assert [forward.epoch for forward in sent] == [None, 8, 8]

    def test_repeat_queued_across_epochs_does_not_run(self, owner, front):
        for number in (1, 2):
            front.feed(f'{number} book k{number} id{number} 1 -')
        front.feed('3 book k id 2 7')
        tick(owner, front, NOW)
        move(owner, 'bokun-1', 9)
        assert not tick(owner, front, NOW, *answer(1))
        assert front.lines[-1].startswith('3 unknown no-record')

    def test_record_answers_after_the_slot_has_moved(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        tick(owner, front, NOW, *answer(1))
        move(owner, 'bokun-2', 8)
        front.feed('2 book k id 2 7')
        tick(owner, front, NOW)
        assert front.lines[-1].startswith('2 answered 200')

    def test_refusal_here_says_nothing_after_another_owner(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        shed = requestmsg.AnswerBegan(
            1, 1, requestmsg.Outcome.NOT_RUN, requestmsg.Reason.SHED
        )
        tick(owner, front, NOW, shed)
        assert front.lines == ['1 not-run shed 7']
        move(owner, 'bokun-1', 9)
        front.feed('2 book k id 3 8')
        assert not tick(owner, front, NOW)
        assert front.lines[-1].startswith('2 unknown')


class TestNotRun:
    """A refusal must stay true, and must not block a new attempt."""

    def test_newer_attempt_runs_after_refusal(self, owner, front):
        self._refuse(owner, front)
        front.feed('2 book k id 2 7')
        assert len(tick(owner, front, NOW)) == 1

    def test_late_copy_of_refused_attempt_does_not_run(self, owner, front):
        self._refuse(owner, front)
        front.feed('2 book k id 1 -')
        assert not tick(owner, front, NOW)
        assert front.lines[-1] == '2 not-run shed 7'

    def _refuse(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        shed = requestmsg.AnswerBegan(
            1, 1, requestmsg.Outcome.NOT_RUN, requestmsg.Reason.SHED
        )
        tick(owner, front, NOW, shed)


class TestRetention:
    """Records must neither grow without bound nor be forgotten silently."""

    def test_drop_is_remembered_for_the_epoch(self, owner, front):
        front.feed('1 book k id 1 -')
        tick(owner, front, NOW)
        tick(owner, front, NOW, *answer(1))
        later = NOW + records.RETENTION_MS
        front.feed('2 book k id 2 7')
        assert not tick(owner, front, later)
        assert front.lines[-1] == '2 unknown no-record 7'
        assert not len(owner.records)

    def test_number_is_bounded(self, owner, front, monkeypatch):
        monkeypatch.setattr(records, 'MAX_RECORDS', 3)
        for number in range(1, 9):
            front.feed(f'{number} book k id{number} 1 -')
            assert len(tick(owner, front, NOW + number)) == 1
            tick(owner, front, NOW + number, *answer(number))
        assert len(owner.records) == 3

    def test_kept_bytes_are_bounded(self, owner, front, monkeypatch):
        monkeypatch.setattr(records, 'MAX_ANSWER_BYTES', 1200)
        for number in (1, 2, 3):
            front.feed(f'{number} book k id{number} 1 -')
            tick(owner, front, NOW)
            tick(owner, front, NOW, *answer(number))
        kept = [record.answer for record in owner.records]
        assert kept == [None, ANSWER, ANSWER]
