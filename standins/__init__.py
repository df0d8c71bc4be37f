"""Stand-ins for the systems around laburnumlatch, and a demo that uses them."""
