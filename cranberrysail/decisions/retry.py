"""A budget that bounds retries to a share of live traffic."""

__all__ = ["RetryBudget"]

MAX_TOKENS = 20.0


class RetryBudget:
    """Earns a fraction of a retry with each call."""

    def __init__(self, share: float) -> None:
        """Create a full budget.

        Args:
          share: Retries that each call earns.
        """
        self._share = share
        self.tokens = MAX_TOKENS if share > 0 else 0.0

    def earn(self) -> None:
        """Note a new call."""
        self.tokens = min(MAX_TOKENS, self.tokens + self._share)

    def spend(self) -> bool:
        """Take one retry and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
