"""Log lines under load, and with a reader that never reads."""

from __future__ import annotations

import os
import time

import logbook

from cowslipshift.telemetry import logs


def build_pipe() -> tuple[int, logs.LineWriter]:
    reader, writer = os.pipe()
    return reader, logs.LineWriter(writer)


def test_reader_that_never_reads_costs_lines_not_time() -> None:
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
    left_out = int(text.rpartition(b"event=lines_unread count=")[2])
    assert text.count(b"number=") + left_out == 3000


def test_reader_that_is_gone_stops_nobody() -> None:
    reader, writer = build_pipe()
    os.close(reader)
    for _ in range(10):
        writer.write(["line\n"])


def test_failures_are_written_while_ordinary_lines_are_left_out() -> None:
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
