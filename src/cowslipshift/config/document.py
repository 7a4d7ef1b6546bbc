"""Reading and writing configuration documents."""

from __future__ import annotations

import hashlib

import msgspec

from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import validation

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest value that the platform's store holds."""

_decoder = msgspec.json.Decoder(model.Configuration)
_encoder = msgspec.json.Encoder()


def encode_document(configuration: model.Configuration) -> bytes:
    """Write a configuration in its stored form.

    Raises:
        OversizedConfigurationError: The result exceeds the store's limit.
    """
    raw = _encoder.encode(configuration)
    check_size(raw)
    return raw


def check_size(raw: bytes) -> None:
    """Refuse documents that the store could not hold.

    Raises:
        OversizedConfigurationError: The document is too large.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise exceptions.OversizedConfigurationError(
            f"the configuration has {len(raw)} bytes, the store holds "
            f"{MAX_DOCUMENT_BYTES}; remove entries or split it by service"
        )


def decode_document(raw: bytes | str) -> model.Configuration:
    """Read and check a configuration.

    Raises:
        OversizedConfigurationError: The document is too large.
        InvalidConfigurationError: The document breaks a rule.
    """
    check_size(raw if isinstance(raw, bytes) else raw.encode())
    try:
        configuration = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = _describe_decode_error(str(error))
        raise exceptions.InvalidConfigurationError([fault]) from error
    validation.check_configuration(configuration)
    return configuration


def digest_document(configuration: model.Configuration) -> str:
    """Return a digest that equal configurations share."""
    return hashlib.sha256(_encoder.encode(configuration)).hexdigest()


def _describe_decode_error(text: str) -> exceptions.Fault:
    message, separator, path = text.partition(" - at `$")
    if not separator:
        return exceptions.Fault("$", message)
    return exceptions.Fault("$" + path.rstrip("`"), message)
