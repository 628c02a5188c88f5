"""Small models of the core protocol, checked with z3."""
