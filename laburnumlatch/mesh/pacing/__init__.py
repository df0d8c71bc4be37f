"""Pace of cold backend servers, and what servers report of their load."""
