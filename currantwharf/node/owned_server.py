"""A backend server that this instance owns."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.config import BackendServer
from currantwharf.node.interfaces import BackendCalls
from currantwharf.owner import CallResult, ServerScheduler


@dataclass(slots=True)
class OwnedServer:
    """A server's scheduler, its connections, its timer and its running calls.

    `released` is set once another instance owns the server: running calls still end
    here, but no new one starts. `calls` holds the running calls by number;
    `abandoned` holds the numbers of those that were cancelled because their
    connection had gone silent.
    """

    declared: BackendServer
    scheduler: ServerScheduler
    client: BackendCalls
    timer: Any = None
    released: bool = False
    calls: dict[int, "Deferred[CallResult]"] = field(default_factory=dict)
    abandoned: set[int] = field(default_factory=set)
