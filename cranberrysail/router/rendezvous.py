"""Rendezvous hashing, by which routers agree on a ranking without coordination.

Its scores differ from those of ``cranberrysail.hashing``.
"""

import xxhash

__all__ = ["score"]


def score(key: str, name: str) -> int:
    """Return the rendezvous score of a name for a key, by which callers rank."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
