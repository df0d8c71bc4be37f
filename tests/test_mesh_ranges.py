"""Key ranges of a plan, and the search for moves on a few hosts."""

import hypothesis
from hypothesis import strategies

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import ranges

# The users' goals for the highest load of a backend server over the mean: on a
# calm day, and some seconds after other keys became hot.
MAX_CALM_RATIO = 1.3
MAX_HOT_RATIO = 1.6


def life(name):
    """Return the run of a backend server with this ID."""
    return ranges.Life(name, 1)


def candidates(**capacities):
    """Return one candidate for each name and capacity."""
    return [
        balancing.Candidate(name, life(name), capacity)
        for name, capacity in capacities.items()
    ]


def skewed_loads():
    """Return loads by bucket as on a calm day; busy keys are adjacent."""
    return {
        bucket: 60 / (1 + abs(bucket - 700)) ** 0.8
        for bucket in range(ranges.BUCKET_COUNT)
    }


def apply_moves(pieces, moves):
    """Return the pieces after moves."""
    for move in moves:
        pieces = ranges.split(pieces, (move.start, move.end + 1))
        pieces = tuple(
            ranges.Piece(
                piece.start,
                piece.end,
                move.host_id,
                life(move.host_id),
                piece.fence + 100,
            )
            if move.start <= piece.start <= move.end
            else piece
            for piece in pieces
        )
    return pieces


class TestPieces:
    """Splitting and joining of pieces, and lookup of the owner of a key."""

    @hypothesis.given(
        cuts=strategies.lists(
            strategies.integers(0, ranges.KEY_COUNT - 1), max_size=8
        ),
        key=strategies.integers(0, ranges.KEY_COUNT - 1),
    )
    def test_split_and_join_keep_every_key(self, cuts, key):
        """Guards against keys that a split loses or puts into two pieces."""
        whole = ranges.divide_equally([('a', life('a')), ('b', life('b'))])
        parts = ranges.split(whole, cuts)
        assert sum(part.end - part.start + 1 for part in parts) == (
            ranges.KEY_COUNT
        )
        assert ranges.join(parts) == whole
        plan = ranges.Plan('s', 1, parts)
        assert plan.piece_of(key).covers(key)


class TestMoves:
    """Moves that even out the load."""

    def test_skewed_load_is_evened_out(self):
        """Guards against ranges that stay of equal width under skewed load.

        Such ranges put 3.55 times the mean load on one of nine backend
        servers; the goal is 1.3.
        """
        names = {f'b{number}': 1.0 for number in range(9)}
        hosts = candidates(**names)
        pieces = ranges.divide_equally([
            (host.host_id, host.life) for host in hosts
        ])
        loads = skewed_loads()
        before = balancing.relative_load_by_host(pieces, loads, hosts)
        for _ in range(4):
            pieces = apply_moves(
                pieces, balancing.find_moves(pieces, loads, hosts).moves
            )
        after = balancing.relative_load_by_host(pieces, loads, hosts)
        assert max(before.values()) > 3
        assert max(after.values()) < MAX_CALM_RATIO

    def test_hot_range_is_spread_in_five_rounds(self):
        """Guards against adjacent hot keys that stay on one host.

        The hot range changes place once; each time the load must be below 1.6
        times the mean after 5 plans.
        """
        hosts = candidates(**{f'b{number}': 1.0 for number in range(9)})
        pieces = ranges.divide_equally([
            (host.host_id, host.life) for host in hosts
        ])
        for centre in (200, 3000):
            loads = dict.fromkeys(range(ranges.BUCKET_COUNT), 0.02)
            loads.update(dict.fromkeys(range(centre, centre + 13), 3.0))
            for _ in range(5):
                pieces = apply_moves(
                    pieces, balancing.find_moves(pieces, loads, hosts).moves
                )
            relative_loads = balancing.relative_load_by_host(
                pieces, loads, hosts
            )
            assert max(relative_loads.values()) < MAX_HOT_RATIO

    def test_load_is_proportional_to_capacity(self):
        """Guards against equal load on backend servers of unequal speed."""
        hosts = candidates(slow=0.6, usual=1.0, fast=1.6)
        pieces = ranges.divide_equally([
            (host.host_id, host.life) for host in hosts
        ])
        loads = dict.fromkeys(range(ranges.BUCKET_COUNT), 0.05)
        for _ in range(4):
            pieces = apply_moves(
                pieces, balancing.find_moves(pieces, loads, hosts).moves
            )
        relative_loads = balancing.relative_load_by_host(pieces, loads, hosts)
        assert max(relative_loads.values()) < MAX_CALM_RATIO

    def test_even_load_moves_no_keys(self):
        """Guards against churn without any gain."""
        hosts = candidates(first=1.0, second=1.0, third=1.0)
        pieces = ranges.divide_equally([
            (host.host_id, host.life) for host in hosts
        ])
        loads = dict.fromkeys(range(ranges.BUCKET_COUNT), 0.05)
        assert not balancing.find_moves(pieces, loads, hosts).moves
