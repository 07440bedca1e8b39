"""Connections to backend servers and to other routers."""
