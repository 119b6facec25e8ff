"""Signals that come before the gateway can heed them, or when it no longer does. Imports little, so that it is in
place before anything large is loaded: earlier than that, while Python itself starts, SIGHUP still ends the process."""

import os
import signal
from types import FrameType

pending_hangups: list[int] = []  # SIGHUPs that came early; emptied by taken


def install_handlers() -> None:
    """SIGHUP is noted, and SIGTERM ends a process that has taken nothing yet, or has answered all, with 0."""
    signal.signal(signal.SIGHUP, _note)
    signal.signal(signal.SIGTERM, _end)


def ignore_signals() -> None:
    """All is answered. Python's end would give both signals back to the system: one would end it with its status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def take_pending_hangup() -> bool:
    """Whether a SIGHUP came meanwhile; it counts as heeded from here on."""
    came = bool(pending_hangups)
    pending_hangups.clear()
    return came


def _note(number: int, frame: FrameType | None) -> None:
    if not pending_hangups:
        pending_hangups.append(number)


def _end(number: int, frame: FrameType | None) -> None:
    os._exit(0)
