"""What a process needs of its machine: the clocks and the log."""
