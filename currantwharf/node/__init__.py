"""The running process: tasks that own their state and talk by messages."""

from currantwharf.node.instance import Instance
from currantwharf.node.serve import listen, serve
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.component_log import part_log, set_up_logs

__all__ = [
    "Instance",
    "SystemClock",
    "listen",
    "part_log",
    "serve",
    "set_up_logs",
]
