"""Parses untrusted JSON; raises `InvalidInputError` if it is invalid."""

import json

from laburnumlatch.core import errors

# 2**53: all integers up to here are exact in every JSON implementation.
MAX_EXACT_INTEGER = 9_007_199_254_740_992


def decode(body):
    """Return the document in `body`; raise `errors.InvalidInputError`.

    Also rejects NaN, infinities, numbers beyond `MAX_EXACT_INTEGER`, and
    documents that are nested too deeply for the parser.
    """
    try:
        return json.loads(
            body,
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
    except (ValueError, TypeError, RecursionError) as error:
        raise errors.InvalidInputError(f'invalid JSON: {error!r}') from error


def get_unsigned_int(document, name):
    """Return a field that must be an integer of at least 0.

    Raises KeyError if it is missing, `errors.InvalidInputError` if it is
    anything else, a bool included.
    """
    number = document[name]
    if type(number) is not int or number < 0:
        raise errors.InvalidInputError(f'{name} is {number!r}')
    return number


def get_text(document, name):
    """Return a field that must be a string.

    Raises KeyError if it is missing, `errors.InvalidInputError` if it is
    anything else.
    """
    text = document[name]
    if not isinstance(text, str):
        raise errors.InvalidInputError(f'{name} is {text!r}')
    return text


def _parse_int(digits):
    return _check_range(int(digits), digits)


def _parse_float(digits):
    return _check_range(float(digits), digits)


def _check_range(number, digits):
    if abs(number) > MAX_EXACT_INTEGER:
        raise errors.InvalidInputError(f'{digits:.20} is too large')
    return number


def _reject_constant(name):
    raise errors.InvalidInputError(f'{name} is not a number')
