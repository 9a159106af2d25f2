"""Which calls to a pressed plain service are sent, decided by each router on its own.

Plain endpoints turn calls away when slots and queue are full, and a call that waits in
a full queue is late. Routers know their own open calls and reports that are several
service times old, and in a large fleet one router has less than one open call at an
endpoint, so none of them could keep to a number of calls. Each refuses instead a
fraction of its calls that grows in proportion to the load it knows of, from a small
queue to a full one. All routers together then settle at the queue at which what is
sent is what the service finishes. The fraction is larger for customers above their
share and smaller for urgent calls. A steep rule would oscillate, as loads are known
late: with 88 calls a second at each endpoint and reports 0.4 s old, a range of 22
calls is the shortest that is stable (delay times gain below half of pi).
"""

__all__ = ["refused_fraction", "retry_pause_s"]

# Open calls per slot from which calls are refused. A queue of half the slots takes
# 30 to 45 ms to drain.
PRESSED_CALLS_PER_SLOT = 1.5
# Open calls per slot at which endpoints turn calls away: 6 slots and a queue of 24.
FULL_CALLS_PER_SLOT = 5.0
# Limits on the factor for a customer that is below or above its share.
MIN_SHARE_FACTOR = 0.3
MAX_SHARE_FACTOR = 6.0
# Factor for calls of priority 0, and the priority from which the factor is 1.
URGENT_FACTOR = 0.5
NORMAL_PRIORITY = 2
# Calls that declined calls wait for before the next attempt, in service times.
PAUSE_SERVICE_TIMES = 1.0
# A declined call is sent again only if so many service times remain after the pause.
MIN_REMAINING_SERVICE_TIMES = 2.0


def refused_fraction(calls_per_slot: float, excess: float, priority: int) -> float:
    """Return the fraction of calls of a kind and customer that are refused.

    Args:
      calls_per_slot: Open calls of all routers relative to the slots.
      excess: The customer's recent use relative to its share.
      priority: Priority of the call; 0 is the most urgent.
    """
    ramp = FULL_CALLS_PER_SLOT - PRESSED_CALLS_PER_SLOT
    base = (calls_per_slot - PRESSED_CALLS_PER_SLOT) / ramp
    if base <= 0:
        return 0.0
    share_factor = min(MAX_SHARE_FACTOR, max(MIN_SHARE_FACTOR, excess * excess))
    urgency = min(1.0, max(0, priority) / NORMAL_PRIORITY)
    urgency_factor = URGENT_FACTOR + (1.0 - URGENT_FACTOR) * urgency
    return min(1.0, base * share_factor * urgency_factor)


def retry_pause_s(
    calls_per_slot: float, service_time_s: float, remaining_s: float
) -> float | None:
    """Return how long a call waits after an endpoint declined it, None if in vain.

    Args:
      calls_per_slot: Open calls of all routers relative to the slots, at the endpoints
        that have not declined the call.
      service_time_s: Time that work takes at an endpoint.
      remaining_s: Time until the call's deadline.
    """
    full = calls_per_slot >= FULL_CALLS_PER_SLOT
    pause_s = PAUSE_SERVICE_TIMES * service_time_s if full else 0.0
    if remaining_s - pause_s < MIN_REMAINING_SERVICE_TIMES * service_time_s:
        return None
    return pause_s
