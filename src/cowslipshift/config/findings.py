"""What a check of a configuration finds."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cowslipshift.config import exceptions

Severity = Literal["error", "warning"]


class Finding(msgspec.Struct, frozen=True):
    """One finding about an entry.

    Attributes:
        severity: Hosts reject errors, or refuse all requests of the entry;
            warnings may be intended.
        code: A stable identifier of the rule.
        path: Entry and field, as the operators' format names them.
        message: What is wrong.
    """

    severity: Severity
    code: str
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity}: {self.path}: {self.message} [{self.code}]"


class Review(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a check.

    Attributes:
        findings: Errors and warnings.
        changes: What differs from the version in force, one line each;
            ``None`` if there was nothing to compare with.
        skipped: What could not be checked, and why.
        revision: Revision or version of the configuration, if it is valid.
    """

    findings: tuple[Finding, ...]
    changes: tuple[str, ...] | None = None
    skipped: tuple[str, ...] = ()
    revision: int | None = None

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(f.severity == severity for f in self.findings)


def convert_faults(faults: Iterable[exceptions.Fault]) -> Iterator[Finding]:
    """Yield an error for each violation of a rule."""
    for fault in faults:
        yield Finding("error", fault.code, fault.path, fault.message)
