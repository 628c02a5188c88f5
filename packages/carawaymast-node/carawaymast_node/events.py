"""Events that the components of a node fire to notify each other."""

import circuits

__all__ = [
    'log_changed',
    'table_changed',
]


class log_changed(circuits.Event):  # noqa: N801
    """Records of the log changed entities; the argument lists the changes."""


class table_changed(circuits.Event):  # noqa: N801
    """A newer table is in force on this node; the argument is the table."""
