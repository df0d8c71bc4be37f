"""Operators' files: checking, merging, publishing and reporting."""
