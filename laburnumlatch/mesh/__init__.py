"""The router beside backend servers: key ranges, leases, requests."""
