"""Explaining a call in sentences."""

from cranberrysail.decisions.callrecords import CallRecord

__all__ = ["explain_call"]


def explain_call(record: CallRecord) -> list[str]:
    """Return what was decided about a call, in the order of time.

    Args:
      record: The record of the call.
    """
    head = (
        f"Request {record.request_id} of customer {record.customer} "
        f"came by route {record.route}."
    )
    return [head, *record.sentences()]
