"""Damaged packed messages of other hosts."""

from __future__ import annotations

import random
import subprocess
import sys

import pytest

from cowslipshift import packing
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.steering import limiters
from cowslipshift.store import interface
from tests.fuzz import test_inputs as inputs

CRASHING = bytes.fromhex(
    "01135003030101010511020111091a11091711152f03683251040101c103c03f11"
    "011a03613196040401010701010001110112d873"
)

DECODE = """
import sys
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages

for line in sys.stdin:
    for decode in (
        messages.decode_heartbeat,
        messages.decode_bundle,
        messages.decode_changes,
    ):
        try:
            decode(bytes.fromhex(line))
        except exceptions.PeerError:
            pass
"""


def build_changes() -> bytes:
    items = tuple(
        interface.Item(f"key-{n}", bytes([n % 7]) * n, n) for n in range(90)
    )
    return messages.encode_changes(messages.Changes(9, False, items))


# Guards against a datagram that ends the process of each host that reads it:
# the library aborts on a message that is shorter than it states.
def test_damaged_messages_end_no_process() -> None:
    draw = random.Random(5)
    lines = [CRASHING.hex()]
    for raw in (inputs.build_heartbeat(), build_changes()):
        for _ in range(2000):
            edits = [
                (draw.randrange(len(raw)), draw.randrange(256))
                for _ in range(draw.randrange(1, 7))
            ]
            damaged = inputs.mutate(raw, edits)
            lines.append(damaged[: draw.randrange(1, len(raw) + 1)].hex())
            lines.append(damaged.hex())
    done = subprocess.run(
        [sys.executable, "-c", DECODE],
        input="\n".join(lines).encode(),
        capture_output=True,
        check=False,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr[-500:]


def test_message_that_is_cut_anywhere_is_refused() -> None:
    raw = build_changes()
    assert len(messages.decode_changes(raw).items) == 90
    for size in range(len(raw)):
        with pytest.raises(exceptions.PeerError):
            messages.decode_changes(raw[:size])


@pytest.mark.parametrize("accounts", [0, 1, 7, 400])
def test_whole_messages_pass(accounts) -> None:
    heartbeat = messages.decode_heartbeat(inputs.build_heartbeat())
    heartbeat.usages.extend(
        limiters.Usage(f"account-{n}", n, n / 3) for n in range(accounts)
    )
    raw = messages.encode_heartbeat(heartbeat)
    packing.check_packed(raw)
    assert len(messages.decode_heartbeat(raw).usages) == accounts + 1


# Guards against a datagram of 30 bytes that holds up each host that reads it
# for minutes.
@pytest.mark.parametrize("entries", [100_000, 2**29 - 1])
def test_list_of_many_empty_entries_is_refused(entries) -> None:
    root = 3 << 48
    no_host = no_rollouts = 0
    usages = 7 << 32 | 1 << 2 | 1
    words = [root, no_host, usages, no_rollouts, entries << 2]
    raw = pack_words([len(words) << 32, *words])
    with pytest.raises(exceptions.PeerError, match="[Ll]imit"):
        messages.decode_heartbeat(raw)


def pack_words(words: list[int]) -> bytes:
    packed = bytearray()
    for word in words:
        content = word.to_bytes(8, "little")
        packed.append(sum(1 << n for n in range(8) if content[n]))
        packed += bytes(byte for byte in content if byte)
        if not word:
            packed.append(0)
    return bytes(packed)
