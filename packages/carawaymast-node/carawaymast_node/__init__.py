"""The node: one process that runs every role of the scheduler."""
