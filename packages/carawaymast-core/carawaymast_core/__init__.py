"""Decisions of the scheduler, free of input and output."""
