"""Header fields as pairs of name and text, in the order of the message."""

import re

# Characters that would end a field and begin another one.
_LINE_END = re.compile('[\r\n\0]')


def encode_head(first_line, pairs):
    """Return the bytes of a head; fields that contain line ends are left out.

    `first_line` is the request line or status line.
    """
    lines = [f'{name}: {text}' for name, text in pairs]
    kept = [line for line in lines if not _LINE_END.search(line)]
    return '\r\n'.join((first_line, *kept, '\r\n')).encode('latin-1', 'replace')
