"""The concurrency limit of one backend server, learned from its own answers."""

from dataclasses import dataclass, field
from statistics import median

COLD_LIMIT = 1.0  # requests in flight at a server that may be cold
LEAST_LIMIT = 0.25  # below 1 the limit is the share of time that one request may run
GROWTH = 1.0  # added to the limit after settled windows at full use
SHRINK_ON_SHED = 0.5  # factor
SLOW_FACTOR = 3.0  # times the usual service time
SLOW_ANSWERS_TO_BE_COLD = 2  # slow answers in a row that make a server cold
BASELINE_WEIGHT = 0.1  # of a new answer in the usual service time
WINDOW = 12  # answers whose median service time is compared with the window before
SETTLED_SHARE = 0.93  # of the median before; below it the server still warms up
SETTLED_WINDOWS = 2  # settled windows in a row before the limit grows


@dataclass(slots=True)
class ServerLimit:
    """Grow by good answers, shrink on shedding, start again when the server is cold.

    The rule is additive increase and multiplicative decrease (Chiu and Jain, 1989),
    with the server's published slots as its ceiling. A server that warms up answers
    faster and faster, so the limit grows only once the median service time of a
    window of answers has stopped falling; a median, since one straggler moves a
    mean. A change of boot id or a run of slow answers tells of a cold server,
    whatever its health endpoint says.

    >>> limit = ServerLimit(slots=2)
    >>> for _ in range(36):
    ...     limit.on_good_answer(10.0, "boot-1", at_full_use=True)
    >>> limit.value
    2.0
    >>> limit.on_good_answer(10.0, "boot-2", at_full_use=True)
    >>> limit.value
    1.0
    """

    slots: int
    value: float = COLD_LIMIT
    boot_id: str = ""
    usual_ms: float = 0.0
    _slow_in_a_row: int = 0
    _window: list[float] = field(default_factory=list)
    _last_median: float = 0.0
    _settled: int = 0

    def on_good_answer(
        self, service_ms: float, boot_id: str, at_full_use: bool
    ) -> None:
        """Note an answer that took `service_ms` milliseconds at the server."""
        if boot_id != self.boot_id:
            self._begin_boot(boot_id)
        elif self.usual_ms and service_ms > SLOW_FACTOR * self.usual_ms:
            self._on_slow_answer(service_ms)
            return
        self._slow_in_a_row = 0
        self._learn(service_ms)
        if self._is_settled_after(service_ms) and at_full_use:
            self.value = min(float(self.slots), self.value + GROWTH)

    def on_shed(self) -> None:
        """Halve the limit: the server refused work."""
        self.value = max(LEAST_LIMIT, self.value * SHRINK_ON_SHED)

    def on_lost(self) -> None:
        """Start from the cold limit: the server is gone or has restarted."""
        self._begin_boot("")

    def take_over(self, value: float, boot_id: str) -> None:
        """Begin where the former owner stopped, for the same boot of the server."""
        self.value = min(float(self.slots), max(LEAST_LIMIT, value))
        self.boot_id = boot_id

    def _begin_boot(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.value = min(self.value, COLD_LIMIT)
        self.usual_ms = 0.0
        self._slow_in_a_row = 0
        self._last_median = 0.0
        self._window.clear()
        self._settled = 0

    def _on_slow_answer(self, service_ms: float) -> None:
        self._slow_in_a_row += 1
        if self._slow_in_a_row >= SLOW_ANSWERS_TO_BE_COLD:
            # The slower time becomes usual, so that a server that stays slow can
            # still grow back to its slots.
            self._begin_boot(self.boot_id)
            self.usual_ms = service_ms

    def _is_settled_after(self, service_ms: float) -> bool:
        """Add an answer to the window; return whether the limit may grow now."""
        self._window.append(service_ms)
        if len(self._window) < WINDOW:
            return False
        middle = median(self._window)
        settled = 0 < self._last_median * SETTLED_SHARE <= middle
        self._settled = self._settled + 1 if settled else 0
        self._last_median = middle
        self._window.clear()
        return self._settled >= SETTLED_WINDOWS

    def _learn(self, service_ms: float) -> None:
        if not self.usual_ms:
            self.usual_ms = service_ms
        self.usual_ms += BASELINE_WEIGHT * (service_ms - self.usual_ms)
