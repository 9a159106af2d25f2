"""Report on files of tables: reads them, checks them, and prints what was found."""

from pathlib import Path

import msgspec

from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.router.model import RouteTables, TableEntries
from cranberrysail.tablecheck import (
    Difference,
    Finding,
    compare_tables,
    find_problems,
    find_repeated_members,
    find_version_problems,
)

__all__ = ["TableReport", "check_files"]

# Exit statuses of the command.
STATUS_SOUND = 0
STATUS_FINDINGS = 1
STATUS_UNREADABLE = 2


class TableReport(msgspec.Struct):
    """What was found in a file of tables.

    Attributes:
      file: Name of the file.
      against: Name of the file with the tables in force, empty if none is given.
      version: Version of the tables; None if a file cannot be read.
      errors: Why a file cannot be read.
      findings: Problems.
      differences: Differences from the tables in force.
    """

    file: str
    against: str = ""
    version: int | None = None
    errors: list[str] = []
    findings: list[Finding] = []
    differences: list[Difference] = []

    @property
    def exit_status(self) -> int:
        """Return the exit status of the command."""
        if self.errors:
            return STATUS_UNREADABLE
        return STATUS_FINDINGS if self.findings else STATUS_SOUND

    def to_json(self) -> str:
        """Return the report as one line of JSON."""
        return msgspec.json.encode(self).decode()

    def to_text(self) -> str:
        """Return the report as lines of text."""
        if self.errors:
            return "\n".join(self.errors)
        lines = [
            f"{self.file}: {f.kind}: {f.where}: {f.problem}" for f in self.findings
        ]
        lines += [_difference_line(difference) for difference in self.differences]
        lines.append(
            f"{self.file}: version {self.version}, {len(self.findings)} problems"
        )
        if self.against:
            lines[-1] += f", {len(self.differences)} differences from {self.against}"
        return "\n".join(lines)


class _File:
    """A file of tables that was read, or why it was not."""

    def __init__(self, path: Path) -> None:
        self.error = ""
        self.repeated: list[Finding] = []
        self.tables: RouteTables | None = None
        self.entries: TableEntries | None = None
        try:
            data = path.read_bytes()
            decoder = PlatformDecoder()
            self.tables = decoder.decode_tables(data)
            self.entries = decoder.decode_entries(data)
            self.repeated = find_repeated_members(data.decode())
        except OSError as exc:
            self.error = f"{path}: cannot be read ({exc}); check the path"
        except (ValueError, RecursionError) as exc:
            self.error = f"{path}: routers cannot read these tables: {exc}"


def check_files(path: Path, against: Path | None) -> TableReport:
    """Check a file of tables.

    Args:
      path: The file.
      against: File with the tables in force, or None.
    """
    files = [_File(p) for p in (path, against) if p is not None]
    report = TableReport(str(path), str(against or ""))
    report.errors = [file.error for file in files if file.error]
    if report.errors:
        return report
    checked, *others = files
    report.version = checked.tables.version
    report.findings = [
        *checked.repeated,
        *find_problems(checked.tables, checked.entries),
    ]
    for in_force in others:
        report.findings += find_version_problems(checked.tables, in_force.tables)
        report.differences = compare_tables(checked.tables, in_force.tables)
    return report


def _difference_line(difference: Difference) -> str:
    line = f"{difference.change}: {difference.where}"
    if difference.change != "changed":
        return line
    return f"{line}: {difference.before} -> {difference.after}"
