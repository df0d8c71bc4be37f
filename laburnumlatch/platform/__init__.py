"""Adapter to the platform's HTTP, store and files; makes no decisions."""
