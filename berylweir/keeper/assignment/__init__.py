"""Placement of standbys on VMs, homes on VMs and slices on backend servers."""
