"""One cell: its workers and jobs, decided by one leader at a time."""
