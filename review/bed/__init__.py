"""Stand-ins of the platform for the scripts of the review.

They use the standard library alone, so that they need no build.
"""
