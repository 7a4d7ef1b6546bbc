"""Checks packed Cap'n Proto messages before they are read.

The library ends the process when a packed message ends before the words that
its segment table promises. A list of empty structs takes one word, whatever
its length, so that reading it may take minutes; readers are therefore given a
limit from the size of the message.
"""

from __future__ import annotations

from cowslipshift import exceptions

WORD_BYTES = 8
MAX_SEGMENTS = 64
MAX_WORDS = 4 * 1024 * 1024
"""Largest message that is unpacked, 32 MiB."""

READS_PER_WORD = 2
"""Times that each word of a message may be read; valid ones are read once."""

_ZERO_TAG = 0x00
_FULL_TAG = 0xFF
_TAG_BYTES = tuple(tag.bit_count() for tag in range(256))


class PackingError(exceptions.CowslipshiftError):
    """A packed message is not complete."""

    code = "message_malformed"


def check_packed(raw: bytes) -> int:
    """Check that a packed message holds what its segment table promises.

    Returns:
        Words that may be read from it.

    Raises:
        PackingError: It holds less or more, or is too large.
    """
    words = _count_words(raw)
    table = _unpack_head(raw, WORD_BYTES)
    segments = int.from_bytes(table[:4], "little") + 1
    table_words = segments // 2 + 1
    if segments > MAX_SEGMENTS or words < table_words:
        raise PackingError("the segment table is malformed")
    if table_words > 1:
        table = _unpack_head(raw, table_words * WORD_BYTES)
    promised = sum(
        int.from_bytes(table[4 * n : 4 * n + 4], "little")
        for n in range(1, segments + 1)
    )
    if table_words + promised != words:
        raise PackingError("the message has another size than it states")
    return READS_PER_WORD * words


def _count_words(raw: bytes) -> int:
    """Return the number of words that a packed message holds."""
    position = words = 0
    size = len(raw)
    while position < size:
        tag = raw[position]
        position += 1 + _TAG_BYTES[tag]
        words += 1
        if tag in (_ZERO_TAG, _FULL_TAG):
            if position >= size:
                raise PackingError("the message ends within a word")
            count = raw[position]
            words += count
            position += 1 + (count * WORD_BYTES if tag == _FULL_TAG else 0)
    if position != size or words > MAX_WORDS:
        raise PackingError("the message ends within a word, or is too large")
    return words


def _unpack_head(raw: bytes, limit: int) -> bytes:
    """Return the first bytes of a message whose words have been counted."""
    unpacked = bytearray()
    position = 0
    while position < len(raw) and len(unpacked) < limit:
        tag = raw[position]
        position += 1
        for bit in range(WORD_BYTES):
            if tag >> bit & 1:
                unpacked.append(raw[position])
                position += 1
            else:
                unpacked.append(0)
        if tag == _ZERO_TAG:
            unpacked += bytes(raw[position] * WORD_BYTES)
            position += 1
        elif tag == _FULL_TAG:
            end = position + 1 + raw[position] * WORD_BYTES
            unpacked += raw[position + 1 : end]
            position = end
    return bytes(unpacked)
