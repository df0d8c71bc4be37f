"""Log set-up: short lines with a fixed prefix for each part."""

import sys

import logbook

FORMAT = (
    '{record.time:%H:%M:%S.%f} {record.level_name:<7} '
    '{record.channel:<9} {record.message}'
)


def logger(part):
    """Return the logger whose lines carry `part` as their prefix."""
    return logbook.Logger(part)


def set_up(level, stream=None):
    """Send lines of `level` (debug, info, warning, error) to a stream.

    The stream is stderr if none is given.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr,
        level=logbook.lookup_level(level.upper()),
        format_string=FORMAT,
    )
    handler.push_application()
    return handler


def decision(log, request, target, reason):
    """Log one routing decision about a `rows.Request` row."""
    log.info(
        'request={} service={} slot={} owner={} epoch={} reason={}',
        request.request_id,
        request.service,
        request.slot,
        target,
        request.epoch,
        reason,
    )
