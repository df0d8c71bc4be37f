"""Adapter to the platform: translates its names, decides nothing."""
