"""The budgets of repeats: how many requests a service may get beyond the first."""

from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.policy.extra_budget import ExtraBudget

# The part of the budget in use; the rest covers differently aligned windows.
BUDGET_RATIO = 0.85


class RepeatBudgets:
    """This instance's share of each service's budget of repeats.

    `share` is the fraction of the fleet's fixed number that this instance may spend;
    the part that is a ratio of the requests is its own.
    """

    def __init__(self, limits: GatewayLimits) -> None:
        self._limits = limits
        self._share = 0.0
        self._budgets: dict[str, ExtraBudget] = {}

    def set_limits(self, limits: GatewayLimits) -> None:
        """Set the limits of the whole fleet; repeats already sent still count."""
        self._limits = limits
        ratio, allowance, window_s = self._budget_limits()
        for budget in self._budgets.values():
            budget.share, budget.allowance = ratio, allowance
            budget.window_s = window_s

    def set_share(self, share: float) -> None:
        """Set the fraction of the fleet's repeats that this instance may spend."""
        self._share = share
        allowance = self._allowance()
        for budget in self._budgets.values():
            budget.allowance = allowance

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service; its budget is a ratio of these."""
        self._get(service).add_sends(1, now)

    def acquire(self, service: str, now: float) -> RepeatRefusal | None:
        """Spend one repeat of a service's budget, or return why it is refused."""
        if self._get(service).try_spend(now):
            return None
        return RepeatRefusal.BUDGET_SPENT

    def _get(self, service: str) -> ExtraBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraBudget(*self._budget_limits())
        return budget

    def _budget_limits(self) -> tuple[float, float, float]:
        ratio = self._limits.repeat_ratio * BUDGET_RATIO
        return ratio, self._allowance(), self._limits.repeat_window_s

    def _allowance(self) -> float:
        return self._limits.repeat_slack * BUDGET_RATIO * self._share
