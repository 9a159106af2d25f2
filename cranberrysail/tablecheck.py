"""Checks of the operators' tables before they are sent to routers.

Routers apply any tables that they can decode. What is found here is valid, but has no
effect or another one than it seems to have.
"""

import hashlib
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum

from cranberrysail.router.model import (
    CallerLimits,
    CallKind,
    Customer,
    Route,
    RouteTables,
    Service,
    TableEntries,
)

__all__ = [
    "Difference",
    "Finding",
    "FindingKind",
    "compare_tables",
    "find_problems",
    "find_repeated_members",
    "find_version_problems",
]

# Endpoints are told priorities from 0 to this one; others are cut to it.
LEAST_URGENT = 9
# Digits of the SHA-256 of an API key by which it is named; keys are not printed.
KEY_ID_DIGITS = 12
# Fields by which entries are found, or that are compared in another way.
NOT_COMPARED = frozenset(("name", "_by_host"))


class FindingKind(StrEnum):
    """Kinds of findings, as they are printed.

    Attributes:
      ERROR: Calls fail, or the tables are not applied.
      UNREACHABLE: An entry can never match.
      CONTRADICTION: Limits contradict each other.
      DUPLICATE: Several entries have the same key, and the last one replaces the
        others.
    """

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CONTRADICTION = "contradiction"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem of the tables.

    Attributes:
      where: The entry.
      problem: What is wrong, and what routers do.
    """

    kind: FindingKind
    where: str
    problem: str


@dataclass(frozen=True, slots=True)
class Difference:
    """A difference from the tables in force.

    Attributes:
      where: The entry, and its field if both tables have the entry.
      change: ``added``, ``removed`` or ``changed``.
      before: Value in force, empty if there is none.
      after: New value, empty if there is none.
    """

    where: str
    change: str
    before: str = ""
    after: str = ""


def find_problems(tables: RouteTables, entries: TableEntries) -> list[Finding]:
    """Return the problems of tables.

    Args:
      tables: The tables as routers use them.
      entries: Entries of which the tables have only the last ones.
    """
    return [
        *_check_names("route", (route.name for route in tables.routes)),
        *_check_names("service", (service.name for service in entries.services)),
        *_check_names("customer", (customer.name for customer, _ in entries.customers)),
        *_check_keys(entries),
        *(f for route in tables.routes for f in _check_route(route, tables)),
        *(f for service in entries.services for f in _check_service(service)),
        *_check_unused_services(tables),
        *(f for customer, _ in entries.customers for f in _check_customer(customer)),
        *_check_limits(tables.limits),
    ]


def find_repeated_members(text: str) -> list[Finding]:
    """Return the members that an object of a JSON document has more than once.

    The models of the records take the last one of them.

    Args:
      text: A valid document.
    """
    findings = []

    def check(members: list[tuple[str, object]]) -> dict[str, object]:
        counts = Counter(name for name, _ in members)
        entry = dict(members)
        where = f"object {entry['name']!r}" if "name" in entry else "an object"
        findings.extend(
            Finding(
                FindingKind.DUPLICATE,
                where,
                f"member {name!r} is given {count} times; the last one is used",
            )
            for name, count in counts.items()
            if count > 1
        )
        return entry

    json.loads(text, object_pairs_hook=check)
    return findings


def find_version_problems(new: RouteTables, in_force: RouteTables) -> list[Finding]:
    """Return why routers would not apply tables in place of those in force."""
    if new.version > in_force.version or new == in_force:
        return []
    return [
        Finding(
            FindingKind.ERROR,
            "version",
            f"{new.version} is not above {in_force.version}, which is in force; "
            "routers ignore these tables",
        )
    ]


def compare_tables(new: RouteTables, in_force: RouteTables) -> list[Difference]:
    """Return the differences of tables from those in force."""
    return [
        *_compare_fields("tables", new, in_force, ("version",)),
        *_compare_entries("route", _by_name(new.routes), _by_name(in_force.routes)),
        *_compare_entries("service", new.services, in_force.services),
        *_compare_entries("customer", _customers(new), _customers(in_force)),
        *_compare_entries("key", _keys(new), _keys(in_force)),
        *_compare_fields("limits", new.limits, in_force.limits),
    ]


def _check_names(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Finding(
                FindingKind.DUPLICATE,
                f"{kind} {name!r}",
                f"{count} entries have this name",
            )


def _check_keys(entries: TableEntries) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for customer, keys in entries.customers:
        where = f"customer {customer.name!r}"
        if not keys:
            yield Finding(
                FindingKind.UNREACHABLE, where, "has no key; no call is its own"
            )
        for key in keys:
            if not key:
                yield Finding(
                    FindingKind.ERROR,
                    where,
                    "has an empty key; calls without a key are its own",
                )
            elif key != key.strip() or not (key.isascii() and key.isprintable()):
                yield Finding(
                    FindingKind.UNREACHABLE,
                    where,
                    f"key {_key_id(key)} has characters that no header has",
                )
            if key in owners:
                yield Finding(
                    FindingKind.DUPLICATE,
                    where,
                    f"key {_key_id(key)} belongs to {owners[key]!r}, too; "
                    "the last one is used",
                )
            owners[key] = customer.name


def _key_id(key: str) -> str:
    return f"sha256:{hashlib.sha256(key.encode()).hexdigest()[:KEY_ID_DIGITS]}"


def _check_route(route: Route, tables: RouteTables) -> Iterator[Finding]:
    where = f"route {route.name!r}"
    yield from _check_match(route, where, tables)
    yield from _check_weights(route, where, tables)
    yield from _check_times(route, where)
    yield from _check_attempts(route, where)
    if not 0 <= route.priority <= LEAST_URGENT:
        yield _priority_finding(where, route.priority)


def _check_match(route: Route, where: str, tables: RouteTables) -> Iterator[Finding]:
    found = tables.find(route.host, route.prefix)
    if not route.host:
        problem = "has no host"
    elif not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        problem = f"prefix {route.prefix!r} does not begin and end with a slash"
    elif "?" in route.prefix or "#" in route.prefix:
        problem = f"prefix {route.prefix!r} is not the prefix of a path"
    elif found is None:
        problem = f"host {route.host!r} has a port, which is not compared"
    elif found is not route:
        problem = f"route {found.name!r} replaces it: same host and prefix"
    else:
        return
    yield Finding(FindingKind.UNREACHABLE, where, f"never matches: {problem}")


def _check_weights(route: Route, where: str, tables: RouteTables) -> Iterator[Finding]:
    names = [name for name, _ in route.service_weights]
    weights = [weight for _, weight in route.service_weights]
    for name in dict.fromkeys(names):
        if not name:
            yield Finding(FindingKind.ERROR, where, "has no service; calls get 503")
        elif name not in tables.services:
            yield Finding(
                FindingKind.ERROR,
                where,
                f"service {name!r} is unknown; it is used with default limits",
            )
    if len(weights) == 1:
        return
    if min(weights) < 0 or not sum(weights):
        yield Finding(
            FindingKind.ERROR, where, "weights are negative or all zero; calls fail"
        )
        return
    for name, weight in route.service_weights:
        if not weight:
            yield Finding(
                FindingKind.UNREACHABLE, where, f"service {name!r} has weight 0"
            )
    for name, count in Counter(names).items():
        if count > 1:
            yield Finding(
                FindingKind.DUPLICATE, where, f"service {name!r} has {count} weights"
            )


def _check_times(route: Route, where: str) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield Finding(
            FindingKind.ERROR,
            where,
            "the timeout is not above 0; all calls end at once",
        )
    elif route.target_latency_s > route.timeout_s:
        yield Finding(
            FindingKind.CONTRADICTION,
            where,
            f"the target latency, {route.target_latency_s:g} s, is above the timeout, "
            f"{route.timeout_s:g} s",
        )
    if route.target_latency_s <= 0:
        yield Finding(
            FindingKind.ERROR,
            where,
            "the target latency is not above 0; calls are late",
        )


def _check_attempts(route: Route, where: str) -> Iterator[Finding]:
    if route.max_attempts > 1 and not route.retryable:
        yield Finding(
            FindingKind.CONTRADICTION,
            where,
            f"{route.max_attempts} attempts are allowed, but calls run at most once",
        )
    if not route.resumable:
        return
    if route.kind is not CallKind.STREAM:
        yield Finding(
            FindingKind.CONTRADICTION, where, "can be resumed, but is no stream"
        )
    elif route.max_attempts < 2:
        yield Finding(
            FindingKind.CONTRADICTION,
            where,
            "can be resumed, but only one attempt is allowed",
        )


def _priority_finding(where: str, priority: int) -> Finding:
    return Finding(
        FindingKind.CONTRADICTION,
        where,
        f"priority {priority} is not 0 to {LEAST_URGENT}; the nearest is sent",
    )


def _check_service(service: Service) -> Iterator[Finding]:
    where = f"service {service.name!r}"
    if service.max_connections < 1:
        yield Finding(
            FindingKind.CONTRADICTION,
            where,
            f"{service.max_connections} connections are allowed; routers open one each",
        )
    elif service.engine_slots > service.max_connections:
        yield Finding(
            FindingKind.CONTRADICTION,
            where,
            f"{service.engine_slots} slots cannot be used over "
            f"{service.max_connections} connections",
        )
    for name, value in (
        ("the rate of calls to cold endpoints", service.cold_calls_per_s),
        ("the time until endpoints are warm", service.cold_s),
        ("the number of slots", service.engine_slots),
    ):
        if value < 0:
            yield Finding(FindingKind.ERROR, where, f"{name} is below 0")


def _check_unused_services(tables: RouteTables) -> Iterator[Finding]:
    used = {name for route in tables.routes for name, _ in route.service_weights}
    for name in tables.services:
        if name not in used:
            yield Finding(
                FindingKind.UNREACHABLE, f"service {name!r}", "no route leads to it"
            )


def _check_customer(customer: Customer) -> Iterator[Finding]:
    if customer.priority is not None and not 0 <= customer.priority <= LEAST_URGENT:
        yield _priority_finding(f"customer {customer.name!r}", customer.priority)


def _check_limits(limits: CallerLimits) -> Iterator[Finding]:
    for name, value, effect in (
        ("max_header_bytes", limits.max_header_bytes, "all requests are rejected"),
        ("header_timeout", limits.header_timeout_s, "all requests time out"),
        ("idle_timeout", limits.idle_timeout_s, "connections are closed at once"),
    ):
        if value <= 0:
            yield Finding(
                FindingKind.ERROR, "limits", f"{name} is not above 0; {effect}"
            )
    if limits.max_body_bytes < 0:
        yield Finding(FindingKind.ERROR, "limits", "max_body_bytes is below 0")


def _by_name(routes: Iterable[Route]) -> dict[str, Route]:
    return {route.name: route for route in routes}


def _customers(tables: RouteTables) -> dict[str, Customer]:
    return {customer.name: customer for customer in tables.customers.values()}


def _keys(tables: RouteTables) -> dict[str, str]:
    return {_key_id(key): c.name for key, c in tables.customers.items()}


def _compare_entries(
    kind: str, new: dict[str, object], in_force: dict[str, object]
) -> Iterator[Difference]:
    for name in dict.fromkeys((*in_force, *new)):
        where = f"{kind} {name!r}"
        if name not in new:
            yield Difference(where, "removed")
        elif name not in in_force:
            yield Difference(where, "added")
        elif isinstance(new[name], str):
            if new[name] != in_force[name]:
                yield Difference(where, "changed", str(in_force[name]), str(new[name]))
        else:
            yield from _compare_fields(where, new[name], in_force[name])


def _compare_fields(
    where: str, new: object, in_force: object, names: tuple[str, ...] = ()
) -> Iterator[Difference]:
    for name in names or [f.name for f in fields(new)]:
        before, after = getattr(in_force, name), getattr(new, name)
        if name not in NOT_COMPARED and before != after:
            yield Difference(
                f"{where} {name}", "changed", _as_text(before), _as_text(after)
            )


def _as_text(value: object) -> str:
    return value if isinstance(value, str) else str(value)
