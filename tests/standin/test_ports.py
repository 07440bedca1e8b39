"""Tests of the ports of a deployment."""

import pathlib

from berylweir.standin import ports as ports_module

_LOCAL_PORT_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreePorts:
    """Ports for the listeners of a deployment, from `free_ports`."""

    def test_outgoing_connections_dont_take_them(self):
        """Guards against a port that an outgoing connection already uses."""
        lowest_local_port = int(_LOCAL_PORT_RANGE_FILE.read_text().split()[0])
        ports = ports_module.free_ports(100)
        assert len(set(ports)) == 100
        assert max(ports) < lowest_local_port

    def test_ports_arent_given_twice(self):
        """Guards against two deployments that listen on the same port."""
        first = ports_module.free_ports(20)
        assert not set(first) & set(ports_module.free_ports(20))
