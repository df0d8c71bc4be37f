"""Records of non-repeatable requests, so that each runs at most once.

A record opens before the request can reach the backend server, and settles
with the request. Records of answers that are too old or too many are dropped;
the slot then remembers the epoch of the drop, because an absent record of
that epoch no longer proves that a request has not run.
"""

import enum

from laburnumlatch.slots import holders
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import rows

RETENTION_MS = 600_000
# About 50 MB without answers, inside the 256 MB of an agent.
MAX_RECORDS = 100_000
MAX_ANSWER_BYTES = 33_554_432
ANSWER_OVERHEAD_BYTES = 500


class Verdict(enum.StrEnum):
    """What is to be done with a copy of a non-repeatable request."""

    RUN = 'run'
    WAIT = 'wait'
    REPLAY = 'replay'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def known(world, request):
    """Return the verdict of a record that holds whoever owns the slot.

    Returns None if there is no record or if it only says that the request was
    not run here, because another owner may have run it since.
    """
    record = world.records.get(request.record_key)
    if record is None or record.number == request.number:
        return None
    if record.outcome is None:
        return Verdict.WAIT
    if record.outcome == requestmsg.Outcome.ANSWERED:
        return Verdict.UNKNOWN if record.answer is None else Verdict.REPLAY
    if record.outcome == requestmsg.Outcome.UNKNOWN:
        return Verdict.UNKNOWN
    return None


def meet(world, request, epoch):
    """Return the verdict at the owner, which serves the slot at `epoch`."""
    settled = known(world, request)
    if settled is not None:
        return settled
    record = world.records.get(request.record_key)
    if record is not None and record.number != request.number:
        return _meet_not_run(world, request, record, epoch)
    if not request.may_have_run or _has_never_run(world, request, epoch):
        return Verdict.RUN
    return Verdict.UNKNOWN


def open_record(world, request, epoch):
    """Note that `request` is open here; it counts as running from now on."""
    request.has_record = True
    request.may_have_run = False
    world.records.put(
        request.record_key,
        rows.Record(
            request.record_key,
            request.slot,
            epoch,
            request.number,
            request.order,
            waiting=_waiting(world, request),
        ),
    )


def settle(world, request, outcome, reason, answer=None):
    """Close the record of `request` and wake the repeats that wait for it."""
    record = world.records.get(request.record_key)
    if not request.has_record or record is None:
        return
    record.outcome = outcome
    record.reason = reason
    record.answer = answer
    record.expires = world.now + RETENTION_MS
    world.record_expiry.push(record.expires, record.key)
    if answer is not None:
        _keep_answer(world, record)
    for number in record.waiting:
        world.placements.push(world.now, number)
        world.wake_at(world.now)
    record.waiting.clear()
    _limit(world)


def expire(world, now):
    """Drop the records whose retention has passed."""
    for key in world.record_expiry.pop_due(now):
        record = world.records.get(key)
        if record is not None and _is_settled(record, now):
            _drop(world, record)


def _meet_not_run(world, request, record, epoch):
    if record.epoch == epoch:
        # The slot has stayed here, so the refused request has run nowhere.
        # A copy no newer than the refused one may be a late one of it, and
        # the refusal said that it would not run.
        is_newer = request.order > record.order
        return Verdict.RUN if is_newer else Verdict.NOT_RUN
    if not request.may_have_run:
        return Verdict.NOT_RUN
    if _has_never_run(world, request, epoch):
        return Verdict.RUN
    return Verdict.UNKNOWN


def _has_never_run(world, request, epoch):
    dropped = world.dropped_epochs.get((request.service, request.slot))
    return request.claimed_epoch == epoch and (dropped or 0) < epoch


def _waiting(world, request):
    record = world.records.get(request.record_key)
    return [] if record is None else record.waiting


def _is_settled(record, now):
    return record.outcome is not None and record.expires <= now


def _keep_answer(world, record):
    world.kept_answers.append(record)
    world.kept_answer_bytes += _size(record)
    while world.kept_answer_bytes > MAX_ANSWER_BYTES:
        oldest = world.kept_answers.popleft()
        world.kept_answer_bytes -= _size(oldest)
        oldest.answer = None


def _size(record):
    return ANSWER_OVERHEAD_BYTES + len(record.answer.body)


def _limit(world):
    while len(world.records) > MAX_RECORDS and len(world.record_expiry):
        due, key = world.record_expiry.pop_first()
        record = world.records.get(key)
        if record is not None and _is_settled(record, due):
            _drop(world, record)


def _drop(world, record):
    world.records.pop(record.key)
    if record.outcome == requestmsg.Outcome.NOT_RUN:
        return
    service = record.key[0]
    held = holders.holding(world, service, record.slot)
    epoch = max(record.epoch, held.epoch if held else 0)
    slot_key = (service, record.slot)
    known_epoch = world.dropped_epochs.get(slot_key) or 0
    world.dropped_epochs.put(slot_key, max(known_epoch, epoch))
