"""Simulated transport of grants and releases to the backend servers."""

from laburnumlatch.mesh import backendmsg

# Time until the response to a grant or release arrives.
RESPONSE_DELAY_MS = 1


class GrantTransport:
    """Carries grants and releases from the agents to their servers.

    Connections of the hosts in `kept_connections` lead to the next run of the
    server, as through a proxy.
    """

    def __init__(self, fleet):
        """Create the transport for the agents of a `fleetsim.Fleet`."""
        self._fleet = fleet
        # By host, the agent that has connections which carried accepted
        # grants, and the run of the server at their other ends.
        self._connections = {}
        self.kept_connections = set()

    def process_outbox(self, host_id, outbox):
        """Schedule the grants and releases in an agent's outbox."""
        delay_ms = self._fleet.backends[host_id].grant_delay_ms
        for give in outbox.take(backendmsg.GiveGrant):
            if self._lacks_connection(host_id, give):
                self._post_unsent(host_id, give)
            elif self._fleet.backends[host_id].is_reachable:
                self._fleet.schedule(delay_ms, self._grant, host_id, give)
            else:
                self._answer_grant(host_id, give, None)
        for take in outbox.take(backendmsg.TakeBack):
            self._fleet.schedule(
                RESPONSE_DELAY_MS, self._release, host_id, take
            )

    def close_connections(self, host_id):
        """Close the connections that carried accepted grants to a server."""
        self._connections.pop(host_id, None)

    def _lacks_connection(self, host_id, give):
        """Return whether a grant needs a kept connection and there is none."""
        if give.may_connect:
            return False
        backend = self._fleet.backends[host_id]
        agent, life = self._connections.get(host_id, (None, None))
        is_same_run = backend.life == life or host_id in self.kept_connections
        return agent is not self._fleet.agents.get(host_id) or not is_same_run

    def _post_unsent(self, host_id, give):
        unsent = backendmsg.GrantAnswered(give.ticket, None, is_unsent=True)
        self._fleet.schedule(
            RESPONSE_DELAY_MS, self._fleet.post, host_id, unsent
        )

    def _grant(self, host_id, give):
        """Apply a grant that arrives; its response may be lost."""
        backend = self._fleet.backends[host_id]
        is_accepted = backend.grant(give) if backend.is_up else None
        if is_accepted:
            agent = self._fleet.agents.get(host_id)
            self._connections[host_id] = (agent, backend.life)
        if backend.loses_grant_answers or not backend.is_reachable:
            is_accepted = None
        self._answer_grant(host_id, give, is_accepted)

    def _answer_grant(self, host_id, give, is_accepted):
        backend = self._fleet.backends[host_id]
        delay_ms = RESPONSE_DELAY_MS
        if is_accepted is None:
            delay_ms = backendmsg.GRANT_TIMEOUT_MS - backend.grant_delay_ms
        self._fleet.schedule(
            delay_ms,
            self._fleet.post,
            host_id,
            backendmsg.GrantAnswered(give.ticket, is_accepted),
        )

    def _release(self, host_id, take):
        backend = self._fleet.backends[host_id]
        if backend.is_reachable:
            backend.release(take)
            self._answer_release(host_id, take, backend.life)
        else:
            self._post_taken_back(host_id, take, is_answered=False)

    def _answer_release(self, host_id, take, life):
        """Answer a release once the work on its keys has ended."""
        backend = self._fleet.backends[host_id]
        is_in_run = backend.is_up and backend.life == life
        if is_in_run and backend.works_on(take.start, take.end):
            self._fleet.schedule(
                RESPONSE_DELAY_MS, self._answer_release, host_id, take, life
            )
        else:
            self._post_taken_back(host_id, take, is_answered=is_in_run)

    def _post_taken_back(self, host_id, take, *, is_answered):
        token = 'token' if is_answered else ''
        self._fleet.schedule(
            RESPONSE_DELAY_MS,
            self._fleet.post,
            host_id,
            backendmsg.TakenBack(take.ticket, is_answered, token),
        )
