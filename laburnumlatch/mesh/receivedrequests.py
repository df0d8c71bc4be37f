"""Requests of other agents that await their responses."""

import attrs

from laburnumlatch.mesh import messages


@attrs.define(frozen=True)
class ReceivedRequest:
    """A request of another agent, received on its `connection`.

    `number` and `exchange` identify it at that agent.
    """

    connection: object
    number: int
    exchange: int
    body_bytes: int


class ReceivedRequests:
    """The requests of all other agents, by their numbers in this agent.

    Their bodies count in memory until the response is sent.
    """

    def __init__(self, post, numbers, time_source, memory):
        """Pass requests to the systems by `post`.

        `numbers` yields the numbers of requests of this agent, `time_source`
        is a `clock.Clock` and `memory` a `bodymemory.BodyMemory`.
        """
        self._post = post
        self._numbers = numbers
        self._clock = time_source
        self._memory = memory
        self._requests = {}

    def accept(self, connection, forward, waited_ms):
        """Pass on a whole request that was delayed by `waited_ms`."""
        number = next(self._numbers)
        received = ReceivedRequest(
            connection, forward.number, forward.exchange, len(forward.body)
        )
        self._requests[number] = received
        self._memory.hold(received.body_bytes)
        connection.open_requests[forward.number, forward.exchange] = number
        self._post(
            messages.ForwardArrived(
                number,
                connection.host_id,
                forward,
                self._clock.now(),
                waited_ms,
            )
        )

    def cancel(self, number):
        """Cancel a request whose response is no longer needed."""
        if self.take(number) is not None:
            self._post(messages.ForwardCanceled(number))

    def numbers(self):
        """Return the numbers of the requests that have not ended."""
        return tuple(self._requests)

    def find(self, number):
        """Return a `ReceivedRequest`, None if it has ended."""
        return self._requests.get(number)

    def take(self, number):
        """Remove and return a `ReceivedRequest`, None if it has ended."""
        received = self._requests.pop(number, None)
        if received is not None:
            self._memory.release(received.body_bytes)
        return received
