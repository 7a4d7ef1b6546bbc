"""Typed messages between hosts and their Cap'n Proto codec."""

from __future__ import annotations

import pathlib
from typing import Any

import capnp
import msgspec

from cowslipshift import packing
from cowslipshift.coordination import facts as fact_types
from cowslipshift.coordination import loans
from cowslipshift.coordination import ownership
from cowslipshift.peers import exceptions

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class ServiceLoad(msgspec.Struct, frozen=True):
    """Use of a host's slots of a service.

    Attributes:
        service: Name of the service, with ``@version`` appended if only the
            servers that may run that version are counted.
        usable: Slots that the host may use.
        in_use: Slots in use.
        queued: Requests that wait for a slot.
    """

    service: str
    usable: int
    in_use: int
    queued: int


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of the sender, sent on each link at a fixed interval.

    Attributes:
        sequence: Number of this heartbeat on this link.
        acknowledged_sequence: Last heartbeat received on this link, or 0
            while the sender does not know whether the receiver belongs to
            its data centre.
        recognised_incarnation: Incarnation of the receiver that the sender
            counts as a member, or 0.
        fenced_up_to: Highest incarnation of the receiver that is fenced, or 0.
        revision: Configuration in force at the sender.
        fact_digest: Digest of the sender's facts.
        handovers: Reports on resources that the sender owned before the
            receiver.
        loads: Slot use of the sender, by service.
    """

    host: str
    incarnation: int
    sequence: int
    acknowledged_sequence: int = msgspec.field(name="heard_sequence")
    recognised_incarnation: int = msgspec.field(name="counts_you")
    leaving: bool
    revision: int
    fact_digest: int
    fenced_up_to: int = 0
    handovers: list[ownership.Handover] = []
    loads: list[ServiceLoad] = []


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Asks for the configuration changes after a revision."""

    revision: int
    digest: str


class ConfigurationOffer(msgspec.Struct, frozen=True):
    """A newer configuration, as a difference or as a whole document."""

    revision: int
    difference: bytes
    document: bytes


class Facts(msgspec.Struct, frozen=True):
    """Facts that the receiver may not know.

    Attributes:
        digest: Digest of all facts of the sender.
        wants_reply: Whether the receiver should send back its own facts.
    """

    digest: int
    facts: list[fact_types.Fact]
    wants_reply: bool


class LoanRequests(msgspec.Struct, frozen=True):
    """Requests to borrow parts of account quotas."""

    requests: list[loans.LoanRequest] = msgspec.field(name="wants")


class LoanGrants(msgspec.Struct, frozen=True):
    """Loans granted in answer to `LoanRequests`."""

    grants: list[loans.LoanGrant]


class LoanRecalls(msgspec.Struct, frozen=True):
    """Recalls the lent quota of these accounts that is not needed."""

    accounts: list[str]


class Evidence(msgspec.Struct, frozen=True):
    """One host's counters of a version move on one route.

    Attributes:
        move: Id of the move.
        counts: Number of the comparison window plus
            `moves.controller.WINDOW_NUMBER_OFFSET`, then the counters of the
            old and of the new version, which only grow.
    """

    move: str
    host: str
    incarnation: int
    counts: list[int]
    route: str


class EvidenceReport(msgspec.Struct, frozen=True):
    """Counters of version moves."""

    entries: list[Evidence] = msgspec.field(name="evidences")


Message = (
    Heartbeat
    | ConfigurationRequest
    | ConfigurationOffer
    | Facts
    | LoanRequests
    | LoanGrants
    | EvidenceReport
    | LoanRecalls
)

_TYPES_BY_NAME: dict[str, type[Any]] = {
    "heartbeat": Heartbeat,
    "configurationRequest": ConfigurationRequest,
    "configurationOffer": ConfigurationOffer,
    "facts": Facts,
    "wants": LoanRequests,
    "grants": LoanGrants,
    "evidences": EvidenceReport,
    "recalls": LoanRecalls,
}
_NAMES_BY_TYPE = {kind: name for name, kind in _TYPES_BY_NAME.items()}

_schema: Any = capnp.load(
    str(pathlib.Path(__file__).with_name("messages.capnp"))
)


def encode_message(message: Message) -> bytes:
    """Encode a message as packed Cap'n Proto."""
    fields = _convert_keys_to_camel(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )
    packed: bytes = _schema.Message.new_message(
        **{_NAMES_BY_TYPE[type(message)]: fields}
    ).to_bytes_packed()
    return packed


def decode_message(raw: bytes) -> Message:
    """Decode a message.

    Raises:
        PeerMessageError: The message is too large or malformed.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise exceptions.PeerMessageError(
            f"a peer message of {len(raw)} bytes is too large"
        )
    try:
        limit = packing.check_packed(raw)
        reader = _schema.Message.from_bytes_packed(
            raw, traversal_limit_in_words=limit
        )
        name = reader.which()
        fields = _convert_keys_to_snake(reader.to_dict()[str(name)])
        message: Message = msgspec.convert(fields, _TYPES_BY_NAME[str(name)])
    except (
        capnp.KjException,
        packing.PackingError,
        KeyError,
        ValueError,
    ) as error:
        raise exceptions.PeerMessageError(
            f"a peer sent a malformed message: {error}"
        ) from error
    return message


def _convert_keys_to_camel(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            _to_camel_case(name): _convert_keys_to_camel(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_convert_keys_to_camel(item) for item in value]
    return value


def _convert_keys_to_snake(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            _to_snake_case(name): _convert_keys_to_snake(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_convert_keys_to_snake(item) for item in value]
    return value


_CAMEL_CASE_NAMES: dict[str, str] = {}
_SNAKE_CASE_NAMES: dict[str, str] = {}


def _to_camel_case(name: str) -> str:
    known = _CAMEL_CASE_NAMES.get(name)
    if known is None:
        first, *rest = name.split("_")
        known = _CAMEL_CASE_NAMES[name] = first + "".join(
            w.title() for w in rest
        )
    return known


def _to_snake_case(name: str) -> str:
    known = _SNAKE_CASE_NAMES.get(name)
    if known is None:
        known = _SNAKE_CASE_NAMES[name] = "".join(
            f"_{c.lower()}" if c.isupper() else c for c in name
        )
    return known
