"""Tests of log writing with stalled or closed readers and in bursts."""

from __future__ import annotations

import os
import time

import logbook

from cowslipshift.telemetry import logs


def build_pipe() -> tuple[int, logs.LineWriter]:
    reader, writer = os.pipe()
    return reader, logs.LineWriter(writer)


def test_lines_are_dropped_and_counted_when_the_reader_stalls() -> None:
    reader, writer = build_pipe()
    started_s = time.monotonic()
    for number in range(3000):
        writer.write([f"number={number} {'x' * 200}\n"])
    assert time.monotonic() - started_s < 1.0
    os.set_blocking(reader, False)
    text = b""
    for _ in range(30):
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        writer.write([])
    assert text.startswith(b"number=0 ")
    dropped = int(text.rpartition(b"event=lines_unread count=")[2])
    assert text.count(b"number=") + dropped == 3000


def test_writing_after_the_reader_has_closed_raises_nothing() -> None:
    reader, writer = build_pipe()
    os.close(reader)
    for _ in range(10):
        writer.write(["line\n"])


def test_failures_are_written_while_info_lines_are_rate_limited() -> None:
    reader, writer = build_pipe()
    handler = logs.LineHandler(writer, "info", "h1")
    logger = logbook.Logger("request")
    with handler.applicationbound():
        for number in range(700):
            logger.info(f"event=answered id={number}")
        logger.notice("event=refused id=the-failure")
        time.sleep(1.1)
        logger.info("event=answered id=later")
        handler.flush()
    text = os.read(reader, 1 << 20).decode()
    assert (
        text.count("event=answered")
        == logs.MAX_LINES_PER_S_BY_LEVEL[logbook.INFO] + 1
    )
    assert "id=the-failure" in text
    count = 700 - logs.MAX_LINES_PER_S_BY_LEVEL[logbook.INFO]
    assert f"event=lines_left_out of=INFO count={count}" in text
