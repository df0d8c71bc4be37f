"""Plumbing that every agent shares: loop, tables, store, logs, encoding."""
