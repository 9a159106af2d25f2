"""Rendezvous hashing: routers agree on an order with no message.

Apart from ``cranberrysail.hashing``, whose imports a serving router does not hold.
"""

import xxhash

__all__ = ["score"]


def score(key: str, name: str) -> int:
    """Return how a name ranks for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
