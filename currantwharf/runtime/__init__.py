"""Access to the operating system: clocks, logs and listening sockets."""
