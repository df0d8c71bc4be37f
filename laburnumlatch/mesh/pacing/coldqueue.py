"""System: refuses queued requests that a cold server will not get in time.

They were queued while it was warm. A refusal at once leaves callers and other
agents time to go elsewhere.
"""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.pacing import coldness
from laburnumlatch.mesh.pacing import pace


def run(agent, now):
    """Keep as many requests as the pace lets start in time, in their order."""
    if not len(agent.queue) or not coldness.remaining_ms(agent, now):
        return
    kept = 0
    for request in agent.queue:
        wait_ms = pace.wait_ms(agent, kept)
        work_ms = worktimes.current_work_ms(agent, request)
        if now + wait_ms + work_ms <= request.deadline:
            kept += 1
        else:
            _refuse(agent, request, wait_ms)


def _refuse(agent, request, wait_ms):
    """Refuse a request as not run, or have another host chosen for it.

    The agent that forwarded a request chooses for it, and a key has one owner.
    Without another host the request is refused at once.
    """
    decisions.record(agent, request, 'server-cold', wait_ms=wait_ms)
    reason = messages.Reason.NO_ROOM
    request.tried_hosts.append(agent.host_id)
    is_placed_here = not request.sender and not agent.is_divided(
        request.service
    )
    if is_placed_here and placement.has_ready_untried_host(agent, request):
        requests.park(agent, request, reason)
    else:
        requests.refuse(
            agent, request, reason, agent.wait_policy.retry_after_ms(wait_ms)
        )
