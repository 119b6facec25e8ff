"""What all parts of the command line share: groups that import lazily, and errors on standard error."""

import sys
from importlib import import_module
from importlib.util import find_spec
from typing import Any

import click

from oakfork.errors import EXIT_USAGE, OakforkError, error_lines


class LazyGroup(click.Group):
    """A group that imports some of its commands only when they are used, so that `serve` imports nothing of them.

    `lazy_commands` maps the name of a command to the module that defines it under that name.
    """

    def __init__(self, *args: Any, lazy_commands: dict[str, str] | None = None, **options: Any) -> None:
        super().__init__(*args, **options)
        self.lazy_commands = lazy_commands or {}

    def list_commands(self, context: click.Context) -> list[str]:
        """The names of all commands, sorted."""
        return sorted([*super().list_commands(context), *self.lazy_commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """The command with that name, imported if need be; None if there is none."""
        if name not in self.lazy_commands:
            return super().get_command(context, name)
        return getattr(import_module(self.lazy_commands[name]), name)


def fail(text: str, status: int = EXIT_USAGE) -> None:
    """Prints a text to standard error, each line with the program's name, and exits with a status."""
    for line in text.splitlines() or [""]:
        click.echo(f"oakfork: {line}", err=True)
    sys.exit(status)


def refuse(error: OakforkError, where: str = "", faults: list[str] | None = None) -> None:
    """Prints an error as `error_lines` has it, and exits with its status."""
    fail(error_lines(error, where, faults), error.status)


def require_libraries(*libraries: str, extra: str) -> None:
    """Fails unless the libraries of an optional part of the program are installed."""
    missing = [name for name in libraries if find_spec(name) is None]
    if missing:
        fail(f"this command needs more libraries ({', '.join(missing)}): pip install 'oakfork[{extra}]'")
