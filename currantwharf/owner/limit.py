"""Adaptive concurrency limit of one backend server, based on its own answers."""

from dataclasses import dataclass, field
from statistics import median

COLD_LIMIT = 1.0  # concurrent calls to a server that may be cold
MIN_LIMIT = 0.25  # below 1, the limit is the fraction of time in which one call may run
LIMIT_INCREMENT = 1.0  # added after settled windows at full use
SHED_FACTOR = 0.5
SLOW_ANSWER_FACTOR = 3.0  # times the usual service time; an answer above this is slow
COLD_AFTER_SLOW_ANSWERS = 2  # consecutive slow answers that mark a server as cold
BASELINE_SMOOTHING_FACTOR = 0.1  # weight of a new answer in the usual service time
WINDOW_ANSWERS = 12  # answers in a window, compared by their median service time
SETTLED_RATIO = 0.93  # to the previous median; below it the server is still warming up
MIN_SETTLED_WINDOWS = 2  # consecutive settled windows needed before the limit grows


@dataclass(slots=True)
class ServerLimit:
    """Limit that grows on answers, shrinks on shedding and resets for a cold server.

    The rule is additive increase and multiplicative decrease (Chiu and Jain, 1989),
    with the published slots of the server as the maximum. The service time of a
    server falls while it warms up, so the limit grows only once the median service
    time per window of answers has stopped falling. The median is used because a
    single straggler shifts a mean. A change of boot id or a series of slow answers
    indicates a cold server, regardless of its health endpoint.

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
    _consecutive_slow_answers: int = 0
    _window: list[float] = field(default_factory=list)
    _last_median: float = 0.0
    _settled_windows: int = 0

    def on_good_answer(
        self, service_ms: float, boot_id: str, at_full_use: bool
    ) -> None:
        """Record a successful answer with a service time of `service_ms` milliseconds.

        The limit grows only if all allowed calls were in flight (`at_full_use`).
        """
        if boot_id != self.boot_id:
            self._reset_for_boot(boot_id)
        elif self.usual_ms and service_ms > SLOW_ANSWER_FACTOR * self.usual_ms:
            self._on_slow_answer(service_ms)
            return
        self._consecutive_slow_answers = 0
        self._update_baseline(service_ms)
        if self._record_in_window(service_ms) and at_full_use:
            self.value = min(float(self.slots), self.value + LIMIT_INCREMENT)

    def on_shed(self) -> None:
        """Halve the limit because the server has shed load or timed out."""
        self.value = max(MIN_LIMIT, self.value * SHED_FACTOR)

    def on_lost(self) -> None:
        """Reset to the cold limit because the server is gone or has restarted."""
        self._reset_for_boot("")

    def take_over(self, value: float, boot_id: str) -> None:
        """Adopt the limit of the previous owner, for the same boot of the server."""
        self.value = min(float(self.slots), max(MIN_LIMIT, value))
        self.boot_id = boot_id

    def _reset_for_boot(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.value = min(self.value, COLD_LIMIT)
        self.usual_ms = 0.0
        self._consecutive_slow_answers = 0
        self._last_median = 0.0
        self._window.clear()
        self._settled_windows = 0

    def _on_slow_answer(self, service_ms: float) -> None:
        self._consecutive_slow_answers += 1
        if self._consecutive_slow_answers >= COLD_AFTER_SLOW_ANSWERS:
            # The slower time becomes the usual one. Otherwise a server that stays
            # slow could never grow back to its slots.
            self._reset_for_boot(self.boot_id)
            self.usual_ms = service_ms

    def _record_in_window(self, service_ms: float) -> bool:
        """Add a service time to the window and return whether the limit may grow."""
        self._window.append(service_ms)
        if len(self._window) < WINDOW_ANSWERS:
            return False
        window_median = median(self._window)
        is_settled = 0 < self._last_median * SETTLED_RATIO <= window_median
        self._settled_windows = self._settled_windows + 1 if is_settled else 0
        self._last_median = window_median
        self._window.clear()
        return self._settled_windows >= MIN_SETTLED_WINDOWS

    def _update_baseline(self, service_ms: float) -> None:
        if not self.usual_ms:
            self.usual_ms = service_ms
        self.usual_ms += BASELINE_SMOOTHING_FACTOR * (service_ms - self.usual_ms)
