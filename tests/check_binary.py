"""The one-file program; run by scripts/build, which makes it first."""

import asyncio
import contextlib
import pathlib

import pytest

from standins import deployment
from tests import lab as labs

BINARY = pathlib.Path(__file__).resolve().parent.parent / 'dist/laburnumlatch'
CALLS = 20


def children(pid):
    """Return the IDs of the child processes of a process."""
    return [
        child
        for task in pathlib.Path(f'/proc/{pid}/task').iterdir()
        for child in (task / 'children').read_text('utf-8').split()
    ]


class TestBinary:
    """The program must stay one process that runs on one thread."""

    @pytest.mark.time_limit(60)
    async def test_two_starts_at_once_serve_from_one_process_each(
        self, tmp_path, monkeypatch
    ):
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
            await self._check(lab)
        assert len(list(unpacked.iterdir())) == 1

    async def _check(self, lab):
        records = await asyncio.gather(
            *(lab.call(labs.STATUS_READ, None, 'b1') for _ in range(CALLS))
        )
        assert {one.outcome for one in records} == {labs.ANSWERED}
        for host in lab.hosts.values():
            assert not children(host.agent.pid)
            tasks = pathlib.Path(f'/proc/{host.agent.pid}/task')
            assert len(list(tasks.iterdir())) == 1
