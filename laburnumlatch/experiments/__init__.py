"""Seeded workloads on fake clocks, and cost measurements."""
