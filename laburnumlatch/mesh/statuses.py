"""Status codes of responses that end a request."""

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


def is_final(status):
    """Return whether a status code is that of a complete response."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS
