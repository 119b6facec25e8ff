"""Planned restarts: each request that the gateway has read and sent on must get its final answer.

Three gateways and four servers. One gateway after another gets SIGTERM, and two of the servers hang just then. Clients
open connections 0.2 to 0.4 s after SIGTERM, rest, and send one request on each that is still open (0.72 to 0.9 s after
SIGTERM). Nobody sends SIGKILL before 8 s.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standins as s

CLASSES = [s.method("read", 1000, 3000, "read_like"), s.method("hand", 800, 3000, "non_idempotent")]
REMAINING = 3000
LATER = 0.5  # seconds after its time up to which an answer only earns nothing
CLIENTS = 30
PASSES = 2  # rolling restarts


async def client(record, port, began, number, results):
    """Opens a connection 0.2 to 0.4 s after `began`, and sends its first request 0.72 to 0.9 s after it."""
    share = number / (CLIENTS - 1)
    await asyncio.sleep(began + 0.2 + 0.2 * share - time.monotonic())
    try:
        reader, writer = await asyncio.open_connection(s.HOST, port)
    except OSError:
        return  # not accepted any more: nothing was taken
    await asyncio.sleep(began + 0.72 + 0.18 * (number * 7 % CLIENTS) / CLIENTS - time.monotonic())
    if reader.at_eof():
        writer.close()
        return  # the gateway has closed it: a client would go elsewhere
    txn = s.new_id()
    sent = time.monotonic()
    writer.write(s.request(txn, "hand", REMAINING, post=True, body=b"container"))
    record(f"port {port}: sent {txn}, {sent - began:.3f} s after the start of this round")
    answer = await s.read_answer(reader, REMAINING / 1000 + LATER + 4)
    writer.close()
    if answer is None:
        record(f"{txn}: nothing came")
    elif not answer.status:
        record(f"{txn}: the connection ended without an answer after {answer.at - sent:.3f} s")
    else:
        record(f"{txn}: answered {answer.status} after {answer.at - sent:.3f} s")
    results.append((txn, sent, sent - began, answer))


async def case(record):
    servers = [await s.Server(number, record).start() for number in range(4)]
    rows = [server.row() for server in servers]
    agents = [await s.Agent(record, rows, f"agent {number}").start() for number in range(3)]
    gateways = s.Gateways(record, agents, rows, CLASSES)
    results = []
    try:
        await gateways.start_all()
        for _ in range(10):  # ordinary traffic, so that the gateways know their servers
            for number in range(3):
                await s.ask(gateways.port(number), s.request(s.new_id(), "read", 3000), 4)
        for number in [*range(3)] * PASSES:
            for server in servers[:2]:
                server.hangs = True
            began = time.monotonic()
            if s.trouble():
                gateways.send_signal(number, signal.SIGTERM)
            async with asyncio.TaskGroup() as group:
                for each in range(CLIENTS):
                    group.create_task(client(record, gateways.port(number), began, each, results))
            for server in servers[:2]:
                server.hangs = False
            if s.trouble():
                while gateways.alive(number):
                    if time.monotonic() > began + 8:
                        gateways.send_signal(number, signal.SIGKILL)
                    await asyncio.sleep(0.02)
                record(f"n{number} has ended with status {gateways.processes[number].wait()}")
                await gateways.start(number)
    finally:
        gateways.stop()
    forwarded = {txn for server in servers for _, _, txn, _ in server.seen}
    record(f"{len(results)} requests sent, {len(forwarded & {each[0] for each in results})} of them reached a server")
    breaks = []
    for txn, sent, after, answer in results:
        if txn not in forwarded:
            continue  # it may have crossed the close of its connection: the client sends it again elsewhere
        if answer is None or not answer.status or answer.at > sent + REMAINING / 1000 + LATER:
            breaks.append(f"{txn} came {after:.3f} s after SIGTERM, reached a server, and was never answered")
    return breaks


if __name__ == "__main__":
    s.main(case, Path(__file__).parent)
