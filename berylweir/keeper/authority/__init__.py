"""Lease of each partition: holder, standby, takeover and slice moves."""
