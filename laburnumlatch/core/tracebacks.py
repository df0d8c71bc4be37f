"""What a log line says of an error that no part expects."""

import traceback


def describe(error):
    """Return the fields `detail` and `place` of a log line.

    The place is where the error was raised, as `module.function:line`.
    """
    frames = list(traceback.walk_tb(error.__traceback__))
    place = _describe_frame(*frames[-1]) if frames else ''
    return {'detail': repr(error), 'place': place}


def local_values(error, kinds):
    """Return the local variables of some classes where an error was raised.

    They are from all functions between there and where it was caught.
    """
    return [
        local
        for frame, _line in traceback.walk_tb(error.__traceback__)
        for local in frame.f_locals.values()
        if isinstance(local, kinds)
    ]


def _describe_frame(frame, line):
    module = frame.f_globals.get('__name__', '').rpartition('.')[2]
    return f'{module}.{frame.f_code.co_qualname}:{line}'
