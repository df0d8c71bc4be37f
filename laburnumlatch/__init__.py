"""A router for backend servers that own keys exclusively."""
