"""The node: one process that plays every role of the scheduler."""
