"""The routing state of a router, and how the records of each topic change it."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace

from cranberrysail.router.backgroundtasks import location
from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import InvalidMessageError
from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.model import EndpointRecord, RouteTables
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.quarantinestore import StoredQuarantine, is_quarantine_key
from cranberrysail.router.rolloutmodel import RolloutOrder
from cranberrysail.router.rollouts import Rollouts
from cranberrysail.router.store import Page, Record, Topic
from cranberrysail.router.storedrollouts import StoredRollouts

__all__ = ["BaseRecordDecoder", "RoutingState"]

# Operators' records that a restored store lacks are written again within this time.
OPERATORS_REWRITE_S = 4.0


class BaseRecordDecoder(ABC):
    """Decodes a platform's records."""

    @abstractmethod
    def decode_tables(self, value: bytes) -> RouteTables:
        """Return the decoded route tables.

        Raises:
          InvalidMessageError: If the record is invalid.
        """

    @abstractmethod
    def decode_tables_version(self, value: bytes) -> int:
        """Return the version of route tables, whose other content may be invalid.

        Raises:
          InvalidMessageError: If the record has no version.
        """

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return the decoded declaration of an endpoint.

        Raises:
          InvalidMessageError: If the record is invalid.
        """

    @abstractmethod
    def is_tables_key(self, key: str) -> bool:
        """Return whether the operators' record under a key holds route tables."""

    @abstractmethod
    def service_of_order_key(self, key: str) -> str | None:
        """Return the service that the order under a key is for, or None."""

    @abstractmethod
    def decode_order(self, service: str, value: bytes) -> RolloutOrder:
        """Return the decoded order to move a service to a version.

        Raises:
          InvalidMessageError: If the record is invalid.
        """

    @abstractmethod
    def zone_of_key(self, key: str) -> str | None:
        """Return the availability zone that a key takes out of service, or None."""


@dataclass
class RoutingState:
    """This router's view of tables, endpoints and routers.

    Attributes:
      endpoints: The endpoints.
      routers: The registered routers, including this one.
      log: Log of applied and rejected records.
      decoder: Decodes the platform's records.
      on_tables_changed: Called after newer tables were applied.
      stored_quarantine: Quarantine records, which are in the topic of the routers.
      rollouts: The operators' orders to move services to other versions.
      stored_rollouts: Statuses of these, which are in the topic of the routers.
      tables: Tables of the highest version read, None if there are none yet.
      tables_record: Their record.
      eras: Era of the store of the last snapshot of each topic.
      failed_records: Number of records that raised an unexpected exception.
    """

    endpoints: EndpointDirectory
    routers: RouterDirectory
    log: DecisionLog
    decoder: BaseRecordDecoder
    on_tables_changed: Callable[[], None]
    stored_quarantine: StoredQuarantine
    rollouts: Rollouts
    stored_rollouts: StoredRollouts
    tables: RouteTables | None = None
    tables_record: Record | None = None

    def __post_init__(self) -> None:
        self.eras: dict[Topic, int] = {}
        self.failed_records = 0
        self._loaded = asyncio.Event()
        self._unconfirmed_zones: set[str] = set()
        self._zone_deadline_s = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Return whether all that is needed to place calls has been applied.

        That is tables and a snapshot of the endpoints, and one of the routers, which
        has the content that no endpoint may be sent.
        """
        has_snapshots = Topic.ENDPOINTS in self.eras and Topic.ROUTERS in self.eras
        return self.tables is not None and has_snapshots

    async def wait_until_loaded(self, max_wait_s: float) -> None:
        """Wait until ``is_loaded`` is true, or for a maximum time."""
        try:
            async with asyncio.timeout(max_wait_s):
                await self._loaded.wait()
        except TimeoutError:
            pass

    def apply(self, topic: Topic, page: Page) -> set[int]:
        """Apply a page of records.

        Args:
          topic: The topic from which they were read.
          page: The records.

        Returns:
          Indexes of the records that were not applied, as they are invalid or older
          than what is known of their key.
        """
        try:
            return self._apply_page(topic, page)
        except Exception as exc:
            self.log.write(
                "page_failed", topic=topic.value, why=repr(exc), where=location(exc)
            )
        return self._apply_usable(topic, page)

    def _apply_usable(self, topic: Topic, page: Page) -> set[int]:
        """Apply a page without the records that raise unexpected exceptions."""
        usable = []
        for index, record in enumerate(page.records):
            try:
                self._apply_page(
                    topic, replace(page, records=(record,), is_snapshot=False)
                )
                usable.append(index)
            except Exception as exc:
                self.failed_records += 1
                self.log.write(
                    "record_failed",
                    topic=topic.value,
                    key=record[0][:64],
                    why=repr(exc),
                    where=location(exc),
                )
        records = tuple(page.records[index] for index in usable)
        not_applied = self._apply_page(topic, replace(page, records=records))
        unusable = set(range(len(page.records))).difference(usable)
        return unusable | {usable[index] for index in not_applied}

    def _apply_page(self, topic: Topic, page: Page) -> set[int]:
        restored = page.is_snapshot and page.era > self.eras.get(topic, page.era)
        if topic is Topic.OPERATORS:
            not_applied = self._apply_operators(page, restored)
        elif topic is Topic.ENDPOINTS:
            not_applied = self._apply_endpoints(page, restored)
        else:
            not_applied = self._apply_routers(page, restored)
        if page.is_snapshot:
            self.eras[topic] = page.era
            self.rollouts.endpoints_known = Topic.ENDPOINTS in self.eras
        if self.is_loaded:
            self._loaded.set()
        return not_applied

    def remove_expired(self) -> None:
        """Drop what a store that failed or was restored did not show again in time."""
        time_s = now()
        self.endpoints.remove_expired(time_s)
        self.routers.remove_expired(time_s)
        if time_s < self._zone_deadline_s:
            return
        for zone in sorted(self._unconfirmed_zones):
            self._set_zone_out(zone, False)
        self._unconfirmed_zones.clear()

    def _apply_routers(self, page: Page, restored: bool) -> set[int]:
        quarantine_records = tuple(r for r in page.records if is_quarantine_key(r[0]))
        self.stored_quarantine.apply(quarantine_records, page.is_snapshot)
        is_status_key = self.stored_rollouts.is_status_key
        # Earlier records of a key may be those of an order that was withdrawn.
        statuses = {key: value for key, value in page.records if is_status_key(key)}
        self.stored_rollouts.apply(tuple(statuses.items()), page.is_snapshot)
        indexes = [
            index
            for index, (key, _) in enumerate(page.records)
            if not is_quarantine_key(key) and not is_status_key(key)
        ]
        if not indexes and not page.is_snapshot:
            return set()
        routers = replace(page, records=tuple(page.records[i] for i in indexes))
        rejected = {indexes[i] for i in self.routers.apply(routers, now(), restored)}
        for index in rejected:
            self.log.write("router_entry_rejected", key=page.records[index][0][:64])
        return rejected

    def _apply_operators(self, page: Page, restored: bool) -> set[int]:
        not_applied = self._apply_newest_tables(page)
        if restored:
            self._zone_deadline_s = now() + OPERATORS_REWRITE_S
        zones = {
            zone: value is not None
            for key, value in page.records
            if (zone := self.decoder.zone_of_key(key)) is not None
        }
        self._apply_orders(page)
        self._unconfirmed_zones -= zones.keys()
        if page.is_snapshot:
            missing = self.endpoints.zones_out - zones.keys()
            if now() < self._zone_deadline_s:
                self._unconfirmed_zones |= missing
            else:
                zones |= dict.fromkeys(missing, False)
        for zone, out in zones.items():
            self._set_zone_out(zone, out)
        return not_applied

    def _apply_orders(self, page: Page) -> None:
        orders: dict[str, RolloutOrder | None] = {}
        rejected = set()
        for key, value in page.records:
            service = self.decoder.service_of_order_key(key)
            if service is None:
                continue
            if value is None and not page.is_snapshot:
                # The same order may follow, and is then to be executed again.
                self.rollouts.apply_orders({service: None}, is_snapshot=False)
            try:
                order = self.decoder.decode_order(service, value) if value else None
            except InvalidMessageError as exc:
                # An order that was valid stands until it is withdrawn.
                self.log.write("order_rejected", key=key[:64], why=str(exc))
                rejected.add(service)
                continue
            orders[service] = order
        restored = now() < self._zone_deadline_s
        self.rollouts.apply_orders(orders, page.is_snapshot, restored, rejected)

    def apply_tables(self, record: Record, source: str) -> bool:
        """Apply the tables that a peer has in force, unless they are older.

        Args:
          record: The record of the tables.
          source: Name of the peer.

        Returns:
          Whether they are in force now.
        """
        if not self.decoder.is_tables_key(record[0]):
            return False
        return not self._apply_newest_tables(Page((record,), 0, source=source))

    def _apply_newest_tables(self, page: Page) -> set[int]:
        """Apply the valid tables of the highest version, wherever they stand."""
        indexes = [
            index
            for index, (key, _) in enumerate(page.records)
            if self.decoder.is_tables_key(key)
        ]
        versions = {}
        for index in indexes:
            version = self._tables_version(page.records[index][1])
            if version is not None:
                versions[index] = version
        applied = None
        for index in sorted(versions, key=lambda i: (versions[i], i), reverse=True):
            if self._apply_tables(versions[index], page, index):
                applied = index
                break
        for index, version in versions.items():
            if applied is None or index > applied:
                self._log_older_tables(version, page)
        return set(indexes) - {applied}

    def _tables_version(self, value: bytes | None) -> int | None:
        if value is None:
            return None
        try:
            return self.decoder.decode_tables_version(value)
        except InvalidMessageError as exc:
            self.log.write("tables_rejected", why=str(exc), bytes=len(value))
            return None

    def _log_older_tables(self, version: int, page: Page) -> None:
        if self.tables is not None and version < self.tables.version:
            self.log.write(
                "tables_ignored",
                version=version,
                in_force=self.tables.version,
                **_origin_fields(page),
            )

    def _apply_tables(self, version: int, page: Page, index: int) -> bool:
        """Apply tables unless older ones; return whether they are in force."""
        previous = self.tables.version if self.tables else None
        if previous is not None and version <= previous:
            return version == previous
        value = page.records[index][1]
        try:
            tables = self.decoder.decode_tables(value)
        except InvalidMessageError as exc:
            self.log.write("tables_rejected", why=str(exc), bytes=len(value))
            return False
        self.tables = tables
        self.tables_record = page.records[index]
        self.log.write(
            "tables_applied",
            version=tables.version,
            before=previous,
            routes=len(tables.routes),
            **_origin_fields(page),
        )
        self.on_tables_changed()
        return True

    def _set_zone_out(self, zone: str, out: bool) -> None:
        changed = (
            self.endpoints.exclude_zone(zone)
            if out
            else self.endpoints.restore_zone(zone)
        )
        if changed:
            self.log.write("zone_changed", zone=zone, out=out)

    def _apply_endpoints(self, page: Page, restored: bool) -> set[int]:
        time_s = now()
        not_applied = set()
        for index, (key, value) in enumerate(page.records):
            if value is None:
                self.endpoints.remove(key, time_s)
                continue
            try:
                record = self.decoder.decode_endpoint(key, value)
            except InvalidMessageError as exc:
                self.log.write("declaration_rejected", key=key[:64], why=str(exc))
                not_applied.add(index)
                continue
            if not self.endpoints.declare(record, time_s):
                not_applied.add(index)
                self.log.write(
                    "declaration_ignored",
                    key=key[:64],
                    started_ms=record.started_ms,
                    count=record.sequence,
                    draining=record.draining,
                )
        if page.is_snapshot:
            endpoint_ids = [key for key, value in page.records if value is not None]
            self.endpoints.retain(endpoint_ids, time_s, restored)
        return not_applied


def _origin_fields(page: Page) -> dict[str, object]:
    """Return the log fields that tell where a page was read and how old it may be."""
    return {
        "source": page.source or "store",
        "snapshot": page.is_snapshot,
        "age_s": round(page.age_s, 2),
        "next_offset": page.next_offset,
        "era": page.era,
    }
