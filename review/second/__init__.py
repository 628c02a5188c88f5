"""Test bed of the second review: platform, runners, nodes and callers."""
