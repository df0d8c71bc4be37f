"""Operators' files: check, merge, publish, report."""
