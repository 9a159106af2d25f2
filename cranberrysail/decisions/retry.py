"""Token bucket that limits retries to a fraction of the calls that arrive."""

__all__ = ["RetryBudget"]

# Largest burst of retries.
MAX_TOKENS = 20.0


class RetryBudget:
    """Budget to which each call adds a fraction of a retry."""

    def __init__(self, retries_per_call: float) -> None:
        """Create a full budget.

        Args:
          retries_per_call: Retries allowed per call that arrives.
        """
        self._retries_per_call = retries_per_call
        self.tokens = MAX_TOKENS if retries_per_call > 0 else 0.0

    def earn(self) -> None:
        """Add the fraction of a retry that a new call allows."""
        self.tokens = min(MAX_TOKENS, self.tokens + self._retries_per_call)

    def spend(self) -> bool:
        """Withdraw one retry if the budget allows it, and return whether it did."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
