"""Moves of keys on deployments of many hosts."""

import random

import attrs
import pytest

from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import ranges

# The users' goals: on a calm day, and 5 s after keys became hot. A round of
# balancing takes a second.
CALM_RATIO = 1.3
HOT_RATIO = 1.6
HOT_ROUNDS = 5
CALM_ROUNDS = 12
# The users' grown deployments: speeds of the backend servers, requests a
# second of one of them, and how unequal the keys are.
SPEEDS = (0.7, 0.7, 1.7)
RATE = 15
MOST_BESIDE_HOT_KEY = 0.2
KEY_SKEW = 0.55
COUNTED_S = 5.8
# What a row of the users' store may hold.
ROW_BYTES = 65_536
HOT_BUCKET = 3172
OTHER_HOT_KEY = 50_000


def hosts_of(count, seed):
    """Return candidates of three speeds."""
    rng = random.Random(seed)
    return [
        balancing.Candidate(
            f'b{number}', ranges.Life(f's{number}', 1), rng.choice(SPEEDS)
        )
        for number in range(count)
    ]


def rates_of(count, seed):
    """Return requests a second by bucket: busy keys lie together."""
    first = random.Random(seed).randrange(balancing.BUCKET_COUNT)
    weights = {}
    for place in range(ranges.KEY_COUNT):
        bucket = (
            first + place // ranges.KEYS_PER_BUCKET
        ) % balancing.BUCKET_COUNT
        weights[bucket] = weights.get(bucket, 0) + (1 + place) ** -KEY_SKEW
    total = sum(weights.values())
    return {
        bucket: RATE * count * weight / total
        for bucket, weight in weights.items()
    }


def equal_pieces(hosts):
    """Return the pieces of a first plan."""
    return ranges.divide_equally([(one.host_id, one.life) for one in hosts])


def moved(pieces, found):
    """Return the pieces after moves."""
    for move in found:
        pieces = tuple(
            _given(piece, move)
            for piece in ranges.split(pieces, (move.start, move.end + 1))
        )
    return pieces


def _given(piece, move):
    if not move.start <= piece.start <= move.end:
        return piece
    return attrs.evolve(
        piece, host_id=move.host_id, life=ranges.Life(move.host_id, 1)
    )


def after_rounds(pieces, rates, hosts, rounds):
    """Return the pieces after so many rounds of balancing."""
    for _ in range(rounds):
        found = balancing.find_moves(pieces, rates, hosts, COUNTED_S)
        pieces = moved(pieces, found.moves)
    return pieces


def use_without(bucket, pieces, rates, hosts):
    """Return load over capacity by host, but for the load of one bucket.

    It is relative to the mean with that load.
    """
    others = {one: rate for one, rate in rates.items() if one != bucket}
    use = balancing.relative_load_by_host(pieces, others, hosts)
    share = sum(others.values()) / sum(rates.values())
    return {host_id: figure * share for host_id, figure in use.items()}


def pieces_of(fleet):
    """Return the pieces of the plan in force."""
    return fleet.agents['m0'].plan_of(fleetconfig.SERVICE).pieces


def owner_of(fleet, key):
    """Return the host that owns a key."""
    plan = fleet.agents['m0'].plan_of(fleetconfig.SERVICE)
    return plan.piece_of(key).host_id


class TestManyHosts:
    """A calm day on the users' grown deployments."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [47, 67])
    def test_load_follows_capacity(self, count, seed):
        """Guards against hosts that stay overfull where there are many."""
        hosts = hosts_of(count, seed)
        rates = rates_of(count, seed)
        pieces = equal_pieces(hosts)
        pieces = after_rounds(pieces, rates, hosts, HOT_ROUNDS)
        use = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(use.values()) < HOT_RATIO
        pieces = after_rounds(pieces, rates, hosts, CALM_ROUNDS - HOT_ROUNDS)
        use = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(use.values()) < CALM_RATIO


class TestPieces:
    """How far the key space of a service is split."""

    def test_plan_stays_bounded(self):
        """Guards against a plan that no longer fits its row in the store.

        Without a bound the pieces of 47 hosts went from 70 to 430 in 30 s.
        """
        rng = random.Random(1)
        hosts = hosts_of(9, 1)
        pieces = equal_pieces(hosts)
        for _ in range(60):
            rates = rates_of(9, rng.random())
            found = balancing.find_moves(pieces, rates, hosts, COUNTED_S)
            pieces = ranges.join(moved(pieces, found.moves))
        most = balancing.MAX_PIECES_PER_HOST * len(hosts)
        assert len(pieces) < most + 2 * balancing.MAX_MOVES
        use = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(use.values()) < HOT_RATIO

    def test_longest_plan_fits_its_row(self):
        """Guards against takeovers that the store refuses to keep.

        Each bucket is a piece, and an eighth of them is on the way. A piece
        takes 111 to 136 bytes if it is not compressed.
        """
        pieces = tuple(
            ranges.Piece(
                bucket * ranges.KEYS_PER_BUCKET,
                (bucket + 1) * ranges.KEYS_PER_BUCKET - 1,
                f'sidecar-kaneshie-{bucket * 7 % 300}',
                ranges.Life(f'i-{bucket * 7 % 300:010x}', 1792176098850),
                bucket * 31 % 5000,
                f'sidecar-kaneshie-{bucket * 11 % 300}' * (bucket % 8 == 0),
            )
            for bucket in range(balancing.BUCKET_COUNT)
        )
        plan = ranges.Plan('dealer-credits', 1, pieces)
        body = wire.pack_compressed(plan)
        assert len(body) < ROW_BYTES
        assert wire.unpack(body, ranges.Plan) == plan


class TestHotKey:
    """One key that is more than any host can serve."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [9, 47, 67])
    def test_other_hosts_are_relieved(self, count, seed):
        """Guards against one hot key that ends the relief of all hosts."""
        hosts, rates, pieces = self._balanced(count, seed)
        use = use_without(HOT_BUCKET, pieces, rates, hosts)
        assert max(use.values()) < HOT_RATIO

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [9, 47, 67])
    def test_its_host_is_fast_and_has_little_else(self, count, seed):
        """Guards against keys that are refused for a hot key beside them."""
        hosts, rates, pieces = self._balanced(count, seed)
        plan = ranges.Plan('bokun', 1, pieces)
        owner_id = plan.piece_of(HOT_BUCKET * ranges.KEYS_PER_BUCKET).host_id
        capacity = {one.host_id: one.capacity for one in hosts}
        assert capacity[owner_id] == max(capacity.values())
        use = use_without(HOT_BUCKET, pieces, rates, hosts)
        assert use[owner_id] < MOST_BESIDE_HOT_KEY

    def _balanced(self, count, seed):
        hosts = hosts_of(count, seed)
        rates = rates_of(count, seed)
        # Three hosts of the usual speed could not serve it.
        rates[HOT_BUCKET] += 3 * RATE * max(1, count / 20)
        pieces = equal_pieces(hosts)
        return hosts, rates, after_rounds(pieces, rates, hosts, CALM_ROUNDS)


class TestPiecesOnTheWay:
    """Rounds of balancing while keys are being handed over."""

    def test_slow_handover_stops_no_other_move(self):
        """Guards against one owner that does not let go and stops them all."""
        fleet = fleetsim.deployment(divided=6)
        slow = owner_of(fleet, fleetload.FIRST_HOT_KEY)
        # A release is answered when the work on its keys has ended.
        fleet.backends[slow].work_ms = 30_000
        (owned,) = (one for one in pieces_of(fleet) if one.host_id == slow)
        for key in range(owned.start, owned.end, 500):
            fleet.call('m0', '/look/', key, 30_000)
        hot = fleetload.Load(fleet, '/look/', 1.2, hot_share=0.5)
        hot.run(3000)
        assert any(piece.former == slow for piece in pieces_of(fleet))
        fence = max(piece.fence for piece in pieces_of(fleet))
        other = fleetload.Load(
            fleet, '/look/', 1.2, hot_share=0.5, first_hot_key=OTHER_HOT_KEY
        )
        other.run(5000)
        assert not fleet.violations
        assert any(piece.former == slow for piece in pieces_of(fleet))
        assert any(
            piece.fence > fence and slow not in {piece.host_id, piece.former}
            for piece in pieces_of(fleet)
        )


class TestFirstPlan:
    """The first plan of a deployment whose hosts become ready in turn."""

    def test_it_names_hosts_that_are_ready_late(self):
        """Guards against keys divided among the first few hosts alone."""
        fleet = fleetsim.Fleet([
            (f'b{number}', 'bokun', 'd0') for number in range(9)
        ])
        late = [f'b{number}' for number in range(3, 9)]
        for number, host_id in enumerate(late):
            backend = fleet.backends[host_id]
            backend.is_up = False
            fleet.later(1500 + 400 * number, setattr, backend, 'is_up', True)
        fleet.run(9000)
        owners = {
            piece.host_id
            for piece in fleet.agents['b0'].plan_of('bokun').pieces
        }
        assert owners == set(fleet.backends)
