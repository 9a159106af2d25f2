"""Rendezvous hashing, and hash keys of chats."""

import math
from collections.abc import Iterable
from hashlib import blake2b

import xxhash

__all__ = ["highest_ranked", "chat_key", "rank", "rank_weighted"]

_CHAT_KEY_BYTES = 8
# Number of values of a 64-bit hash.
_HASH_VALUES = float(2**64)


def chat_key(customer: str, chat_id: str) -> int:
    """Return the 64-bit key of a chat.

    Args:
      customer: Name of the customer; hashed too, so that equal ids of different
        customers give different keys.
      chat_id: Identifier of the chat, unique for the customer.
    """
    digest = blake2b(digest_size=_CHAT_KEY_BYTES)
    digest.update(customer.encode())
    digest.update(b"\0")
    digest.update(chat_id.encode())
    return int.from_bytes(digest.digest(), "big")


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{name}".encode())


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest rendezvous score for a key, if any."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of rendezvous score for a key."""
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def rank_weighted(key: int, weights: dict[str, float]) -> list[str]:
    """Return the names in descending order of weighted rendezvous score.

    Each name ranks first for a share of all keys in proportion to its weight.

    Args:
      key: 64-bit key.
      weights: Weight by name; names with a weight of zero or less are omitted.
    """
    scores = []
    for name, weight in weights.items():
        if weight <= 0:
            continue
        # Uniform in (0, 1), so that the logarithm is finite and not zero.
        uniform = (xxhash.xxh64_intdigest(name.encode(), seed=key) + 1) / (
            _HASH_VALUES + 2
        )
        scores.append((-weight / math.log(uniform), name))
    scores.sort(reverse=True)
    return [name for _, name in scores]
