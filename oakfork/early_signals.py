"""Signals that come before the gateway can heed them, or when it no longer does. Imports little, so that it is in
place before anything large is loaded: earlier than that, while Python itself starts, SIGHUP still ends the process."""

import os
import signal
from types import FrameType

hangups: list[int] = []  # SIGHUPs that came early; emptied by taken


def hold() -> None:
    """SIGHUP is noted, and SIGTERM ends a process that has taken nothing yet, or has answered all, with 0."""
    signal.signal(signal.SIGHUP, _note)
    signal.signal(signal.SIGTERM, _end)


def done() -> None:
    """All is answered. Python's end would give both signals back to the system: one would end it with its status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def taken() -> bool:
    """Whether a SIGHUP came meanwhile; it counts as heeded from here on."""
    came = bool(hangups)
    hangups.clear()
    return came


def _note(number: int, frame: FrameType | None) -> None:
    if not hangups:
        hangups.append(number)


def _end(number: int, frame: FrameType | None) -> None:
    os._exit(0)
