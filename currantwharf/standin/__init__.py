"""Small stand-ins for the platform and the backend servers, for demos and tests."""

from currantwharf.standin.backend import Backend, BackendStats, Work
from currantwharf.standin.backend_server import backend_resource
from currantwharf.standin.fault import Fault
from currantwharf.standin.platform import Platform, PlatformValue, platform_resource

__all__ = [
    "Backend",
    "BackendStats",
    "Fault",
    "Platform",
    "PlatformValue",
    "Work",
    "backend_resource",
    "platform_resource",
]
