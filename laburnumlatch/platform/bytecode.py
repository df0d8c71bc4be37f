"""Bytecode of the product, compiled by the build step of the platform.

At run time the sources are read-only, so Python cannot cache their bytecode
beside them and would compile all modules at each start. The build step runs
this module, which writes the bytecode below `FOLDER`. `install` lets imports
use it. A file whose source has changed since is ignored.
"""

import os
import pathlib
import sys
from importlib import abc
from importlib import machinery
from importlib import util

PACKAGE = 'laburnumlatch'
ROOT = pathlib.Path(__file__).parents[2]
FOLDER = ROOT / 'target' / 'bytecode'
# Marks a file that is valid for the source with the hash in its header.
_CHECKED_HASH_FLAGS = b'\x03\0\0\0'
_UNUSABLE_ERRORS = (OSError, ImportError, EOFError, ValueError, TypeError)


def compile_all(root=ROOT, folder=FOLDER):
    """Write the bytecode of all modules of the product to `folder`.

    `root` contains the package. Raises `py_compile.PyCompileError`.
    """
    import py_compile

    for source in sorted((root / PACKAGE).rglob('*.py')):
        relative = source.relative_to(root)
        py_compile.compile(
            str(source),
            cfile=f'{folder / relative}c',
            dfile=str(relative),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
        )


def install(root=ROOT, folder=FOLDER):
    """Use the bytecode in `folder`, if there is any, for later imports."""
    if folder.is_dir():
        sys.meta_path.insert(0, _Finder(root, folder))


class _Finder(abc.MetaPathFinder):
    """Finds the modules of the product as Python does."""

    def __init__(self, root, folder):
        self._source_prefix = f'{root}{os.sep}'
        self._compiled_prefix = f'{folder}{os.sep}'

    def find_spec(self, fullname, path, target=None):
        """Return the spec of a module of the product, None for others."""
        if not fullname.startswith(f'{PACKAGE}.'):
            return None
        spec = machinery.PathFinder.find_spec(fullname, path, target)
        source = '' if spec is None else spec.origin or ''
        if source.endswith('.py') and source.startswith(self._source_prefix):
            relative = source.removeprefix(self._source_prefix)
            spec.loader = _Loader(
                fullname, source, f'{self._compiled_prefix}{relative}c'
            )
        return spec


class _Loader(machinery.SourceFileLoader):
    """Loads a module from the build step's bytecode if it fits the source."""

    def __init__(self, fullname, path, compiled_file):
        super().__init__(fullname, path)
        self._compiled_file = compiled_file

    def get_code(self, fullname):
        """Return the code of the module, compiled now if need be."""
        try:
            code = self._built_code(fullname)
        except _UNUSABLE_ERRORS:
            code = None
        return super().get_code(fullname) if code is None else code

    def _built_code(self, fullname):
        """Return the code of the build step, or None if it does not fit."""
        header = b''.join((
            util.MAGIC_NUMBER,
            _CHECKED_HASH_FLAGS,
            util.source_hash(self.get_data(self.path)),
        ))
        if not self.get_data(self._compiled_file).startswith(header):
            return None
        loader = machinery.SourcelessFileLoader(fullname, self._compiled_file)
        return loader.get_code(fullname)


if __name__ == '__main__':
    compile_all()
