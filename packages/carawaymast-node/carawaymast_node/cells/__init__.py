"""The node's side of a cell: intake, leadership and views of jobs."""
