"""The commands ``cowslipshift move`` and ``cowslipshift shift``."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

import msgspec

from cowslipshift.config import edits
from cowslipshift.config import model
from cowslipshift.config import weights
from cowslipshift.console import fleetstatus
from cowslipshift.console import output
from cowslipshift.console import session
from cowslipshift.console.commands import config
from cowslipshift.console.commands import entries

if TYPE_CHECKING:
    from collections.abc import Sequence

MS_PER_S = 1000
POLL_INTERVAL_S = 0.25
ROLLED_BACK_EXIT_STATUS = 4
UNDECIDED_EXIT_STATUS = 5


class MoveCommand(entries.RemovableEntries):
    """Move the traffic of a service to a new version, with rollback.

    The servers of both versions run side by side during the move.
    """

    _section = "moves"

    def start(
        self,
        service: str,
        to_version: str,
        from_version: str,
        within_s: float,
        reason: str,
        bake_s: float = 30.0,
        early_share: float = 0.05,
        routes: str = "",
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Start a move and print its id.

        Args:
            service: Name of the service.
            to_version: The new version; its servers must be configured.
            from_version: The old version.
            within_s: Seconds in which the move is done or rolled back.
            reason: Reason for the change, shown to other operators.
            bake_s: Seconds that the new version keeps its largest share before
                the move is done.
            early_share: Share of the traffic that the new version gets until
                its results allow more.
            routes: Routes to move, separated by commas; all if empty.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        now_ms = int(time.time() * MS_PER_S)
        entry = model.Move(
            id=uuid.uuid4().hex[:12],
            service=service,
            from_version=str(from_version),
            to_version=str(to_version),
            start_ms=now_ms,
            end_ms=now_ms + int(within_s * MS_PER_S),
            bake_s=float(bake_s),
            early_share=float(early_share),
            routes=tuple(r for r in str(routes).split(",") if r),
            reason=reason,
        )
        edit = edits.add_entry("moves", entry)
        asyncio.run(config.apply_edit(edit, reason, store, author, json))
        if not json:
            print(f"move {entry.id}")

    def status(self, host: str | None = None, json: bool = False) -> None:
        """Show the state of all moves on one host.

        Args:
            host: Base URL of any host.
            json: Print JSON.
        """
        rows = asyncio.run(_fetch_rows(host, "moves"))
        table = [
            ["ID", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "RECORDED", ""]
        ]
        table += [
            [
                row["id"],
                row["service"],
                row["from"],
                row["to"],
                row["phase"],
                f"{row['share']:.0%}",
                "yes" if row["recorded"] else "no",
                row["reason"],
            ]
            for row in rows
        ]
        output.print_result(rows, output.format_table(table), json)

    def wait(
        self,
        id: str,
        host: str | None = None,
        timeout_s: float = 600.0,
        json: bool = False,
    ) -> None:
        """Wait until a move is done or rolled back.

        The exit status is 0 if it is done, 4 if it was rolled back and 5 if
        neither happened before the timeout.

        Args:
            id: Id of the move.
            host: Base URL of any host.
            timeout_s: Seconds to wait.
            json: Print JSON.
        """
        row = asyncio.run(_wait_move(host, str(id), timeout_s))
        if row is None or not row["recorded"]:
            print(
                f"move {id} is neither done nor rolled back yet",
                file=sys.stderr,
            )
            sys.exit(UNDECIDED_EXIT_STATUS)
        output.print_result(
            row, [f"move {id} is {row['phase']} {row['reason']}".strip()], json
        )
        if row["phase"] != "done":
            sys.exit(ROLLED_BACK_EXIT_STATUS)


class ShiftCommand:
    """Shift traffic of a service away from a place, or back to it."""

    def start(
        self,
        service: str,
        place: str,
        to_weight: float,
        reason: str,
        cap_per_s: float | None = None,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Start a shift from the current weight of the place.

        Args:
            service: Name of the service.
            place: Name of a region or a data centre.
            to_weight: Fraction of the place's traffic that stays at the end;
                0 drains the place.
            reason: Reason for the change, shown to other operators.
            cap_per_s: Largest change of the fraction in one second; the
                fleet-wide default if left out.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        asyncio.run(
            _start_shift(
                service,
                place,
                float(to_weight),
                reason,
                cap_per_s,
                store,
                author,
                json,
            )
        )

    def status(self, host: str | None = None, json: bool = False) -> None:
        """Show all shifts and the requests in flight in their places.

        Args:
            host: Base URL of any host.
            json: Print JSON.
        """
        rows = asyncio.run(_fetch_shifts(host))
        table = [
            ["ID", "SERVICE", "PLACE", "STAYS", "GOAL", "LEFT", "RUNNING"]
        ]
        table += [
            [
                row["id"],
                row["service"],
                row["place"],
                f"{row['weight']:.1%}",
                f"{row['to']:.1%}",
                f"{row['left_s']:g} s",
                str(row["running"]),
            ]
            for row in rows
        ]
        output.print_result(rows, output.format_table(table), json)


async def _start_shift(
    service: str,
    place: str,
    to_weight: float,
    reason: str,
    cap_per_s: float | None,
    store: str | None,
    author: str | None,
    as_json: bool,
) -> None:
    async with session.open_editor(store, author) as editor:
        now = time.time()

        def edit(old: model.Configuration) -> model.Configuration:
            table = weights.WeightTable(old.shifts)
            cap = cap_per_s or old.defaults.shift_cap_per_s
            entry = model.Shift(
                id=uuid.uuid4().hex[:12],
                service=service,
                place=place,
                from_weight=table.compute_weight(service, place, now),
                to_weight=to_weight,
                start_ms=int(now * MS_PER_S),
                cap_per_s=float(cap),
                reason=reason,
                author=editor.author,
            )
            others = [
                shift
                for shift in old.shifts
                if (shift.service, shift.place) != (service, place)
            ]
            return msgspec.structs.replace(old, shifts=(*others, entry))

        new = await editor.change(reason, now, edit)
    entry = new.shifts[-1]
    left_s = weights.compute_remaining_s(entry, now)
    output.print_result(
        {"id": entry.id, "revision": new.revision, "left_s": left_s},
        [
            f"shift {entry.id} stored as revision {new.revision}, "
            f"complete in {left_s:.0f} s"
        ],
        as_json,
    )


async def _fetch_rows(
    host: str | None, section: str
) -> Sequence[dict[str, Any]]:
    fleet = await fleetstatus.fetch_fleet_status(
        session.resolve_host_url(host)
    )
    for status in fleet.values():
        if status is not None:
            rows: list[dict[str, Any]] = status[section]
            return rows
    return []


async def _fetch_shifts(host: str | None) -> list[dict[str, Any]]:
    fleet = await fleetstatus.fetch_fleet_status(
        session.resolve_host_url(host)
    )
    statuses = [status for status in fleet.values() if status is not None]
    rows: list[dict[str, Any]] = statuses[0]["shifts"] if statuses else []
    for row in rows:
        row["running"] = sum(
            load["in_use"]
            for status in statuses
            if row["place"] in (status["region"], status["data_centre"])
            for load in status["loads"]
            if load["service"] == row["service"]
        )
    return rows


async def _wait_move(
    host: str | None, id: str, timeout_s: float
) -> dict[str, Any] | None:
    deadline_s = time.monotonic() + timeout_s
    while True:
        rows = await _fetch_rows(host, "moves")
        found = next((row for row in rows if row["id"] == id), None)
        is_decided = found is not None and found["recorded"]
        if is_decided or time.monotonic() >= deadline_s:
            return found
        await asyncio.sleep(POLL_INTERVAL_S)
