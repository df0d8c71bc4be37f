"""Infrastructure shared by every agent: loop, tables, store, logs, codec."""
