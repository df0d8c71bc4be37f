"""Header fields as pairs of name and text, in the order of the message."""

import re

SEPARATOR = ','
# Characters that would end a field and begin another one.
_LINE_END = re.compile('[\r\n\0]')


def get(pairs, name, default=None):
    """Return the text of a field; of a repeated one, all joined by `,`.

    Names are compared without regard to case.
    """
    name = name.lower()
    size = len(name)
    # Most fields differ in length already, which costs less to compare.
    texts = [
        text
        for field, text in pairs
        if len(field) == size and field.lower() == name
    ]
    return SEPARATOR.join(texts) if texts else default


def encode_head(first_line, pairs):
    """Return the bytes of a head; fields that contain line ends are left out.

    `first_line` is the request line or status line.
    """
    lines = [first_line]
    lines += [
        f'{name}: {text}'
        for name, text in pairs
        if not (_LINE_END.search(name) or _LINE_END.search(text))
    ]
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1', 'replace')
