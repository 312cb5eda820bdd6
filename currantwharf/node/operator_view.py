"""What the operators' interface shows of an instance."""

from dataclasses import dataclass

from currantwharf.node.instance import Instance
from currantwharf.node.status import describe_instance


@dataclass(frozen=True, slots=True)
class OperatorView:
    """An instance as the operators' interface asks for it."""

    instance: Instance

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to the instance."""
        return self.instance.is_ready()

    def status(self) -> dict[str, object]:
        """Return the state of the instance as plain data for JSON."""
        return describe_instance(self.instance)

    def metrics(self) -> dict[str, object]:
        """Return the counters and histograms as plain data for JSON."""
        return self.instance.metrics()
