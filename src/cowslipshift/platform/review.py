"""Checks a platform's configuration before operators write it."""

from __future__ import annotations

import collections
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import difference
from cowslipshift.config import findings
from cowslipshift.config import review
from cowslipshift.platform import codec
from cowslipshift.platform import exceptions
from cowslipshift.platform import names
from cowslipshift.platform import translation
from cowslipshift.steering import changes
from cowslipshift.steering import inspection
from cowslipshift.steering import model

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cowslipshift.platform import store as stores

FIELD_NAMES = {
    "prefix": "prefix",
    "weighted_services": "traffic_split",
    "regions": "allowed_regions",
    "timeout_s": "timeout_ms",
    "attempts": "attempts",
    "rate": "rate_per_s",
    "connection_limit": "max_connections",
}
"""Names of the operators' format by those of `steering.model`."""

SECRET_FIELDS = frozenset({"api_keys"})
SKIPPED_SERVERS = "what depends on servers: no store is given"


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """What a configuration is compared with.

    Attributes:
        configuration: The configuration in force; ``None`` if there is none.
        backends: Backend servers that take requests; ``None`` if unknown.
        regions: Region by data centre, as hosts registered with it.
    """

    configuration: bytes | None
    backends: tuple[model.Backend, ...] | None = None
    regions: dict[str, str] = msgspec.field(default_factory=dict)


def is_platform_configuration(raw: bytes) -> bool:
    """Tell whether a file has the form of a platform's configuration."""
    try:
        fields = msgspec.json.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return False
    return isinstance(fields, dict) and "virtual_hosts" in fields


async def read_deployment(store: stores.PlatformStore) -> Deployment:
    """Read what the store says of the deployment.

    Entries that cannot be read are passed over, as hosts do.

    Raises:
        StoreError: The store did not answer.
    """
    configuration = None
    backends = []
    regions = {}
    for prefix in (
        names.CONFIG_KEY,
        names.BACKEND_PREFIX,
        names.MEMBER_PREFIX,
    ):
        for item in (await store.read_prefix(prefix)).items:
            if item.key == names.CONFIG_KEY:
                configuration = item.value
                continue
            change = None
            with contextlib.suppress(exceptions.MalformedEntryError):
                change = translation.translate_item(item)
            if isinstance(change, changes.BackendChange):
                if change.backend and not change.backend.is_draining:
                    backends.append(change.backend)
            elif isinstance(change, changes.MemberChange) and change.member:
                regions[change.member.data_centre] = change.member.region
    return Deployment(
        configuration=configuration,
        backends=tuple(backends),
        regions=regions,
    )


def review_configuration(
    raw: bytes, deployment: Deployment | None
) -> findings.Review:
    """Check a configuration.

    Args:
        raw: The configuration.
        deployment: What it is compared with, if anything is given.

    Raises:
        MalformedEntryError: The configuration in force cannot be read.
    """
    try:
        document = codec.decode_document(raw)
        configuration = codec.build_configuration(document)
    except exceptions.MalformedEntryError as error:
        finding = findings.Finding(
            "error", error.code, error.path, error.message
        )
        return findings.Review(findings=(finding,))
    found = list(_find_repeated_names(document))
    routes = dict(
        zip(
            _label_paths(document).keys(),
            configuration.routes,
            strict=True,
        )
    )
    subject = inspection.Subject(
        routes=routes,
        accounts={
            f"tenants[{name}]": account
            for name, account in configuration.accounts.items()
        },
        services={
            f"services[{name}]": service
            for name, service in configuration.services.items()
        },
        names_with_key=frozenset(configuration.accounts_by_key.values()),
        field_names=FIELD_NAMES,
        backends=deployment.backends if deployment else None,
        regions=deployment.regions if deployment else {},
    )
    found += inspection.inspect(subject)
    lines = None
    skipped = []
    if deployment is None:
        skipped.append(review.SKIPPED_DIFFERENCE)
    else:
        before: dict[str, dict[str, Any]] = {}
        if deployment.configuration is not None:
            in_force = codec.decode_document(deployment.configuration)
            before = _list_entries(in_force)
        lines = tuple(
            difference.list_entry_changes(
                before, _list_entries(document), SECRET_FIELDS
            )
        )
        if deployment.configuration is not None:
            found += _check_version(
                configuration.version,
                codec.build_configuration(in_force).version,
                bool(lines),
            )
    if subject.backends is None:
        skipped.append(SKIPPED_SERVERS)
    return findings.Review(
        revision=configuration.version,
        findings=tuple(found),
        changes=lines,
        skipped=tuple(skipped),
    )


def _find_repeated_names(
    document: codec.Document,
) -> Iterator[findings.Finding]:
    sections: dict[str, Iterable[codec.Service | codec.Tenant]] = {
        "services": document.services,
        "tenants": document.tenants,
    }
    for section, entries in sections.items():
        counts = collections.Counter(entry.name for entry in entries)
        for name, count in counts.items():
            if count > 1:
                yield findings.Finding(
                    "error",
                    "name_repeated",
                    f"{section}[{name}]",
                    f"is given {count} times; only the last one applies",
                )
    owners: dict[str, str] = {}
    for tenant in document.tenants:
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                yield findings.Finding(
                    "error",
                    "key_repeated",
                    f"tenants[{tenant.name}].api_keys",
                    f"has a key of tenants[{owner}], which loses it",
                )


def _check_version(
    new: int, in_force: int, has_changes: bool
) -> Iterator[findings.Finding]:
    if new < in_force or (new == in_force and has_changes):
        yield findings.Finding(
            "error",
            "version_not_newer",
            "version",
            f"hosts ignore {new:08x}, because {in_force:08x} is in force",
        )


def _label_paths(document: codec.Document) -> dict[str, codec.Path]:
    """Return the routes by path, in their order; repeated names get a number.

    Names of routes are unique in neither a host nor the configuration.
    """
    labelled: dict[str, codec.Path] = {}
    counts: collections.Counter[str] = collections.Counter()
    for host in document.virtual_hosts:
        for path in host.paths:
            label = f"virtual_hosts[{host.hostname}].paths[{path.name}]"
            counts[label] += 1
            if counts[label] > 1:
                label += f"#{counts[label]}"
            labelled[label] = path
    return labelled


def _list_entries(document: codec.Document) -> dict[str, dict[str, Any]]:
    entries: dict[str, Any] = {"limits": document.limits}
    entries.update(_label_paths(document))
    for service in document.services:
        entries[f"services[{service.name}]"] = service
    for tenant in document.tenants:
        entries[f"tenants[{tenant.name}]"] = tenant
    return {
        path: msgspec.to_builtins(entry) for path, entry in entries.items()
    }
