"""A host's copy of the configuration; its revision never decreases."""

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
"""Revisions kept, including the current one, as bases of differences."""


class ConfigurationReplica:
    """Accepts newer revisions and notifies listeners.

    An invalid document is logged, and the last accepted one stays in force.

    Attributes:
        current: The configuration in force; ``None`` before the first.
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
        """The revision in force; 0 before the first."""
        return self.current.revision if self.current is not None else 0

    @property
    def digest(self) -> str:
        """Digest of the document in force; empty before the first."""
        if self.current is None:
            return ""
        return self._history[self.current.revision][0]

    def add_listener(
        self, listener: Callable[[model.Configuration, str], None]
    ) -> None:
        """Call a listener with each accepted configuration and its source."""
        self._listeners.append(listener)

    def accept_document(self, raw: bytes, source: str) -> bool:
        """Accept a complete document if it is valid and newer.

        Args:
            raw: The encoded document.
            source: Where it came from, for logs and listeners.

        Returns:
            Whether it was accepted.
        """
        try:
            return self._accept(document.decode_document(raw), source)
        except exceptions.ConfigurationError as error:
            self._log.error("config_rejected", source=source, reason=error)
            return False

    def accept_offer(
        self, offer: messages.ConfigurationOffer, source: str
    ) -> bool:
        """Accept a document or a difference that another host offers.

        Returns:
            Whether the offered revision was accepted or is not newer than the
            one in force. If not, the complete document should be requested.
        """
        if offer.revision <= self.revision:
            return True
        if offer.document:
            return self.accept_document(offer.document, source)
        if self.current is None:
            return False
        try:
            delta = msgspec.json.decode(
                offer.difference, type=difference.Difference
            )
            new = difference.apply_difference(self.current, delta)
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
        """Build the offer for a host that has a given revision.

        It holds a difference if that revision is in the history, otherwise
        the complete document.

        Args:
            revision: Revision that the host has.
            digest: Digest of its document.

        Returns:
            The offer, or ``None`` if the host is up to date.
        """
        if self.current is None or revision >= self.revision:
            return None
        known = self._history.get(revision)
        if known is None or known[0] != digest:
            raw = document.encode_document(self.current)
            return messages.ConfigurationOffer(self.revision, b"", raw)
        delta = difference.compute_difference(known[1], self.current)
        return messages.ConfigurationOffer(
            self.revision, msgspec.json.encode(delta), b""
        )

    def build_latest_offer(self) -> messages.ConfigurationOffer | None:
        """Build an offer for hosts that have the previous revision."""
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
