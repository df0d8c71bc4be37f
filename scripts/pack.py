"""Packs the stub and a PyInstaller directory into one executable.

The file format is described in stub.c.

usage: pack.py STUB DIRECTORY RESULT
"""

import pathlib
import sys

import xxhash

MODE_BITS = 0o777
EXECUTABLE = 0o755


def entries(root):
    """Yield an entry, as bytes, for each file and symbolic link in `root`."""
    for path in sorted(root.rglob('*')):
        if path.is_symlink():
            yield _entry('l', path, root, str(path.readlink()).encode())
        elif path.is_file():
            yield _entry('f', path, root, path.read_bytes())


def pack(stub, root, packed):
    """Write the executable `packed`: `stub`, then the files under `root`.

    All arguments are paths.
    """
    hasher = xxhash.xxh3_64()
    with packed.open('wb') as out:
        offset = out.write(stub.read_bytes())
        for entry in entries(root):
            hasher.update(entry)
            out.write(entry)
        trailer = f'LBLATCH1 {offset:016d} {hasher.hexdigest()}\n'
        out.write(trailer.encode())
    packed.chmod(EXECUTABLE)


def _entry(kind, path, root, body):
    mode = path.lstat().st_mode & MODE_BITS
    name = path.relative_to(root)
    return f'{kind} {mode:o} {len(body)} {name}\n'.encode() + body


if __name__ == '__main__':
    pack(*map(pathlib.Path, sys.argv[1:]))
