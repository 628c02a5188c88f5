"""Scenarios, random runs and their steps."""
