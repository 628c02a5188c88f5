"""Events by which the components of a node tell each other what happened."""

import circuits

__all__ = [
    'log_changed',
    'table_changed',
]


class log_changed(circuits.Event):  # noqa: N801
    """Records of the log changed entities; carries a list of changes."""


class table_changed(circuits.Event):  # noqa: N801
    """A newer table is in force on this node; carries the table."""
