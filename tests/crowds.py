"""A crowd of connections to one agent that send what callers never send."""

import asyncio
import contextlib
import pathlib
import socket

import attrs

from laburnumlatch.core import addresses
from tests import lab as labs

# A small window, so that unread responses stay at the agent.
RECEIVE_BUFFER_BYTES = 4096
SEND_BYTES = 65_536
POLL_S = 0.01
# Rounds in which no member could send anything.
MAX_IDLE_ROUNDS = 50
SERVED_LIMIT_S = 25
PEAK_FIELD = 'VmHWM:'
KIB = 1024


def peak_bytes(pid):
    """Return the peak resident memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text('utf-8')
    fields = status.split()
    return int(fields[fields.index(PEAK_FIELD) + 1]) * KIB


def descriptor_count(pid):
    """Return the number of open descriptors of a process."""
    return sum(1 for _entry in pathlib.Path(f'/proc/{pid}/fd').iterdir())


@attrs.define
class Member:
    """One connection of a crowd, and the bytes that it has yet to send."""

    connection: socket.socket
    left: memoryview = memoryview(b'')
    is_closed: bool = False

    def send(self, most_bytes):
        """Send some of what is left; return whether any was taken."""
        try:
            sent = self.connection.send(self.left[:most_bytes])
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
            self.left = memoryview(b'')
            return False
        self.left = self.left[sent:]
        return True

    def has_input(self):
        """Return whether a response, or the close, has begun to arrive."""
        with contextlib.suppress(BlockingIOError, OSError):
            self.connection.recv(1, socket.MSG_PEEK)
            return True
        return self.is_closed


@attrs.define
class Crowd:
    """Connections of one caller address to an agent.

    `max_descriptors` is the most descriptors that the agent was seen with.
    """

    address: str
    pid: int
    members: list[Member] = attrs.Factory(list)
    max_descriptors: int = 0

    async def connect(self, count):
        """Open more connections, and return them."""
        opened_members = []
        target = addresses.split_address(self.address)
        for _ in range(count):
            opened = socket.socket()
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            opened.setblocking(False)
            opened_members.append(Member(opened))
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(opened, target)
        self.members += opened_members
        await self.pause()
        return opened_members

    async def send(self, payload, members=None, most_bytes=SEND_BYTES):
        """Let members, or all, send the payload until nothing more is taken.

        At most `most_bytes` at a time. A member whose connection the agent
        has closed, or leaves unread, sends no more.
        """
        members = members or self.members
        for chosen in members:
            chosen.left = memoryview(b'' if chosen.is_closed else payload)
        idle_rounds = 0
        while idle_rounds < MAX_IDLE_ROUNDS:
            senders = [member for member in members if member.left]
            if not senders:
                return
            taken = [sender.send(most_bytes) for sender in senders]
            idle_rounds = 0 if any(taken) else idle_rounds + 1
            await self.pause()

    async def await_input(self, meanwhile=b''):
        """Wait until each member has got a response or a close.

        Those that have not go on sending `meanwhile`.
        """
        async with asyncio.timeout(SERVED_LIMIT_S):
            while True:
                waiting = [
                    member for member in self.members if not member.has_input()
                ]
                if not waiting:
                    return
                await self.send(meanwhile, waiting)
                await self.pause()

    async def pause(self):
        """Let the agent and its stand-ins run."""
        await asyncio.sleep(POLL_S)
        self.max_descriptors = max(
            self.max_descriptors, descriptor_count(self.pid)
        )

    def close(self):
        """Close all connections."""
        for member in self.members:
            member.connection.close()


@contextlib.asynccontextmanager
async def besieging(folder, limits, **profile):
    """Yield a lab and a crowd at its agent `m1`, then check that agent.

    It must have kept the limits of its settings, live, and answer one
    ordinary request while the crowd is still connected.
    """
    fields = {'work_ms': 1, **profile}
    async with labs.running(folder, 1, 1, limits=limits, **fields) as lab:
        host = lab.hosts['m1']
        crowd = Crowd(host.caller_address, host.agent.pid)
        try:
            yield lab, crowd
            await lab.wait_until_answered(labs.STATUS_READ, SERVED_LIMIT_S)
            await crowd.pause()
        finally:
            crowd.close()
        assert host.agent.returncode is None
        peak = peak_bytes(crowd.pid)
        assert peak <= limits['memory_mb'] * 10**6, f'{peak} bytes'
        most = crowd.max_descriptors
        assert most <= limits['max_fds'], f'{most} descriptors'
