"""Human-readable explanation of what happened to a call."""

from cranberrysail.decisions.callhistory import CallHistory

__all__ = ["explain_call"]


def explain_call(history: CallHistory) -> list[str]:
    """Return the history of a call as lines in chronological order.

    Args:
      history: The history of the call.
    """
    head = (
        f"Request {history.request_id} from customer {history.customer} "
        f"arrived on route {history.route}."
    )
    return [head, *history.format_steps()]
