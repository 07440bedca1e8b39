"""Encodes and decodes what the gateway exchanges with its environment.

Covers the settings file, the object store, and the HTTP messages of callers
and backend servers. Contains no routing or ownership decisions.
"""
