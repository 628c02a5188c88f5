"""Structured logs by eliot: lines only for changes of state."""

import sys
import typing

import eliot

__all__ = ['log_event', 'open_log']


def open_log(path: str) -> None:
    """Send the log lines to a file, or to stderr for ``-``."""
    if path == '-':
        eliot.to_file(sys.stderr)
        return
    # The file stays open for as long as the process runs.
    eliot.to_file(open(path, 'a'))


def log_event(event_type: str, **fields: typing.Any) -> None:
    """Log that a part of the node's state has changed."""
    eliot.log_message(message_type=f'carawaymast:{event_type}', **fields)
