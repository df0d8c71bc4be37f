"""The agent that owns hash slots by witness leases, with its HTTP interface."""
