"""Hashes that agree on every host."""

import xxhash


def slot_of(key, slot_count):
    """Return the slot number of `key`, from 0 to `slot_count` - 1."""
    return _hash(key) % slot_count


def position(key):
    """Return the place of `key` on a ring of 2**64 places."""
    return _hash(key)


def rendezvous(key, names):
    """Return `names` ordered by their weight for `key`, highest first.

    Removing a name leaves the order of the others unchanged, so a plan made
    from it moves only the slots of the host that went.
    """
    return sorted(
        names,
        key=lambda name: (_hash(f'{key}\0{name}'), name),
        reverse=True,
    )


def digest(body):
    """Return the hash of `body` bytes as 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(body)


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())
