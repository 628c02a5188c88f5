"""Measurements; each prints its figures and its baseline from one run."""
