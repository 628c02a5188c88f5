"""The core protocol as small models for z3."""
