"""Bytecode that the build step compiles for the start of the agent."""

import shutil
import sys
from importlib import util

import pytest

from laburnumlatch.platform import bytecode

PROBE = 'laburnumlatch.probe'


@pytest.fixture
def tree(tmp_path):
    """Return the folder of a package with one module and its bytecode."""
    package = tmp_path / bytecode.PACKAGE
    package.mkdir()
    (package / '__init__.py').write_text('')
    (package / 'probe.py').write_text('LEVEL = 1\n')
    bytecode.compile_all(tmp_path, tmp_path / 'built')
    return tmp_path


@pytest.fixture
def finders(monkeypatch):
    """Restore the finders of modules after the test, and return them."""
    finders = list(sys.meta_path)
    monkeypatch.setattr(sys, 'meta_path', finders)
    return finders


def _load(tree, finders):
    """Import the probe as an agent that has just started would."""
    bytecode.install(tree, tree / 'built')
    spec = finders[0].find_spec(PROBE, [str(tree / bytecode.PACKAGE)])
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.LEVEL


class TestBytecode:
    """Guards against an agent that runs other code than its sources."""

    def test_uses_the_bytecode_of_the_build_step(self, tree, finders):
        other = tree / 'other'
        (other / bytecode.PACKAGE).mkdir(parents=True)
        (other / bytecode.PACKAGE / 'probe.py').write_text('LEVEL = 2\n')
        bytecode.compile_all(other, tree / 'other-built')
        built = tree / 'built' / bytecode.PACKAGE / 'probe.pyc'
        header_size = 16
        compiled_otherwise = (
            built.read_bytes()[:header_size]
            + (
                tree / 'other-built' / bytecode.PACKAGE / 'probe.pyc'
            ).read_bytes()[header_size:]
        )
        built.write_bytes(compiled_otherwise)
        assert _load(tree, finders) == 2

    def test_ignores_the_bytecode_of_another_source(self, tree, finders):
        (tree / bytecode.PACKAGE / 'probe.py').write_text('LEVEL = 3\n')
        assert _load(tree, finders) == 3

    @pytest.mark.parametrize('size', [0, 10, 20])
    def test_ignores_truncated_bytecode(self, tree, finders, size):
        built = tree / 'built' / bytecode.PACKAGE / 'probe.pyc'
        built.write_bytes(built.read_bytes()[:size])
        assert _load(tree, finders) == 1

    def test_runs_without_a_build_step(self, tree, finders):
        shutil.rmtree(tree / 'built')
        before = list(finders)
        bytecode.install(tree, tree / 'built')
        assert sys.meta_path == before
