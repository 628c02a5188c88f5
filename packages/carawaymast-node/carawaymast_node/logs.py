"""Structured log by eliot, with events only for changes of state."""

import sys
import typing

import eliot

__all__ = ['log_event', 'open_log']


def open_log(path: str) -> None:
    """Write log events to a file, or to stderr for ``-``."""
    if path == '-':
        eliot.to_file(sys.stderr)
        return
    # The file stays open for as long as the process runs.
    eliot.to_file(open(path, 'a'))


def log_event(event_type: str, **fields: typing.Any) -> None:
    """Log an event of ``event_type`` with its fields."""
    eliot.log_message(message_type=f'carawaymast:{event_type}', **fields)
