"""A backend server that this instance owns."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.config import BackendServer
from currantwharf.node.interfaces import BackendCalls
from currantwharf.owner import CallResult, ServerScheduler


@dataclass(slots=True)
class OwnedServer:
    """Hold the gate of a server, its connections and its timer.

    `released` is set once another instance owns the server; calls under way end
    here, and nothing new begins. `calls` are those under way; the `abandoned` ones
    were given up because their connection had gone silent.
    """

    declared: BackendServer
    gate: ServerScheduler
    client: BackendCalls
    timer: Any = None
    released: bool = False
    calls: dict[int, "Deferred[CallResult]"] = field(default_factory=dict)
    abandoned: set[int] = field(default_factory=set)
