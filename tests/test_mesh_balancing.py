"""Balancing of load between hosts, also on deployments of many hosts."""

import random

import attrs
import pytest

from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import movableranges
from laburnumlatch.mesh import ranges

# The users' goals for the highest relative load: on a calm day, and 5 s after
# keys became hot. A balancing round runs each second.
MAX_CALM_RATIO = 1.3
MAX_HOT_RATIO = 1.6
HOT_ROUNDS = 5
CALM_ROUNDS = 12
# The users' grown deployments: speeds of the backend servers, requests per
# second for each backend server, and the exponent of the skew of keys.
SPEEDS = (0.7, 0.7, 1.7)
RATE = 15
MAX_RATIO_BESIDE_HOT_KEY = 0.2
KEY_SKEW = 0.55
WINDOW_S = 5.8
# Limit of a row of the users' store.
MAX_ROW_BYTES = 65_536
HOT_BUCKET = 3172
OTHER_HOT_KEY = 50_000


def random_hosts(count, seed):
    """Return candidates with random speeds out of `SPEEDS`."""
    rng = random.Random(seed)
    return [
        balancing.Candidate(
            f'b{number}', ranges.Life(f's{number}', 1), rng.choice(SPEEDS)
        )
        for number in range(count)
    ]


def skewed_rates(count, seed):
    """Return requests per second by bucket; busy keys are adjacent."""
    first = random.Random(seed).randrange(ranges.BUCKET_COUNT)
    weights = {}
    for place in range(ranges.KEY_COUNT):
        bucket = (first + place // ranges.KEYS_PER_BUCKET) % ranges.BUCKET_COUNT
        weights[bucket] = weights.get(bucket, 0) + (1 + place) ** -KEY_SKEW
    total = sum(weights.values())
    return {
        bucket: RATE * count * weight / total
        for bucket, weight in weights.items()
    }


def equal_pieces(hosts):
    """Return the pieces of a first plan."""
    return ranges.divide_equally([(host.host_id, host.life) for host in hosts])


def apply_moves(pieces, moves):
    """Return the pieces after moves."""
    for move in moves:
        pieces = tuple(
            _apply_move(piece, move)
            for piece in ranges.split(pieces, (move.start, move.end + 1))
        )
    return pieces


def _apply_move(piece, move):
    if not move.start <= piece.start <= move.end:
        return piece
    return attrs.evolve(
        piece, host_id=move.host_id, life=ranges.Life(move.host_id, 1)
    )


def run_rounds(pieces, rates, hosts, rounds):
    """Return the pieces after a number of balancing rounds."""
    for _ in range(rounds):
        search_result = balancing.find_moves(pieces, rates, hosts, WINDOW_S)
        pieces = apply_moves(pieces, search_result.moves)
    return pieces


def relative_loads_without(bucket, pieces, rates, hosts):
    """Return the relative load by host, without the load of one bucket.

    The mean that it is relative to includes that bucket.
    """
    others = {other: rate for other, rate in rates.items() if other != bucket}
    relative_loads = balancing.relative_load_by_host(pieces, others, hosts)
    share = sum(others.values()) / sum(rates.values())
    return {
        host_id: relative_load * share
        for host_id, relative_load in relative_loads.items()
    }


def current_pieces(fleet):
    """Return the pieces of the current plan of the divided service."""
    return fleet.agents['m0'].plan_of(fleetconfig.SERVICE).pieces


def owner_of(fleet, key):
    """Return the host that owns a key."""
    plan = fleet.agents['m0'].plan_of(fleetconfig.SERVICE)
    return plan.piece_of(key).host_id


class TestManyHosts:
    """Steady load on the users' grown deployments."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [47, 67])
    def test_load_follows_capacity(self, count, seed):
        """Guards against hosts that stay overloaded on a large deployment.

        The moves of a round are limited, so the limit must grow with the
        number of hosts.
        """
        hosts = random_hosts(count, seed)
        rates = skewed_rates(count, seed)
        pieces = equal_pieces(hosts)
        pieces = run_rounds(pieces, rates, hosts, HOT_ROUNDS)
        relative_loads = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(relative_loads.values()) < MAX_HOT_RATIO
        pieces = run_rounds(pieces, rates, hosts, CALM_ROUNDS - HOT_ROUNDS)
        relative_loads = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(relative_loads.values()) < MAX_CALM_RATIO


class TestPieces:
    """Number of pieces that the key space of a service is split into."""

    def test_number_of_pieces_is_bounded(self):
        """Guards against a plan that outgrows its row in the store.

        Each move may split a piece in three. Without a bound the pieces of 47
        hosts grew from 70 to 430 in 30 s.
        """
        rng = random.Random(1)
        hosts = random_hosts(9, 1)
        pieces = equal_pieces(hosts)
        for _ in range(60):
            rates = skewed_rates(9, rng.random())
            search_result = balancing.find_moves(pieces, rates, hosts, WINDOW_S)
            pieces = ranges.join(apply_moves(pieces, search_result.moves))
        max_pieces = balancing.MAX_PIECES_PER_HOST * len(hosts)
        assert len(pieces) < max_pieces + 2 * balancing.MAX_MOVES
        relative_loads = balancing.relative_load_by_host(pieces, rates, hosts)
        assert max(relative_loads.values()) < MAX_HOT_RATIO

    def test_largest_plan_fits_its_row(self):
        """Guards against plans of a takeover that the store rejects.

        Here each bucket is a piece, and an eighth of them is being handed
        over. A piece takes 111 to 136 bytes uncompressed.
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
            for bucket in range(ranges.BUCKET_COUNT)
        )
        plan = ranges.Plan('dealer-credits', 1, pieces)
        body = wire.pack_compressed(plan)
        assert len(body) < MAX_ROW_BYTES
        assert wire.unpack(body, ranges.Plan) == plan


class TestHotKey:
    """One key with more load than any host can serve."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [9, 47, 67])
    def test_other_hosts_are_relieved(self, count, seed):
        """Guards against a hot key that stops balancing of all hosts.

        Its host stays the busiest whatever moves, and a search that ended
        there would relieve no other host.
        """
        hosts, rates, pieces = self._balanced(count, seed)
        relative_loads = relative_loads_without(
            HOT_BUCKET, pieces, rates, hosts
        )
        assert max(relative_loads.values()) < MAX_HOT_RATIO

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize('count', [9, 47, 67])
    def test_owner_is_fast_and_owns_little_else(self, count, seed):
        """Guards against rejected requests for keys on the host of a hot key.

        The host is overloaded by the hot key, so its other keys must move.
        """
        hosts, rates, pieces = self._balanced(count, seed)
        plan = ranges.Plan('bokun', 1, pieces)
        owner_id = plan.piece_of(HOT_BUCKET * ranges.KEYS_PER_BUCKET).host_id
        capacity = {host.host_id: host.capacity for host in hosts}
        assert capacity[owner_id] == max(capacity.values())
        relative_loads = relative_loads_without(
            HOT_BUCKET, pieces, rates, hosts
        )
        assert relative_loads[owner_id] < MAX_RATIO_BESIDE_HOT_KEY

    def _balanced(self, count, seed):
        hosts = random_hosts(count, seed)
        rates = skewed_rates(count, seed)
        # More than three hosts of mean speed could serve.
        rates[HOT_BUCKET] += 3 * RATE * max(1, count / 20)
        pieces = equal_pieces(hosts)
        return hosts, rates, run_rounds(pieces, rates, hosts, CALM_ROUNDS)


class TestPendingHandovers:
    """Balancing rounds while keys are being handed over."""

    def test_slow_handover_does_not_block_other_moves(self):
        """Guards against one owner that blocks all balancing.

        The backend server of that owner works for 30 s on its keys, and does
        not release them before. Meanwhile other keys become hot.
        """
        fleet = fleetsim.deployment(divided=6)
        slow = owner_of(fleet, fleetload.FIRST_HOT_KEY)
        # A release is answered when the work on its keys has ended.
        fleet.backends[slow].work_ms = 30_000
        (owned,) = (
            piece for piece in current_pieces(fleet) if piece.host_id == slow
        )
        for key in range(owned.start, owned.end, 500):
            fleet.call('m0', '/look/', key, 30_000)
        hot = fleetload.Load(fleet, '/look/', 1.2, hot_share=0.5)
        hot.run(3000)
        assert any(piece.former == slow for piece in current_pieces(fleet))
        fence = max(piece.fence for piece in current_pieces(fleet))
        other = fleetload.Load(
            fleet, '/look/', 1.2, hot_share=0.5, first_hot_key=OTHER_HOT_KEY
        )
        other.run(5000)
        assert not fleet.violations
        assert any(piece.former == slow for piece in current_pieces(fleet))
        assert any(
            piece.fence > fence and slow not in {piece.host_id, piece.former}
            for piece in current_pieces(fleet)
        )


class TestFirstPlan:
    """The first plan of a deployment whose hosts become ready one by one."""

    def test_hosts_that_become_ready_late_get_keys(self):
        """Guards against a first plan of only the first few ready hosts.

        Six of nine backend servers become ready 1.5 to 3.5 s after the start.
        """
        fleet = fleetsim.Fleet([
            (f'b{number}', 'bokun', 'd0') for number in range(9)
        ])
        late = [f'b{number}' for number in range(3, 9)]
        for number, host_id in enumerate(late):
            backend = fleet.backends[host_id]
            backend.is_up = False
            fleet.schedule(1500 + 400 * number, setattr, backend, 'is_up', True)
        fleet.run(9000)
        owners = {
            piece.host_id
            for piece in fleet.agents['b0'].plan_of('bokun').pieces
        }
        assert owners == set(fleet.backends)


class TestLoadOfPieces:
    """Guards against a load that depends on how many buckets are busy."""

    def test_is_the_sum_over_its_buckets(self):
        size = ranges.KEYS_PER_BUCKET
        life = ranges.Life('b1', 1)
        piece = ranges.Piece(10 * size, 20 * size - 1, 'b1', life, 1)
        few = {9: 5.0, 10: 1.0, 19: 2.0, 20: 7.0}
        many = dict.fromkeys(range(100), 0.5)
        for rates in ({}, few, many):
            expected = sum(
                rates.get(bucket, 0) + movableranges.IDLE_RATE
                for bucket in range(10, 20)
            )
            assert balancing.load_of(piece, rates) == pytest.approx(expected)
