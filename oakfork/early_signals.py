"""Handles signals that come before the gateway can handle them, or when it no longer does.

It imports little, so that the handlers are installed before anything large is loaded. Earlier than that, while Python
itself starts, SIGHUP still ends the process.
"""

import os
import signal
from types import FrameType

pending_hangups: list[int] = []  # SIGHUPs that came before the gateway handles them; cleared by take_pending_hangup


def install_handlers() -> None:
    """Records SIGHUP for later, and lets SIGTERM end the process with status 0.

    SIGTERM may end it so because nothing has been accepted yet, or everything has been answered.
    """
    signal.signal(signal.SIGHUP, _record_hangup)
    signal.signal(signal.SIGTERM, _exit)


def ignore_signals() -> None:
    """Ignores SIGHUP and SIGTERM once everything is answered.

    When Python ends it restores the default handlers, and a signal would end the process with its own status.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def take_pending_hangup() -> bool:
    """Whether a SIGHUP was recorded; it counts as handled from here on."""
    pending = bool(pending_hangups)
    pending_hangups.clear()
    return pending


def _record_hangup(number: int, frame: FrameType | None) -> None:
    if not pending_hangups:
        pending_hangups.append(number)


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)
