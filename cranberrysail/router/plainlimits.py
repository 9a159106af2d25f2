"""Which calls to a pressed plain service are sent, decided by each router on its own.

Plain endpoints turn calls away when slots and queue are full, and a call that waits in
a full queue is late. Routers know their own open calls and reports that are several
service times old, and in a large fleet one router has less than one open call at an
endpoint, so none of them could keep to a number of calls. Each refuses instead a
fraction of its calls that grows in proportion to the load it knows of, from some queue
to a full one. All routers together then settle at the queue at which what is sent is
what the service finishes.

The older the reports are, the earlier the fraction must begin to grow: a control loop
with a delay is stable only if delay times gain is below half of pi. Where reports are
new, calls may queue for longer first. The fraction is larger, and begins to grow
earlier, for customers above their share; it is smaller for urgent calls.
"""

import math

__all__ = ["refused_fraction", "retry_pause_s"]

# Open calls per slot at which endpoints turn calls away: 6 slots and a queue of 24.
FULL_CALLS_PER_SLOT = 5.0
# Least and most open calls per slot from which calls are refused. The first is a queue
# of half the slots, which takes 30 to 45 ms to drain. At the second, a call of 75 ms
# is delivered after about 0.24 s, in time for a target of 0.3 s.
MIN_PRESSED_CALLS_PER_SLOT = 1.5
MAX_PRESSED_CALLS_PER_SLOT = 3.25
# Margin of the range over which the fraction grows, as the delay of the loop is longer
# than the mean age of the reports by the time that a call takes.
STABILITY_MARGIN = 1.6
# Limits on the factor for a customer that is below or above its share.
MIN_SHARE_FACTOR = 0.3
MAX_SHARE_FACTOR = 6.0
# Excess from which calls are refused as soon as a service is pressed at all.
FULL_EXCESS = 2.0
# Factor for calls of priority 0, and the priority from which the factor is 1.
URGENT_FACTOR = 0.5
NORMAL_PRIORITY = 2
# Calls that declined calls wait for before the next attempt, in service times.
PAUSE_SERVICE_TIMES = 1.0
# A declined call is sent again only if so many service times remain after the pause.
MIN_REMAINING_SERVICE_TIMES = 2.0


def pressed_from(report_age_s: float, service_time_s: float, excess: float) -> float:
    """Return the open calls per slot from which calls of a customer are refused.

    Args:
      report_age_s: Age of the load reports.
      service_time_s: Time that work takes at an endpoint.
      excess: The customer's recent use relative to its share.
    """
    stable_range = STABILITY_MARGIN * report_age_s / service_time_s * 2.0 / math.pi
    start = min(MAX_PRESSED_CALLS_PER_SLOT, FULL_CALLS_PER_SLOT - stable_range)
    over = min(1.0, max(0.0, (excess - 1.0) / (FULL_EXCESS - 1.0)))
    start -= over * (start - MIN_PRESSED_CALLS_PER_SLOT)
    return max(MIN_PRESSED_CALLS_PER_SLOT, start)


def refused_fraction(
    calls_per_slot: float,
    report_age_s: float,
    service_time_s: float,
    excess: float,
    priority: int,
) -> float:
    """Return the fraction of calls of a kind and customer that are refused.

    Args:
      calls_per_slot: Open calls of all routers relative to the slots.
      report_age_s: Age of the load reports.
      service_time_s: Time that work takes at an endpoint.
      excess: The customer's recent use relative to its share.
      priority: Priority of the call; 0 is the most urgent.
    """
    start = pressed_from(report_age_s, service_time_s, excess)
    base = (calls_per_slot - start) / (FULL_CALLS_PER_SLOT - start)
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
