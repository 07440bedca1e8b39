"""Tests of the ports of a deployment."""

import json
import pathlib
import subprocess
import sys

from berylweir.standin import ports as ports_module

_LOCAL_PORT_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
# Takes ports as a process with the id 1 would, and keeps running.
_TAKE_PORTS = """
import json, os, sys
os.getpid = lambda: 1
from berylweir.standin import ports
print(json.dumps([ports.free_ports(1)[0] for _ in range(300)]), flush=True)
sys.stdin.read()
"""


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

    def test_processes_choose_the_same_port(self):
        """Guards against a gateway that can't listen, beside another run.

        A port stays free until its listener starts.
        """
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", _TAKE_PORTS],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(2)
        ]
        try:
            first, second = (
                set(json.loads(process.stdout.readline()))
                for process in processes
            )
        finally:
            for process in processes:
                process.communicate()
        assert len(first) == len(second) == 300
        assert not first & second
