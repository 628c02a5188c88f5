"""A cell: workers and jobs that are managed by one leader at a time."""
