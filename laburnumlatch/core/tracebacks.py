"""What a log line says of an error that no part expects."""

import traceback


def describe(error):
    """Return the fields `detail` and `place` of a log line.

    The place is where the error was raised, as `module.function:line`.
    """
    frames = list(traceback.walk_tb(error.__traceback__))
    place = _describe_frame(*frames[-1]) if frames else ''
    return {'detail': repr(error), 'place': place}


def _describe_frame(frame, line):
    module = frame.f_globals.get('__name__', '').rpartition('.')[2]
    return f'{module}.{frame.f_code.co_qualname}:{line}'
