"""Real agents on a stand-in of the platform: the whole path."""

import asyncio
import fcntl
import functools
import os
import signal
import socket
import time

import pytest

from laburnumlatch.operators import tracing
from tests import platformlab

SERVICES = (
    platformlab.SERVICE,
    platformlab.SERVICE,
    platformlab.OTHER_SERVICE,
)
OK = platformlab.OK
HALF = 32_768
RESTART_S = 6
PIPE_BYTES = 4096
LINE_BYTES = 300
MISSES = 200
QUIET_S = 0.6
LONG_HEAD = f'GET /look/x HTTP/1.1\r\n{"A: b" * 9000}\r\n\r\n'.encode()


@pytest.fixture
def folder(tmp_path):
    """Return where settings and logs go."""
    return tmp_path


def owner_of(lab, key):
    """Return the host whose backend server holds `key`."""
    return next(
        name
        for name, backend in lab.backends.items()
        if backend.service == platformlab.SERVICE and backend.holds(key)
    )


async def drained(descriptor):
    """Return what a pipe gives until nothing comes for `QUIET_S`."""
    os.set_blocking(descriptor, False)
    got = b''
    end = time.monotonic() + QUIET_S
    while time.monotonic() < end:
        try:
            got += os.read(descriptor, PIPE_BYTES)
        except BlockingIOError:
            await asyncio.sleep(0.05)
        else:
            end = time.monotonic() + QUIET_S
    return got


class TestWholePath:
    """Requests from any agent to the owner of their key."""

    async def test_answers_come_whole_and_once(self, folder):
        """Guards against work that runs twice, or bodies that change."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            body = b'quilt' * 9000
            responses = await asyncio.gather(
                *(
                    lab.call(name, '/book/x', key, method='POST', body=body)
                    for name in lab.backends
                    for key in (1, HALF, 65_000)
                )
            )
            for response in responses:
                assert response.code == OK
                assert response.body.endswith(body)
                assert response.headers['X-Response-Seal']
            runs = [
                count
                for backend in lab.backends.values()
                for count in backend.runs.values()
            ]
            assert set(runs) == {1}
            missing = await lab.call('h3', '/nothing/x')
            assert missing.code == 404
            long = await lab.call(
                'h3', '/book/x', 1, method='POST', body=b'x' * 300_001
            )
            assert long.code == 413

    async def test_killed_agent_takes_its_keys_up_again(self, folder):
        """Guards against keys that move, or stay unserved, at a restart."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            owner = owner_of(lab, HALF)
            before = {held[:3] for held in lab.backends[owner].grants}
            lab.agents[owner].kill()
            await lab.agents[owner].wait()
            await lab.start_agent(owner)

            is_served = functools.partial(lab.is_served, 'h3', HALF)
            await lab.wait_for(is_served, RESTART_S)
            after = {held[:3] for held in lab.backends[owner].grants}
            # The planner may also move keys to this host, for their load.
            assert before <= after
            assert not lab.shared_grants()

    async def test_store_outage_and_lost_answers(self, folder):
        """Guards against requests that need the store."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            lab.store.loses = 3
            await asyncio.sleep(1)
            lab.store.refuses = True
            end = time.monotonic() + 5
            while time.monotonic() < end:
                response = await lab.call('h3', '/look/x', HALF)
                assert response.code == OK
                await asyncio.sleep(0.05)
            lab.store.refuses = False

    async def test_planned_stop_cuts_nothing(self, folder):
        """Guards against answers that are lost when an agent stops."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            owner = owner_of(lab, HALF)
            other = next(name for name in ('h1', 'h2') if name != owner)
            lab.agents[owner].terminate()
            codes = []
            while lab.agents[owner].returncode is None:
                response = await lab.call(other, '/look/x', HALF)
                codes.append(response.code)
            assert lab.agents[owner].returncode == 0
            assert set(codes) <= {OK, 503}
            assert codes.count(OK) > len(codes) / 2


class TestLog:
    """Standard output that nobody reads."""

    async def test_full_pipe_stops_no_request(self, folder):
        """Guards against an agent that waits for its log's reader."""
        reading, writing = os.pipe()
        fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        async with platformlab.Lab(folder, SERVICES) as lab:
            lab.agents['h3'].kill()
            await lab.agents['h3'].wait()
            await lab.start_agent('h3', writing)
            is_served = functools.partial(lab.is_served, 'h3', HALF)
            await lab.wait_for(is_served, RESTART_S)
            for _ in range(MISSES):
                # Each refusal is a line, far beyond what the pipe takes.
                missing = await lab.call('h3', '/nothing/x')
                assert missing.code == 404
            response = await lab.call('h3', '/look/x', HALF)
            assert response.code == OK
            # The pipe was full; what waited behind it comes whole.
            kept = os.read(reading, PIPE_BYTES)
            assert PIPE_BYTES - LINE_BYTES < len(kept) <= PIPE_BYTES
            kept += await drained(reading)
        os.close(writing)
        os.close(reading)
        lines = [
            tracing.parse(line, 'h3') for line in kept.decode().splitlines()
        ]
        assert all(lines)
        assert sum(line.event == 'no-route' for line in lines) == MISSES


class TestReload:
    """A settings file that changes while the agent runs."""

    async def test_signal_and_bad_file(self, folder):
        """Guards against an agent that ends at SIGHUP."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            path = folder / 'h3.toml'
            text = path.read_text(encoding='utf-8')
            for changed in (text.replace('6s', '7s'), f'{text}[', text):
                path.write_text(changed, encoding='utf-8')
                lab.agents['h3'].send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                response = await lab.call('h3', '/look/x', HALF)
                assert response.code == OK
            log = (folder / 'h3.log').read_text(encoding='utf-8')
            assert 'grace_ms=7000' in log
            assert 'error agent settings-refused' in log


class TestBadInput:
    """Input that no well-behaved caller sends."""

    @pytest.mark.parametrize(
        'sent',
        [
            b'\x00\xff\xfe garbage\r\n\r\n',
            b'GET /look/x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
            b'POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab',
            LONG_HEAD,
        ],
    )
    async def test_others_are_served(self, folder, sent):
        """Guards against one caller's bytes that harm the others."""
        async with platformlab.Lab(folder, SERVICES) as lab:
            address = (lab.addresses['h3'], 8147)
            with socket.create_connection(address) as caller:
                caller.sendall(sent)
                response = await lab.call('h3', '/look/x', HALF)
            assert response.code == OK
            assert lab.agents['h3'].returncode is None
