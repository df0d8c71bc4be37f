"""Measures the cost of plans as a function of their size."""

import attrs

from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import timing
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import ranges


def moves_us(size):
    """Return us of the planner's search for moves among `size` hosts."""
    candidates = [
        balancing.Candidate(piece.host_id, piece.life, 1.0)
        for piece in _plan(size).pieces
    ]
    pieces = _plan(size).pieces
    rates = {bucket: 1 / (1 + bucket) for bucket in range(ranges.BUCKET_COUNT)}
    return timing.time_us(
        lambda: balancing.find_moves(pieces, rates, candidates), 1
    )


def encode_us(size):
    """Return us to encode a plan of `size` pieces."""
    plan = _plan(size)
    return timing.time_us(lambda: wire.pack(plan), 3)


def decode_us(size):
    """Return us to decode a plan of `size` pieces."""
    body = wire.pack(_plan(size))
    return timing.time_us(lambda: wire.unpack(body, ranges.Plan), 3)


def plan_bytes(size):
    """Return bytes of an encoded plan of `size` pieces, for each piece."""
    return len(wire.pack(_plan(size))) / size


def _plan_and_change(size):
    """Return a plan of `size` pieces and a change that moves one of them."""
    plan = _plan(size)
    moved = attrs.evolve(plan.pieces[-1], host_id='host-0', fence=size + 1)
    following = ranges.Plan(
        plan.service, plan.version + 1, (*plan.pieces[:-1], moved)
    )
    return plan, planchanges.difference(plan, following)


def change_us(size):
    """Return us to decode and apply a change of one among `size` pieces."""
    plan, change = _plan_and_change(size)
    body = wire.pack_compressed(change)
    return timing.time_us(
        lambda: planchanges.apply(plan, wire.unpack(body, planchanges.Change)),
        3,
    )


def change_bytes(size):
    """Return bytes of an encoded change of one among `size` pieces."""
    return len(wire.pack_compressed(_plan_and_change(size)[1]))


def _plan(size):
    owners = [
        (f'host-{number}', ranges.Life(f's-{number}', 1))
        for number in range(size)
    ]
    return ranges.Plan(fleetconfig.SERVICE, 1, ranges.divide_equally(owners))
