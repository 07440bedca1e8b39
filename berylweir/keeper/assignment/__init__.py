"""Placement of standbys and homes on VMs, and of slices on backend servers."""
