"""Settings files for agents, in the form that the platform writes."""

SETTINGS = """\
[self]
node_name = "{host_id}"
ip = "{ip_text}"
zone = "{domain}"
region = "loopback"
app_address = "{backend_address}"
service = "{service}"
[network]
internal_ports = [{peer_port}, {peer_port}]
[network.listen]
outbound = "{caller_address}"
ready = "{ready_address}"
control = "{control_address}"
[platform.platform]
address = "{store_address}"
[terms.bounds]
grace = "6s"
drain = "2000ms"
"""
PEER_PORT = 7380


def render(host, store_address, limits):
    """Return the text of a settings file for the agent of a host.

    `host` is a `deployment.Host`, `store_address` an `ip:port`. `limits` are
    the numbers of `self.limits`, by name.
    """
    profile = host.backend.profile
    limit_lines = [f'{name} = {number}\n' for name, number in limits.items()]
    text = SETTINGS.format(
        host_id=host.host_id,
        ip_text=host.ip_text,
        domain=profile.domain,
        service=profile.service,
        backend_address=host.backend.address,
        caller_address=host.caller_address,
        ready_address=host.ready_address,
        control_address=host.control_address,
        peer_port=PEER_PORT,
        store_address=store_address,
    )
    return ''.join((text, '[self.limits]\n', *limit_lines))
