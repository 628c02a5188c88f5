"""The operators' command line interface."""
