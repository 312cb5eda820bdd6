"""A backend server that this instance owns."""

from dataclasses import dataclass
from typing import Any

from currantwharf.config import BackendServer
from currantwharf.node.interfaces import BackendCalls
from currantwharf.owner import ServerGate


@dataclass(slots=True)
class OwnedServer:
    """Hold the gate of a server, its connections and its timer.

    `released` is set once another instance owns the server; calls under way end
    here, and nothing new begins.
    """

    declared: BackendServer
    gate: ServerGate
    client: BackendCalls
    timer: Any = None
    released: bool = False
    busy_s: float = 0.0
