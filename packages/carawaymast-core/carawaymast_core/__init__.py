"""Scheduling logic that performs no input or output."""
