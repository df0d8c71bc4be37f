"""Ranges of keys, and which of them should move."""

import hypothesis
from hypothesis import strategies

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import ranges

# The most load of one backend server over the mean: on a calm day, and some
# seconds after other keys became hot.
CALM_RATIO = 1.3
HOT_RATIO = 1.6


def life(name):
    """Return a life of a backend server."""
    return ranges.Life(name, 1)


def candidates(**capacities):
    """Return candidates by name and capacity."""
    return [
        balancing.Candidate(name, life(name), capacity)
        for name, capacity in capacities.items()
    ]


def skewed_loads():
    """Return loads of a calm day's kind: busy keys lie together."""
    return {
        bucket: 60 / (1 + abs(bucket - 700)) ** 0.8
        for bucket in range(balancing.BUCKET_COUNT)
    }


def moved(pieces, found):
    """Return the pieces after the moves."""
    for move in found:
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
    """Splitting, joining and looking up."""

    @hypothesis.given(
        cuts=strategies.lists(
            strategies.integers(0, ranges.KEY_COUNT - 1), max_size=8
        ),
        key=strategies.integers(0, ranges.KEY_COUNT - 1),
    )
    def test_split_and_join_keep_every_key(self, cuts, key):
        """Guards against keys that are lost or doubled by a cut."""
        whole = ranges.divide_equally([('a', life('a')), ('b', life('b'))])
        parts = ranges.split(whole, cuts)
        assert sum(part.end - part.start + 1 for part in parts) == (
            ranges.KEY_COUNT
        )
        assert ranges.join(parts) == whole
        plan = ranges.Plan('s', 1, parts)
        assert plan.piece_of(key).covers(key)


class TestMoves:
    """Moves that even the load out."""

    def test_skew_of_a_calm_day(self):
        """Guards against equal ranges under a skewed load.

        Equal ranges put 3.55 times the mean on one of nine backend servers;
        the goal is 1.3.
        """
        names = {f'b{number}': 1.0 for number in range(9)}
        hosts = candidates(**names)
        pieces = ranges.divide_equally([
            (one.host_id, one.life) for one in hosts
        ])
        loads = skewed_loads()
        before = balancing.relative_load_by_host(pieces, loads, hosts)
        for _ in range(4):
            pieces = moved(
                pieces, balancing.find_moves(pieces, loads, hosts).moves
            )
        after = balancing.relative_load_by_host(pieces, loads, hosts)
        assert max(before.values()) > 3
        assert max(after.values()) < CALM_RATIO

    def test_hot_keys_that_move(self):
        """Guards against a hot spot that stays: under 1.6 in 5 plans."""
        hosts = candidates(**{f'b{number}': 1.0 for number in range(9)})
        pieces = ranges.divide_equally([
            (one.host_id, one.life) for one in hosts
        ])
        for centre in (200, 3000):
            loads = dict.fromkeys(range(balancing.BUCKET_COUNT), 0.02)
            loads.update(dict.fromkeys(range(centre, centre + 13), 3.0))
            for _ in range(5):
                pieces = moved(
                    pieces, balancing.find_moves(pieces, loads, hosts).moves
                )
            use = balancing.relative_load_by_host(pieces, loads, hosts)
            assert max(use.values()) < HOT_RATIO

    def test_speed_counts(self):
        """Guards against equal load on backend servers of unequal speed."""
        hosts = candidates(slow=0.6, usual=1.0, fast=1.6)
        pieces = ranges.divide_equally([
            (one.host_id, one.life) for one in hosts
        ])
        loads = dict.fromkeys(range(balancing.BUCKET_COUNT), 0.05)
        for _ in range(4):
            pieces = moved(
                pieces, balancing.find_moves(pieces, loads, hosts).moves
            )
        use = balancing.relative_load_by_host(pieces, loads, hosts)
        assert max(use.values()) < CALM_RATIO

    def test_even_load_moves_nothing(self):
        """Guards against churn that gains nothing."""
        hosts = candidates(first=1.0, second=1.0, third=1.0)
        pieces = ranges.divide_equally([
            (one.host_id, one.life) for one in hosts
        ])
        loads = dict.fromkeys(range(balancing.BUCKET_COUNT), 0.05)
        assert not balancing.find_moves(pieces, loads, hosts).moves
