"""Outcomes of calls at the endpoints of a service: answers and crashes."""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field

__all__ = ["ServiceOutcomes"]

# The share of calls that meet a crash is that of this last time, in which this number
# of answers beyond those that were seen is assumed.
OUTCOME_WINDOW_S = 10.0
ASSUMED_ANSWERS = 20
# Number of answers of each second whose content is kept, and for how many seconds.
SAMPLED_ANSWERS_PER_S = 3
SAMPLE_MEMORY_S = 30


@dataclass
class ServiceOutcomes:
    """Outcomes of this router's last calls at the endpoints of one service.

    Attributes:
      answers: Second and number of answers in it, oldest first.
      crashes: Time of each crash and calls that were unanswered at it, by hash value of
        the endpoint's incarnation.
      samples: Time and content of some answers.
    """

    answers: deque[list[int]] = field(default_factory=deque)
    crashes: dict[int, tuple[float, int]] = field(default_factory=dict)
    samples: deque[tuple[float, frozenset[str]]] = field(
        default_factory=lambda: deque(maxlen=SAMPLED_ANSWERS_PER_S * SAMPLE_MEMORY_S)
    )

    def add_answer(self, content_ids: tuple[str, ...], now: float) -> None:
        """Add the answer to a call with some content."""
        second = int(now)
        if not self.answers or self.answers[-1][0] != second:
            self.answers.append([second, 0])
            self._forget_old(now)
        self.answers[-1][1] += 1
        if self.answers[-1][1] <= SAMPLED_ANSWERS_PER_S:
            self.samples.append((now, frozenset(content_ids)))

    def add_crash(self, incarnation: int, at_s: float, calls: int, now: float) -> None:
        """Add a crash at which a number of calls were unanswered."""
        self._forget_old(now)
        self.crashes[incarnation] = (at_s, calls)

    def _forget_old(self, now: float) -> None:
        while self.answers and self.answers[0][0] < now - OUTCOME_WINDOW_S:
            self.answers.popleft()
        for incarnation, (at_s, _) in list(self.crashes.items()):
            if at_s < now - OUTCOME_WINDOW_S:
                del self.crashes[incarnation]

    def crash_share(self, excluded: Set[int]) -> float:
        """Return the share of calls that met a crash, without the excluded ones."""
        lost = sum(
            calls for key, (_, calls) in self.crashes.items() if key not in excluded
        )
        answers = sum(count for _, count in self.answers)
        return lost / (lost + answers + ASSUMED_ANSWERS)
