"""Replication of the store: some gateways watch it, the others follow them."""
