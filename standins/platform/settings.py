"""Settings files as the platform writes them for agents."""

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
FIRST_PEER_PORT = 7380


def render(host, store_address):
    """Return the settings of the agent of a `deployment.Host`."""
    kind = host.backend.profile
    return SETTINGS.format(
        host_id=host.host_id,
        ip_text=host.ip_text,
        domain=kind.domain,
        service=kind.service,
        backend_address=host.backend.address,
        caller_address=host.caller_address,
        ready_address=host.ready_address,
        control_address=host.control_address,
        peer_port=FIRST_PEER_PORT,
        store_address=store_address,
    )
