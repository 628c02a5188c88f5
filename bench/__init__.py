"""Benchmarks; each prints its figures and a baseline from the same run."""
