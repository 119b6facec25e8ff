"""A contracts file arranged for use at a gateway. Made outside the event loop, since it may take seconds."""

import gc
import zlib
from typing import NamedTuple

from oakfork.contracts.contracts_file import read
from oakfork.contracts.reservations import Contract, ContractsFile


def key_of(contract: Contract, position: int) -> int:
    """The key of a contract at a position in the contracts file."""
    return zlib.crc32(f"{contract.tenant}/{position}".encode())


def key_of_site(name: str) -> int:
    """The key of a site."""
    return zlib.crc32(f"site/{name}".encode())


class Book(NamedTuple):
    """A contracts file, and where to find what it says."""

    file: ContractsFile
    keys: dict[int, Contract]  # contracts by key
    keys_of_customer: dict[int, list[int]]

    @property
    def rates(self) -> dict[int, float]:
        """The legs a second of each contract and site, by key."""
        of_contracts = {key: contract.rate for key, contract in self.keys.items()}
        of_sites = {key_of_site(name): rate for name, rate in self.file.sites}
        return of_contracts | of_sites


def read_book(path: str) -> Book:
    """Reads, checks and arranges a contracts file; may take seconds. Raises ContractsFileError."""
    gc.disable()  # a collection goes through the whole document, and holds up all threads meanwhile
    try:
        file = read(path)
    finally:
        gc.enable()
    keys = {key_of(contract, position): contract for position, contract in enumerate(file.contracts)}
    keys_of_customer: dict[int, list[int]] = {}
    for key, contract in keys.items():
        for customer in contract.customers:
            keys_of_customer.setdefault(customer, []).append(key)
    return Book(file, keys, keys_of_customer)
