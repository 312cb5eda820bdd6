"""A mapping that keeps a bounded number of entries, those that were used last."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

Value = TypeVar("Value")


class RecentlyUsed(Generic[Value]):
    """Values by name; the one that was not used for longest gives way to a new one.

    The load: names come from outside and change for ever, such as those of the routes
    of a storm of configurations. `on_dropped` is called with each name that gives way.

    >>> recent = RecentlyUsed(2)
    >>> [recent.get_or_add(name, list) for name in ("a", "b", "a", "c")]
    [[], [], [], []]
    >>> "a" in recent, "b" in recent
    (True, False)
    """

    def __init__(
        self, max_size: int, on_dropped: Callable[[str], None] = lambda name: None
    ) -> None:
        self._max_size = max_size
        self._on_dropped = on_dropped
        self._values: OrderedDict[str, Value] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def __len__(self) -> int:
        return len(self._values)

    def get_or_add(self, name: str, make: Callable[[], Value]) -> Value:
        """Return the value of a name, made anew if there is none, as used just now."""
        value = self._values.get(name)
        if value is not None:
            self._values.move_to_end(name)
            return value
        value = self._values[name] = make()
        if len(self._values) > self._max_size:
            self._on_dropped(self._values.popitem(last=False)[0])
        return value
