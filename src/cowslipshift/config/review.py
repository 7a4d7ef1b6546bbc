"""Checks a configuration document before it is stored."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cowslipshift.config import difference
from cowslipshift.config import document
from cowslipshift.config import edits
from cowslipshift.config import exceptions
from cowslipshift.config import findings
from cowslipshift.config import inspection
from cowslipshift.config import weights

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cowslipshift.config import model

SKIPPED_DIFFERENCE = "what differs: no configuration to compare with"


def review_document(
    raw: bytes, in_force: model.Configuration | None, wall_s: float
) -> findings.Review:
    """Check a document.

    Args:
        raw: The document.
        in_force: The configuration that it would replace, if known.
        wall_s: Unix time in seconds.
    """
    try:
        new = document.decode_document(raw)
    except exceptions.InvalidConfigurationError as error:
        return findings.Review(
            findings=tuple(findings.convert_faults(error.faults))
        )
    except exceptions.OversizedConfigurationError as error:
        finding = findings.Finding("error", error.code, "$", error.message)
        return findings.Review(findings=(finding,))
    found = list(inspect(new))
    if in_force is None:
        return findings.Review(
            revision=new.revision,
            findings=tuple(found),
            skipped=(SKIPPED_DIFFERENCE,),
        )
    try:
        edits.replace_document(new)(in_force)
        weights.check_transition(in_force, new, wall_s)
    except exceptions.InvalidConfigurationError as error:
        found += findings.convert_faults(error.faults)
    return findings.Review(
        revision=new.revision,
        findings=tuple(found),
        changes=tuple(difference.list_changes(in_force, new)),
    )


def inspect(configuration: model.Configuration) -> Iterator[findings.Finding]:
    """Yield what is valid in a configuration but cannot take effect."""
    slots: collections.Counter[str] = collections.Counter()
    counts = {s.name: 0 for s in configuration.services}
    for server in configuration.servers:
        if server.state == "active":
            counts[server.service] += 1
            slots[server.service] += server.slots
    yield from inspection.find_services_without_servers(
        {f"services[{name}]": count for name, count in counts.items()}
    )
    keyed = {k.account for k in configuration.keys if k.state == "active"}
    for account in configuration.accounts:
        path = f"accounts[{account.name}]"
        total = sum(slots[name] for name in account.services or counts)
        yield from inspection.inspect_account(
            inspection.Account(
                path=path,
                quota_path=f"{path}.burst",
                has_key=account.name in keyed,
                quota=account.burst,
                capacity=total * (1 + configuration.defaults.queue_per_slot),
                unit="requests at once",
            )
        )
        if account.burst < 1.0:
            yield findings.Finding(
                "warning",
                "burst_below_one",
                f"{path}.burst",
                "no request is admitted, because a whole one never fits",
            )
    yield from _inspect_exceptions(configuration)


def _inspect_exceptions(
    configuration: model.Configuration,
) -> Iterator[findings.Finding]:
    regions = {c.name: c.region for c in configuration.data_centres}
    services = {a.name: a.services for a in configuration.accounts}
    for override in configuration.exceptions:
        path = f"exceptions[{override.id}]"
        if (
            override.until_ms is not None
            and override.until_ms <= override.since_ms
        ):
            yield findings.Finding(
                "warning",
                "exception_unused",
                f"{path}.until_ms",
                "is never in force: it ends before it starts",
            )
        scope = override.scope
        if not any(
            scope.service in (None, server.service)
            and scope.region in (None, regions[server.data_centre])
            and scope.server in (None, server.name)
            and scope.version in (None, server.version)
            and _may_use(services, scope.account, server.service)
            for server in configuration.servers
        ):
            yield findings.Finding(
                "warning",
                "exception_unused",
                f"{path}.scope",
                "never applies: no server meets all of it",
            )


def _may_use(
    services: dict[str, tuple[str, ...]], account: str | None, service: str
) -> bool:
    allowed = services[account] if account is not None else ()
    return not allowed or service in allowed
