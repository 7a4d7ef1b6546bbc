"""The accepted configuration of a host; its revision never goes back."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import difference
from cowslipshift.config import document
from cowslipshift.config import exceptions
from cowslipshift.peers import messages
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.config import model

MAX_HISTORY_REVISIONS = 32
"""Earlier revisions kept to build differences from."""


class ConfigurationReplica:
    """Accepts newer configurations and tells listeners.

    A value that cannot be used is logged, and the last accepted one stays
    in force.
    """

    def __init__(self) -> None:
        self.current: model.Configuration | None = None
        self._log = logs.EventLog("configuration")
        self._history: collections.OrderedDict[
            int, tuple[str, model.Configuration]
        ] = collections.OrderedDict()
        self._listeners: list[Callable[[model.Configuration, str], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.current.revision if self.current is not None else 0

    @property
    def digest(self) -> str:
        """Digest of the document in force, empty before the first."""
        if self.current is None:
            return ""
        return self._history[self.current.revision][0]

    def add_listener(
        self, listener: Callable[[model.Configuration, str], None]
    ) -> None:
        """Tell a listener of each accepted configuration and its source."""
        self._listeners.append(listener)

    def accept_document(self, raw: bytes, source: str) -> bool:
        """Take a whole document.

        Args:
            raw: The document.
            source: Who gave it, for logs and listeners.

        Returns:
            Whether it is in force now.
        """
        try:
            return self._accept(document.decode_document(raw), source)
        except exceptions.ConfigurationError as error:
            self._log.error("config_rejected", source=source, reason=error)
            return False

    def accept_offer(
        self, offer: messages.ConfigurationOffer, source: str
    ) -> bool:
        """Take what another host offers.

        Returns:
            Whether it is in force now, or was already. If not, the whole
            document should be asked for.
        """
        if offer.revision <= self.revision:
            return True
        if offer.document:
            return self.accept_document(offer.document, source)
        if self.current is None:
            return False
        try:
            change = msgspec.json.decode(
                offer.difference, type=difference.Difference
            )
            new = difference.apply_difference(self.current, change)
        except (
            msgspec.DecodeError,
            exceptions.ConfigurationError,
            KeyError,
        ) as error:
            self._log.info("difference_unusable", source=source, reason=error)
            return False
        return self._accept(new, source)

    def build_offer(
        self, revision: int, digest: str
    ) -> messages.ConfigurationOffer | None:
        """Build what a host needs that has a certain revision.

        Args:
            revision: Revision that the host has.
            digest: Digest of its document.

        Returns:
            The offer, or ``None`` if the host has nothing to learn.
        """
        if self.current is None or revision >= self.revision:
            return None
        known = self._history.get(revision)
        if known is None or known[0] != digest:
            raw = document.encode_document(self.current)
            return messages.ConfigurationOffer(self.revision, b"", raw)
        change = difference.compute_difference(known[1], self.current)
        return messages.ConfigurationOffer(
            self.revision, msgspec.json.encode(change), b""
        )

    def build_latest_offer(self) -> messages.ConfigurationOffer | None:
        """Build the difference from the revision before the current one."""
        revisions = list(self._history)
        if len(revisions) < 2:
            return self.build_offer(0, "")
        before = revisions[-2]
        return self.build_offer(before, self._history[before][0])

    def _accept(self, new: model.Configuration, source: str) -> bool:
        if new.revision <= self.revision:
            if new.revision < self.revision:
                self._log.info(
                    "config_older",
                    source=source,
                    revision=new.revision,
                    in_force=self.revision,
                )
            return False
        self.current = new
        self._history[new.revision] = (document.digest_document(new), new)
        while len(self._history) > MAX_HISTORY_REVISIONS:
            self._history.popitem(last=False)
        self._log.info(
            "config_accepted",
            source=source,
            revision=new.revision,
            author=new.change.author if new.change else "",
        )
        for listener in self._listeners:
            listener(new, source)
        return True
