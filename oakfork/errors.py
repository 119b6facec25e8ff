"""Everything that the program raises by itself, in one hierarchy: each type says what an operator can do about it.

The log line (`told`), the command line and the table in docs/oncall.md take that text from here.
"""

from typing import Any, ClassVar

EXIT_FAILURE, EXIT_USAGE = 1, 2  # exit codes: it went wrong while running; the user's mistake


class OakforkError(Exception):
    """`todo`: what an operator can do, in one sentence. `status`: the exit code where it ends a command."""

    todo: ClassVar[str] = ""
    status: ClassVar[int] = EXIT_FAILURE


class ConfigurationError(OakforkError):
    """A gateway's configuration is not usable."""

    todo = "correct what is named in the configuration; `oakfork check FILE` tries it before a start or a SIGHUP"
    status = EXIT_USAGE


class AddressInUseError(OakforkError):
    """An address of the gateway's own can't be had."""

    todo = "end the program that has the address, or name another one in the configuration"


class FileError(OakforkError):
    """A file is not usable; `faults` names each place in it and what is wrong there."""

    todo = "correct what is named in the file"
    status = EXIT_USAGE

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class ExperimentError(FileError):
    """An experiment file is not usable; each line names a place in it and what is wrong there."""

    todo = "correct what is named in the experiment file; docs/lab.md has all its keys"


class FleetError(FileError):
    """The fleet file is not usable, or does not fit the gateway's configuration."""

    todo = "correct what is named in the fleet file; `oakfork fleet check FILE` tries it, docs/fleet.md has the keys"


class LoadSettingsError(OakforkError):
    """A load that is not sent."""

    todo = "name gateways by loopback addresses, HOST:PORT, and a load within the bounds of docs/lab.md"
    status = EXIT_USAGE


class ContractsFileError(FileError):
    """The book of contracts is not usable, or reserves more than the sites can do with the largest one lost."""

    todo = "correct the contracts that are named, or give the sites more; `oakfork contracts check FILE` tries the book"


class ControlConfigError(FileError):
    """The file of a publisher or relay is not usable."""

    todo = "correct what is named in the file; docs/control.md has the keys"


class ChangeSetError(FileError):
    """A change set is refused whole: nothing of it is in force."""

    todo = "correct what is named in the change file, or publish what it needs first; docs/control.md has the keys"


class DatabaseError(OakforkError):
    """The publisher's database is not its own, is damaged, or is another publisher's now; nothing in it was changed."""

    todo = "name the publisher's own database, end the other one that has it, or go back to a copy; docs/control.md"


class PublisherTimeoutError(OakforkError):
    """The publisher did not answer: whether a change set is in force is not known."""

    todo = "look whether the publisher runs and can be reached, and give the same file again: it counts once"


class MeasurementError(OakforkError, ValueError):
    """A measure of costs by size, or the page of them, can't be made of what there is."""

    todo = "measure again what it names, by `oakfork lab scale GROUP`; docs/CAPACITY.md has the markers of its tables"


class DrillProcessError(OakforkError):
    """The processes of a drill did not start or did not end as they should."""

    todo = "look at the last lines of the process's log that it names; free ports and memory for that many processes"


class SimulatorProtocolError(OakforkError):
    """What came on the simulator's wire can't be read."""

    todo = "report the line: the simulator and the adapter do not agree on the wire"


class UnknownCommandError(OakforkError):
    """The module told the adapter something that has no record on the wire."""

    todo = "report the line: the module and the adapter are of two versions"


class BadRequestError(OakforkError):
    """A client's request is not one of the protocol; the text tells why. It is answered 400."""

    todo = "talk to the client: the answer's body says what is wrong with its request"


class ConnectionFailedError(OakforkError):
    """A connection can't be used any more; `outcome` says how it ended."""

    todo = "look at the party at the other end of that connection: the ending's name says what it did"

    def __init__(self, outcome: Any) -> None:
        super().__init__(outcome.name)
        self.outcome = outcome


def log_fields(error: OakforkError) -> dict[str, str]:
    """The fields of a log line on an error."""
    return {"error": str(error), "todo": error.todo}


def error_lines(error: OakforkError, where: str = "", faults: list[str] | None = None) -> str:
    """What a command prints: a line a fault, and what to do behind the only one or on a line of its own."""
    said = [f"{where}: {fault}" if where else fault for fault in faults or getattr(error, "faults", [str(error)])]
    return f"{said[0]}; {error.todo}" if len(said) == 1 else "\n".join([*said, error.todo])


def all_errors(of: type[OakforkError] = OakforkError) -> list[type[OakforkError]]:
    """Every type below `of`, as far as its module has been imported, by name."""
    below = {sub for kind in of.__subclasses__() for sub in (kind, *all_errors(kind))}
    return sorted(below, key=lambda kind: kind.__name__)


def table() -> str:
    """The rows of docs/oncall.md."""
    rows = [f"| `{kind.__name__}` | {(kind.__doc__ or '').strip()} | {kind.todo} |" for kind in all_errors()]
    return "\n".join(["| error | what it means | what to do |", "| --- | --- | --- |", *rows])


if __name__ == "__main__":
    from oakfork import errors  # as the others import it

    print(errors.table())
