"""Writing of the status of orders to the store, under a condition."""

import asyncio
from collections.abc import Callable

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import InvalidMessageError
from cranberrysail.router.rolloutmodel import RolloutStatus
from cranberrysail.router.rollouts import Rollouts
from cranberrysail.router.rolloutstatuscodec import BaseStatusCodec
from cranberrysail.router.store import (
    BaseStore,
    OffsetConflictError,
    Records,
    StoreError,
    Topic,
)

__all__ = ["StoredRollouts"]

# Interval at which statuses are compared with those in the store.
COMPARE_INTERVAL_S = 0.1
# Each router waits longer by this than the one before it in the order of writers; a
# write usually takes two requests of some milliseconds.
WRITER_DELAY_S = 0.35
# Routers that write at all. If all of them are gone, so is most of the fleet.
WRITERS = 8
# Pause after a failed write. It is short: final states must be in the store before the
# deadline, and at most ``WRITERS`` routers write.
RETRY_S = 0.3
# Attempts of one write that are made at once after another record was appended.
MAX_CONFLICTS = 5


def _content(status: RolloutStatus | None) -> tuple[object, ...] | None:
    """Return what makes two statuses differ for readers."""
    if status is None:
        return None
    phase = None if status.is_final else status.phase
    return status.to, status.duration_s, status.state, phase


class StoredRollouts:
    """Reads statuses from the store, and writes those that this router is to write.

    All routers want the same status. They write in turn, by their rank for its key, so
    that the next one writes if one ended. The store appends only at the offset up to
    which the writer has read, so none replaces a status that it has not seen.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        store: BaseStore,
        codec: BaseStatusCodec,
        rank_of: Callable[[str], int],
        log: DecisionLog,
    ) -> None:
        """Create an instance for one router.

        Args:
          rollouts: The orders.
          store: The store.
          codec: Translates statuses to and from records.
          rank_of: Returns the rank of this router among all routers for a key.
          log: Log of writes and of invalid records.
        """
        self._rollouts = rollouts
        self._store = store
        self._codec = codec
        self._rank_of = rank_of
        self._log = log
        self._wanted_since: dict[str, tuple[object, float]] = {}
        self._retry_at_s: dict[str, float] = {}
        # Services that this router wrote for as those before it did not in time; it
        # does not wait for them again.
        self._stands_in: set[str] = set()

    def is_status_key(self, key: str) -> bool:
        """Return whether the routers' record under a key is the status of an order."""
        return self._codec.is_status_key(key)

    def apply(self, records: Records, is_snapshot: bool = False) -> None:
        """Apply records of statuses.

        Args:
          records: Keys and values, None for a record that was removed.
          is_snapshot: True if they are all that the store has. One that was restored
            may lack some, which are then written again.
        """
        if is_snapshot:
            self._rollouts.forget_stored()
        for key, value in records:
            if value is None:
                continue
            try:
                status = self._codec.decode_status(key, value)
            except InvalidMessageError as exc:
                self._log.write("rollout_rejected", key=key[:64], why=str(exc))
                continue
            self._rollouts.apply_status(status)

    async def run(self) -> None:
        """Write statuses that the store lacks, until cancelled."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            due = self._find_due()
            await asyncio.gather(*(self._write(service) for service in due))

    def _find_due(self) -> list[str]:
        """Return the services whose status this router is to write now."""
        since = {}
        due = []
        for service, status in self._rollouts.wanted().items():
            content = _content(status)
            if content == _content(self._rollouts.stored(service)):
                continue
            known, since_s = self._wanted_since.get(service, (None, now()))
            if known != content:
                since_s = now()
            since[service] = (content, since_s)
            rank = self._rank_of(self._codec.status_key(service))
            if service in self._stands_in:
                rank = 0
            waits_until_s = max(
                since_s + rank * WRITER_DELAY_S, self._retry_at_s.get(service, 0.0)
            )
            if rank < WRITERS and now() >= waits_until_s:
                due.append(service)
        self._wanted_since = since
        return due

    async def _write(self, service: str) -> None:
        for _ in range(MAX_CONFLICTS):
            try:
                if await self._write_once(service):
                    return
            except OffsetConflictError:
                continue
            except StoreError as exc:
                self._log.write("rollout_not_stored", service=service, why=str(exc))
                break
        self._retry_at_s[service] = now() + RETRY_S

    async def _write_once(self, service: str) -> bool:
        """Read the status, and append the wanted one unless it is there.

        Returns:
          Whether nothing is left to write for now.

        Raises:
          OffsetConflictError: If another record was appended since the read.
          StoreError: If the store returns no usable response.
        """
        key = self._codec.status_key(service)
        page = await self._store.read_for_append(Topic.ROUTERS, key)
        self.apply(tuple(r for r in page.records if r[0] == key))
        stored = self._read_status(key, dict(page.records).get(key))
        # What was read may have changed what is wanted.
        wanted = self._rollouts.wanted().get(service)
        if wanted is None or _content(wanted) == _content(stored):
            return True
        if stored is not None and not self._rollouts.may_replace(stored):
            self._log.write(
                "rollout_status_kept",
                service=service,
                to=stored.to,
                state=stored.state.value,
                wanted=wanted.state.value,
            )
            return False
        if wanted.is_final:
            self._stands_in.discard(service)
        else:
            self._stands_in.add(service)
        value = self._codec.encode_status(wanted)
        await self._store.append_at(Topic.ROUTERS, key, value, page.next_offset)
        self._log.write(
            "rollout_stored",
            service=service,
            to=wanted.to,
            state=wanted.state.value,
            phase=wanted.phase.value,
            offset=page.next_offset,
        )
        self._rollouts.apply_status(wanted)
        return True

    def _read_status(self, key: str, value: bytes | None) -> RolloutStatus | None:
        if value is None:
            return None
        try:
            return self._codec.decode_status(key, value)
        except InvalidMessageError:
            return None
