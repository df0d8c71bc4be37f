"""Whether a busy host hands a request back, so that another one gets it.

An agent with little traffic knows little of the queues of other hosts: what it
was told last is seconds old. So its requests wait at one host while others have
free slots. A host that would let a request wait hands it back at once, and the
sender then chooses again with a figure that is new.
"""

from laburnumlatch.mesh import counting

# The host after these keeps the request within the bound of its wait policy.
MAX_REDIRECTS = 2
# A shorter wait than this share of the target costs less than another host.
MIN_WAIT_RATIO = 0.1
# Longer bodies cost more on the way than a request waits.
MAX_BODY_BYTES = 16_384


def wait_limit_ms(agent, request, untried_count):
    """Return the longest wait at the next host, in ms, or None.

    `untried_count` is how many hosts are left to choose from. With None the
    wait policy of the host decides alone.
    """
    redirects = len(request.tried_hosts)
    if redirects:
        counting.count(agent, 'requests_redirected', service=request.service)
    may_hand_back = agent.wait_policy.hands_back and untried_count > 1
    if not may_hand_back or redirects >= MAX_REDIRECTS:
        return None
    if len(request.body) > MAX_BODY_BYTES:
        return None
    return int(request.target_ms * MIN_WAIT_RATIO)
