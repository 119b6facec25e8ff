"""The errors that the program raises itself, in one hierarchy; each type says what an operator can do about it.

Log lines (`log_fields`), the command line (`error_lines`) and the table in docs/oncall.md (`table`) take that text from
here. The docstring of a type, which is one line, says in that table what the error means.
"""

from typing import Any, ClassVar

EXIT_FAILURE = 1  # exit code: the command failed while it ran
EXIT_USAGE = 2  # exit code: the command line or a file that it names can't be used


class OakforkError(Exception):
    """The base of all errors.

    `todo` says in one sentence what an operator can do, and `status` is the exit code of a command that it ends.
    """

    todo: ClassVar[str] = ""
    status: ClassVar[int] = EXIT_FAILURE


class ConfigurationError(OakforkError):
    """A gateway's configuration is not usable."""

    todo = "correct what is named in the configuration; `oakfork check FILE` tries it before a start or a SIGHUP"
    status = EXIT_USAGE


class AddressInUseError(OakforkError):
    """An address that the program listens on is not available."""

    todo = "end the program that uses the address, or name another one in the configuration"


class FileError(OakforkError):
    """A file is not usable; `faults` says for each place in it what is wrong there."""

    todo = "correct what is named in the file"
    status = EXIT_USAGE

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class ExperimentError(FileError):
    """An experiment file is not usable; each line says for a place in it what is wrong there."""

    todo = "correct what is named in the experiment file; docs/lab.md has all its keys"


class FleetError(FileError):
    """The fleet file is not usable, or does not fit the gateway's configuration."""

    todo = "correct what is named in the fleet file; `oakfork fleet check FILE` tries it, docs/fleet.md has the keys"


class LoadSettingsError(OakforkError):
    """The settings of a load generator are not usable; nothing was sent."""

    todo = "name gateways by loopback addresses, HOST:PORT, and a load within the bounds of docs/lab.md"
    status = EXIT_USAGE


class ContractsFileError(FileError):
    """The contracts file is not usable, or reserves more than the sites can serve without the largest one."""

    todo = "correct the contracts that are named, or add capacity; `oakfork contracts check FILE` tries the file"


class ControlConfigError(FileError):
    """The file of a publisher or relay is not usable."""

    todo = "correct what is named in the file; docs/control.md has the keys"


class ChangeSetError(FileError):
    """A change set was refused as a whole; no part of it is in force."""

    todo = "correct what is named in the change file, or publish what it needs first; docs/control.md has the keys"


class DatabaseError(OakforkError):
    """The database is not this publisher's, is damaged, or is now another publisher's; it was not changed."""

    todo = "name the publisher's own database, end the other process that uses it, or restore a copy; docs/control.md"


class PublisherTimeoutError(OakforkError):
    """The publisher did not answer in time; whether the change set is in force is not known."""

    todo = "check that the publisher runs and can be reached, and publish the same file again: it is applied once"


class MeasurementError(OakforkError, ValueError):
    """A measurement of costs by size, or the page of all measurements, can't be made from the results at hand."""

    todo = "repeat what it names by `oakfork lab scale GROUP`; docs/CAPACITY.md has the markers of its tables"


class DrillProcessError(OakforkError):
    """The processes of a drill did not start or end as expected."""

    todo = "read the last lines of the log that it names; free ports and memory for that many processes"


class SimulatorProtocolError(OakforkError):
    """A message of the simulator can't be decoded."""

    todo = "report the line: the simulator and the adapter do not agree on the protocol"


class UnknownCommandError(OakforkError):
    """The decision module gave a command that the simulator's protocol does not have."""

    todo = "report the line: the decision module and the adapter are of different versions"


class BadRequestError(OakforkError):
    """A client's request breaks the protocol, as the text says; it is answered with status 400."""

    todo = "contact the client: the answer's body says what is wrong with its request"


class ConnectionFailedError(OakforkError):
    """A connection can't be used any more; `outcome` says how it ended."""

    todo = "look at the service at the other end of the connection: the name of the outcome says what it did"

    def __init__(self, outcome: Any) -> None:
        super().__init__(outcome.name)
        self.outcome = outcome


def log_fields(error: OakforkError) -> dict[str, str]:
    """The fields of a log line about an error."""
    return {"error": str(error), "todo": error.todo}


def error_lines(error: OakforkError, where: str = "", faults: list[str] | None = None) -> str:
    """What a command prints: one line for each fault, then what to do, on the same line if there is only one fault.

    `where` is put before each fault. The faults are those given, the error's own, or else its text.
    """
    found = faults or getattr(error, "faults", [str(error)])
    lines = [f"{where}: {fault}" if where else fault for fault in found]
    if len(lines) == 1:
        return f"{lines[0]}; {error.todo}"
    return "\n".join([*lines, error.todo])


def all_errors(of: type[OakforkError] = OakforkError) -> list[type[OakforkError]]:
    """All subclasses of a type whose modules have been imported, sorted by name."""
    subclasses = {sub for kind in of.__subclasses__() for sub in (kind, *all_errors(kind))}
    return sorted(subclasses, key=lambda kind: kind.__name__)


def _meaning(kind: type[OakforkError]) -> str:
    return (kind.__doc__ or "").strip()


def table() -> str:
    """The table of docs/oncall.md, as Markdown."""
    rows = [f"| `{kind.__name__}` | {_meaning(kind)} | {kind.todo} |" for kind in all_errors()]
    return "\n".join(["| error | what it means | what to do |", "| --- | --- | --- |", *rows])


if __name__ == "__main__":
    from oakfork import errors  # under the name that other modules import, so that their subclasses are found

    print(errors.table())
