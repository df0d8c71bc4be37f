"""Evacuation of failure domains: what may be sent, and which keys leave."""
