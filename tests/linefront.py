"""A second front end: a line protocol, in process, over the same systems.

A request is one line `<number> <operation> <key> <id> <attempt> <epoch>`; an
answer is one line `<number> <outcome> <reason or status> <epoch>`.
"""

from laburnumlatch.core import frontends
from laburnumlatch.slots import requestmsg


class LineFront(frontends.FrontEnd):
    """Reads and writes lines; `lines` holds what it has written."""

    kinds = (requestmsg.Relay, requestmsg.Refuse, requestmsg.Replay)

    def __init__(self, post):
        super().__init__(post)
        self.lines = []

    async def start(self):
        """Nothing listens."""

    async def stop(self):
        """Nothing is open."""

    def feed(self, line):
        """Decode one request."""
        number, operation, key, request_id, attempt, epoch = line.split()
        self._post(
            requestmsg.RequestArrived(
                int(number),
                request_id,
                'bokun',
                operation,
                key,
                int(attempt),
                None if epoch == '-' else int(epoch),
            )
        )

    def carry_out(self, message):
        """Encode one outcome."""
        if isinstance(message, requestmsg.Refuse):
            told = f'{message.outcome} {message.reason}'
        elif isinstance(message, requestmsg.Replay):
            told = f'answered {message.answer.status}'
        else:
            told = 'answered relay'
        self.lines.append(f'{message.number} {told} {message.epoch}')
