"""Numbers that go on rising after the store was restored from a copy.

A restored store has lost its last writes, and gives their version numbers out
again. Its epoch, which rises by one with each restoration, tells them apart. So
the versions of rows, and all numbers that must rise from one write of a row to
the next, have the epoch in their upper bits.
"""

EPOCH_SHIFT = 40
_NUMBER_MASK = (1 << EPOCH_SHIFT) - 1


def join(epoch, number):
    """Return the version for a number that the store gave out in an epoch.

    Raises `ValueError` if the number has too many bits.
    """
    if number > _NUMBER_MASK:
        raise ValueError(f'number {number} of a version is too large')
    return (epoch << EPOCH_SHIFT) | number


def epoch_of(version):
    """Return the epoch of a version."""
    return version >> EPOCH_SHIFT


def number_of(version):
    """Return the number that the store gave out for a version."""
    return version & _NUMBER_MASK


def carried_over(version, epoch):
    """Return the version of a row that the store still has in an epoch."""
    return join(epoch, number_of(version))


def following(number, epoch):
    """Return a number above `number` and above all of earlier epochs."""
    return max(number, join(epoch, 0)) + 1
