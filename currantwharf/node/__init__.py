"""The running process: tasks that own their state and talk by messages."""

from currantwharf.node.instance import Instance
from currantwharf.node.serve import listen, serve
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.component_log import component_logger, set_up_logs

__all__ = [
    "Instance",
    "SystemClock",
    "listen",
    "component_logger",
    "serve",
    "set_up_logs",
]
