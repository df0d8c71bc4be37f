"""JSON from outside: every way in which it can be odd is one kind of error."""

import json

from laburnumlatch.core import errors

# Whole numbers up to here are exact in every reader and writer of JSON.
LARGEST = 9_007_199_254_740_992


def decode(body):
    """Return the document in `body`; raise `errors.InvalidInputError`.

    Also refused are numbers that are no numbers or beyond `LARGEST`, and
    documents that are nested too deeply for the parser.
    """
    try:
        return json.loads(
            body, parse_int=_whole, parse_float=_real, parse_constant=_refuse
        )
    except (ValueError, TypeError, RecursionError) as error:
        raise errors.InvalidInputError(f'no JSON: {error!r}') from error


def whole(document, name):
    """Return a field that is a whole number from 0 on."""
    number = document[name]
    if type(number) is not int or number < 0:
        raise errors.InvalidInputError(f'{name} is {number!r}')
    return number


def text(document, name):
    """Return a field that is a text."""
    found = document[name]
    if not isinstance(found, str):
        raise errors.InvalidInputError(f'{name} is {found!r}')
    return found


def _whole(digits):
    return _bounded(int(digits), digits)


def _real(digits):
    return _bounded(float(digits), digits)


def _bounded(number, digits):
    if abs(number) > LARGEST:
        raise errors.InvalidInputError(f'{digits:.20} is too large')
    return number


def _refuse(name):
    raise errors.InvalidInputError(f'{name} is no number')
