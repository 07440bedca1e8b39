"""Admission control of a home VM: which request runs where, and when.

Each backend server has one home, the VM whose router admits all requests to
that server, so that one task enforces the server's limits.
"""
