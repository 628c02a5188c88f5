"""The node's part in serving cells: intake, leading, views of jobs."""
