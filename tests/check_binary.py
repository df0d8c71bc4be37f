"""Tests of the one-file program, run by scripts/build after building it."""

import asyncio
import contextlib
import pathlib

import pytest

from standins import deployment
from tests import lab as labs

BINARY = pathlib.Path(__file__).resolve().parent.parent / 'dist/laburnumlatch'
CALL_COUNT = 20


def child_pids(pid):
    """Return the process IDs of the children of a process, as strings."""
    return [
        child_pid
        for task in pathlib.Path(f'/proc/{pid}/task').iterdir()
        for child_pid in (task / 'children').read_text('utf-8').split()
    ]


class TestBinary:
    """The program must run as one process with one thread."""

    @pytest.mark.time_limit(60)
    async def test_two_starts_at_once_serve_from_one_process_each(
        self, tmp_path, monkeypatch
    ):
        """Guards against starts that interfere, and against a child process.

        Two agents start at once from an empty directory, so both unpack the
        program. Both must serve, and only one copy may be left. PyInstaller's
        own one-file form would run each agent as a child process.
        """
        unpacked = tmp_path / 'unpacked'
        unpacked.mkdir()
        monkeypatch.setenv('LABURNUMLATCH_UNPACK', str(unpacked))
        running = deployment.Deployment(tmp_path, labs.specs(1, 1))
        running.binary = str(BINARY)
        lab = labs.Lab(running)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(running.stop)
            await running.start(labs.FILES)
            await deployment.wait_until(
                'ready', lab.is_ready, labs.READY_TIMEOUT_S
            )
            await self._check_calls_and_processes(lab)
        assert len(list(unpacked.iterdir())) == 1

    async def _check_calls_and_processes(self, lab):
        records = await asyncio.gather(
            *(lab.call(labs.STATUS_READ, None, 'b1') for _ in range(CALL_COUNT))
        )
        assert {record.outcome for record in records} == {labs.ANSWERED}
        for host in lab.hosts.values():
            assert not child_pids(host.agent.pid)
            tasks = pathlib.Path(f'/proc/{host.agent.pid}/task')
            assert len(list(tasks.iterdir())) == 1
