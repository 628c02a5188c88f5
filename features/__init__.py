"""Scenarios, their steps, and randomised state machines."""
