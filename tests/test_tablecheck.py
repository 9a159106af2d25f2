"""Checks of tables before they are sent: what is found, and what sound tables give."""

import json

import pytest

from cranberrysail.tablereport import check_files
from tests.router.simulatedfleet import make_config
from tests.test_cli import run


def write(path, document):
    """Write a document as JSON, or text as it is, and return the path."""
    text = document if isinstance(document, str) else json.dumps(document)
    path.write_text(text)
    return path


def edited(edit):
    """Return sound tables after a change."""
    document = make_config()
    edit(document)
    return document


def set_in(section, number, **values):
    """Return a change of one entry."""
    return lambda document: document[section][number].update(values)


def append_to(section, **entry):
    """Return a change that appends an entry like the first one."""
    return lambda document: document[section].append(document[section][0] | entry)


def split(*weights):
    """Return a change that splits a route's calls between services."""
    names = ("plain", "engines", "plain")
    pairs = zip(names, weights, strict=False)
    services = [{"service": name, "weight": weight} for name, weight in pairs]
    return set_in("routes", 3, traffic_split=services)


def test_sound_tables_have_no_findings(tmp_path):
    """Guards against findings that operators learn to ignore."""
    report = check_files(write(tmp_path / "t.json", make_config()), None)
    assert (report.findings, report.errors, report.exit_status) == ([], [], 0)


PROBLEMS = {
    "same-host-and-prefix": (
        append_to("routes", name="chat2", host="H.example"),
        ("unreachable", "route 'chat'", "route 'chat2' replaces it"),
    ),
    "prefix-without-slash": (
        set_in("routes", 2, path_prefix="/book"),
        ("unreachable", "route 'book'", "slash"),
    ),
    "host-with-port": (
        set_in("routes", 2, host="h.example:80"),
        ("unreachable", "route 'book'", "port"),
    ),
    "no-host": (
        set_in("routes", 2, host=""),
        ("unreachable", "route 'book'", "host"),
    ),
    "query": (
        set_in("routes", 2, path_prefix="/a?b/"),
        ("unreachable", "route 'book'", "path"),
    ),
    "unknown-service": (
        set_in("routes", 2, service="plane"),
        ("error", "route 'book'", "'plane' is unknown"),
    ),
    "no-service": (
        set_in("routes", 2, service=None),
        ("error", "route 'book'", "no service"),
    ),
    "unused-service": (
        append_to("services", name="spare"),
        ("unreachable", "service 'spare'", "no route"),
    ),
    "all-weights-zero": (split(0, 0), ("error", "route 'look'", "weights")),
    "negative-weight": (split(2, -1), ("error", "route 'look'", "weights")),
    "one-weight-zero": (split(1, 0), ("unreachable", "route 'look'", "weight 0")),
    "two-weights": (split(1, 1, 1), ("duplicate", "route 'look'", "2 weights")),
    "target-above-timeout": (
        set_in("routes", 2, target_latency_ms=5000),
        ("contradiction", "route 'book'", "5 s, is above the timeout, 4 s"),
    ),
    "no-timeout": (
        set_in("routes", 2, timeout_ms=0),
        ("error", "route 'book'", "timeout"),
    ),
    "no-target": (
        set_in("routes", 2, target_latency_ms=0),
        ("error", "route 'book'", "target latency"),
    ),
    "attempts-of-calls-that-run-once": (
        set_in("routes", 2, max_attempts=3),
        ("contradiction", "route 'book'", "at most once"),
    ),
    "resumption-without-attempts": (
        set_in("routes", 1, max_attempts=1),
        ("contradiction", "route 'resumable'", "one attempt"),
    ),
    "resumption-of-no-stream": (
        set_in("routes", 2, stream_resumption=True),
        ("contradiction", "route 'book'", "no stream"),
    ),
    "priority-of-route": (
        set_in("routes", 2, priority=10),
        ("contradiction", "route 'book'", "priority 10"),
    ),
    "priority-of-customer": (
        set_in("tenants", 0, priority=-1),
        ("contradiction", "customer 'guide'", "priority -1"),
    ),
    "no-connections": (
        set_in("services", 1, connection_limit=0),
        ("contradiction", "service 'plain'", "0 connections"),
    ),
    "slots-above-connections": (
        set_in("services", 0, connection_limit=10),
        ("contradiction", "service 'engines'", "64 slots"),
    ),
    "negative-cold-rate": (
        set_in("services", 0, cold_per_s=-1),
        ("error", "service 'engines'", "below 0"),
    ),
    "limit-of-heads": (
        lambda document: document["limits"].update(max_header_bytes=0),
        ("error", "limits", "max_header_bytes"),
    ),
    "limit-of-bodies": (
        lambda document: document["limits"].update(max_body_bytes=-1),
        ("error", "limits", "max_body_bytes"),
    ),
    "two-routes-of-a-name": (
        append_to("routes", path_prefix="/other/"),
        ("duplicate", "route 'chat'", "2 entries"),
    ),
    "two-services-of-a-name": (
        append_to("services"),
        ("duplicate", "service 'engines'", "2 entries"),
    ),
    "key-of-two-customers": (
        append_to("tenants", name="other"),
        ("duplicate", "customer 'other'", "belongs to 'guide'"),
    ),
    "empty-key": (
        set_in("tenants", 0, api_keys=["k1", ""]),
        ("error", "customer 'guide'", "empty key"),
    ),
    "key-with-spaces": (
        set_in("tenants", 0, api_keys=["k1", " k2"]),
        ("unreachable", "customer 'guide'", "characters"),
    ),
    "no-key": (
        append_to("tenants", name="other", api_keys=[]),
        ("unreachable", "customer 'other'", "no key"),
    ),
}


@pytest.mark.parametrize(("edit", "expected"), PROBLEMS.values(), ids=PROBLEMS)
def test_each_problem_is_found_once_and_alone(tmp_path, edit, expected):
    """Guards against tables that routers apply, but that do not what they say."""
    report = check_files(write(tmp_path / "t.json", edited(edit)), None)
    kind, where, part = expected
    (finding,) = report.findings
    assert (finding.kind, finding.where) == (kind, where)
    assert part in finding.problem
    assert report.exit_status == 1


def test_repeated_members_are_found(tmp_path):
    """Guards against entries of which routers silently take the last value."""
    text = json.dumps(make_config())
    text = text.replace(
        '"name": "chat"', '"name": "chat", "priority": 1, "priority": 2'
    )
    report = check_files(write(tmp_path / "t.json", text), None)
    (finding,) = report.findings
    assert finding.where == "object 'chat'"
    assert "'priority' is given 2 times" in finding.problem


def test_keys_are_not_printed(tmp_path):
    """Guards against secrets in logs of the command."""
    before = write(tmp_path / "a.json", make_config())
    document = edited(set_in("tenants", 0, api_keys=["new-key", " new-key"]))
    report = check_files(write(tmp_path / "b.json", document), before)
    for text in (report.to_text(), report.to_json()):
        assert "new-key" not in text
        assert "k1" not in text


def test_differences_alone_are_no_problem(tmp_path):
    """Guards against an exit status that fails for each proper change."""
    before = write(tmp_path / "a.json", make_config())

    def edit(document):
        document["version"] = 2
        document["routes"][2]["timeout_ms"] = 5000
        document["routes"].pop(1)
        document["services"][1]["connection_limit"] = 200
        document["limits"]["max_body_bytes"] = 20000
        document["tenants"][0]["api_keys"] = ["k2"]

    report = check_files(write(tmp_path / "b.json", edited(edit)), before)
    assert report.exit_status == 0
    lines = report.to_text().splitlines()
    assert "changed: tables version: 1 -> 2" in lines
    assert "removed: route 'resumable'" in lines
    assert "changed: route 'book' timeout_s: 4.0 -> 5.0" in lines
    assert "changed: service 'plain' max_connections: 100 -> 200" in lines
    assert "changed: limits max_body_bytes: 10000 -> 20000" in lines
    assert sum(line.startswith(("added: key", "removed: key")) for line in lines) == 2
    assert len(report.differences) == 7


@pytest.mark.parametrize("version", [1, 0])
def test_changed_tables_without_a_higher_version_are_found(tmp_path, version):
    """Guards against a change that no router applies."""
    before = write(tmp_path / "a.json", make_config())
    changed = edited(set_in("routes", 2, timeout_ms=5000)) | {"version": version}
    report = check_files(write(tmp_path / "b.json", changed), before)
    assert [finding.where for finding in report.findings] == ["version"]


def test_tables_in_force_do_not_differ_from_themselves(tmp_path):
    """Guards against differences that are none."""
    path = write(tmp_path / "a.json", make_config())
    report = check_files(path, path)
    assert (report.findings, report.differences) == ([], [])


UNREADABLE = [
    "",
    "[",
    "{}",
    '{"version": 1, "routes": [], "services": 1}',
    json.dumps(make_config(version=-1)),
    json.dumps(make_config(extra=[])).replace("[]}", "[" * 5000 + "]" * 5000 + "}"),
]


@pytest.mark.parametrize("text", UNREADABLE)
def test_tables_that_routers_reject_are_unreadable(tmp_path, text):
    """Guards against a trace in place of the reason."""
    sound = write(tmp_path / "a.json", make_config())
    path = write(tmp_path / "b.json", text)
    for report in (check_files(path, None), check_files(sound, path)):
        assert report.exit_status == 2
        assert str(path) in report.to_text()


def test_command_prints_text_or_json_and_exits_by_what_was_found(tmp_path):
    """Guards against a command whose status scripts cannot use."""
    sound = write(tmp_path / "a.json", make_config())
    document = edited(set_in("routes", 2, service="plane")) | {"version": 2}
    faulty = write(tmp_path / "b.json", document)
    assert run("check-tables", sound).returncode == 0
    text = run("check-tables", faulty)
    assert text.returncode == 1
    assert "error: route 'book': service 'plane' is unknown" in text.stdout
    result = run("check-tables", faulty, "--against", sound, "--json")
    assert result.returncode == 1
    report = json.loads(result.stdout)
    assert report["version"] == 2
    assert report["findings"][0]["kind"] == "error"
    assert report["differences"][0]["before"] == "1"
    missing = run("check-tables", tmp_path / "none.json", "--json")
    assert missing.returncode == 2
    assert "check the path" in json.loads(missing.stdout)["errors"][0]
