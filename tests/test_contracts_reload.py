"""A book of contracts that is read again: beside the event loop, and whatever it says the gateway goes on."""

import threading

import pytest
import structlog
import tomli_w
import trio
from contract_documents import gateway_contracts, holding_now

from oakfork.contracts import runner

pytestmark = pytest.mark.trio


class Reloading:
    """The contracts of one gateway, and how their file is read."""

    def __init__(self, folder, monkeypatch):
        self.path = folder / "contracts.toml"
        self.log = []
        self.contracts = gateway_contracts(folder, structlog.wrap_logger(None, processors=[self._record]))
        self.threads = []  # that read the file
        self.may_read = threading.Event()
        self.reads = runner.read_book
        monkeypatch.setattr(runner, "read_book", self._read)

    def _record(self, logger, name, entry):
        self.log.append(entry["event"])
        raise structlog.DropEvent

    def _read(self, path):
        self.threads.append(threading.get_ident())
        assert self.may_read.wait(10)
        return self.reads(path)

    def write(self, document):
        """Replaces the file."""
        self.path.write_text(tomli_w.dumps(document))

    @property
    def rates(self):
        """The rates of the contracts in force."""
        return [contract.rate for contract in self.contracts.book.file.contracts]


async def until(condition):
    """Waits until a condition holds; other tasks have turns meanwhile."""
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.001)


@pytest.fixture
def reloading(tmp_path, monkeypatch):
    """The contracts of a gateway that can be read again."""
    return Reloading(tmp_path, monkeypatch)


async def test_a_book_is_read_beside_the_event_loop_and_the_old_one_holds_until_then(reloading, nursery):
    """Guards against a large book whose check stops the gateway for seconds on SIGHUP."""
    before = reloading.rates
    nursery.start_soon(reloading.contracts.run)
    reloading.write(holding_now(contract__0__legs_per_s=41.0))
    reloading.contracts.reread()
    await until(lambda: reloading.threads)  # this task has its turns while the file is read
    assert reloading.threads[0] != threading.get_ident() and reloading.rates == before
    reloading.may_read.set()
    await until(lambda: reloading.rates != before)
    assert reloading.rates[0] == 41.0 and reloading.log[-1] == "contracts file reloaded"


async def test_a_second_signal_meanwhile_has_the_newest_book_read_once_more(reloading, nursery):
    """Guards against a book that was replaced while the one before was read, and never comes into force."""
    nursery.start_soon(reloading.contracts.run)
    reloading.contracts.reread()
    await until(lambda: reloading.threads)
    for rate in (41.0, 42.0, 43.0):
        reloading.write(holding_now(contract__0__legs_per_s=rate))
        reloading.contracts.reread()
    reloading.may_read.set()
    await until(lambda: len(reloading.threads) == 2 and reloading.rates[0] == 43.0)
    await trio.sleep(0.05)
    assert len(reloading.threads) == 2


@pytest.mark.parametrize("error", [None, OverflowError("date value out of range"), RecursionError("too deep")])
async def test_a_book_that_can_not_be_read_changes_nothing_and_the_next_one_counts(reloading, nursery, error):
    """Guards against a file that ends the gateway on SIGHUP, whatever it says."""
    before = reloading.rates
    nursery.start_soon(reloading.contracts.run)
    reloading.may_read.set()
    read = reloading.reads
    if error is None:
        reloading.path.write_text("contract = 3")
    else:
        reloading.reads = lambda path: (_ for _ in ()).throw(error)
    reloading.contracts.reread()
    await until(lambda: runner.NOT_RELOADED in reloading.log)
    assert reloading.rates == before
    reloading.reads = read
    reloading.write(holding_now(contract__0__legs_per_s=44.0))
    reloading.contracts.reread()
    await until(lambda: reloading.rates[0] == 44.0)


async def test_a_gateway_ends_while_a_book_is_read(reloading):
    """Guards against a shutdown that waits for the check of a large book."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reloading.contracts.run)
        reloading.contracts.reread()
        await until(lambda: reloading.threads)
        with trio.fail_after(5):
            nursery.cancel_scope.cancel()
    reloading.may_read.set()
