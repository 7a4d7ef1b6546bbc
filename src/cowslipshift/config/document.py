"""Encodes, decodes and digests configuration documents."""

from __future__ import annotations

import hashlib

import msgspec

from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import validation

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest value that the platform's store accepts."""

_decoder = msgspec.json.Decoder(model.Configuration)
_encoder = msgspec.json.Encoder()


def encode_document(configuration: model.Configuration) -> bytes:
    """Encode a configuration as it is stored.

    Raises:
        OversizedConfigurationError: The result exceeds `MAX_DOCUMENT_BYTES`.
    """
    raw = _encoder.encode(configuration)
    check_size(raw)
    return raw


def check_size(raw: bytes) -> None:
    """Reject documents that exceed the store's limit.

    Raises:
        OversizedConfigurationError: The document exceeds
            `MAX_DOCUMENT_BYTES`.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise exceptions.OversizedConfigurationError(
            f"configuration has {len(raw)} bytes, the store accepts at most "
            f"{MAX_DOCUMENT_BYTES}; remove entries or split it by service"
        )


def decode_document(raw: bytes | str) -> model.Configuration:
    """Decode and validate a configuration.

    Raises:
        OversizedConfigurationError: The document exceeds
            `MAX_DOCUMENT_BYTES`.
        InvalidConfigurationError: The document is malformed or breaks a rule.
    """
    check_size(raw if isinstance(raw, bytes) else raw.encode())
    try:
        configuration = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = describe_decode_error(str(error))
        raise exceptions.InvalidConfigurationError([fault]) from error
    validation.check_configuration(configuration)
    return configuration


def digest_document(configuration: model.Configuration) -> str:
    """Return the SHA-256 of the encoded configuration, in hexadecimal."""
    return hashlib.sha256(_encoder.encode(configuration)).hexdigest()


def describe_decode_error(text: str) -> exceptions.Fault:
    """Split the text of a decoder's error into path and message."""
    message, _, path = text.partition(" - at `$")
    return exceptions.Fault("$" + path.rstrip("`"), message, "malformed")
