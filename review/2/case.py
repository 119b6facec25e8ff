"""A client that closes its connection has gone: no attempt may begin later than 0.1 s after the close.

One gateway with 256 descriptors and four servers. Forty times a second a usual client opens a connection, sends one request
that may not be repeated, waits for half of the method's deadline and closes. Every 5 s two bad clients open 280
connections each, all at once, and say nothing; they keep each until the gateway closes it.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standins as s

DEADLINE = 1.0
PATIENCE = 0.5  # of the deadline: a try is given up after 50 to 100% of it
CLASSES = [s.method("read", 500, 1000, "read_like"), s.method("hand", 500, 1000, "non_idempotent")]
GONE = 0.1  # seconds after a close up to which an attempt may begin
LATER = 0.5  # seconds after its time up to which an answer only earns nothing
BURSTS = 8
SILENT = 280  # connections of one bad client


async def usual_client(record, port, results):
    txn = s.new_id()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(s.HOST, port)
        writer.write(s.request(txn, "hand", round(DEADLINE * 1000), post=True, body=b"container"))
        sent = time.monotonic()
        record(f"sent {txn}")
        answer = await s.read_answer(reader, DEADLINE * PATIENCE)
    except OSError as error:
        record(f"{txn}: {error}")
        return
    finally:
        if writer:
            writer.close()
    closed = time.monotonic()
    if answer is None:
        record(f"{txn}: no answer after {closed - sent:.3f} s, the client closes its connection")
    else:
        record(f"{txn}: answered {answer.status} after {answer.at - sent:.3f} s")
    results[txn] = (sent, closed, answer)


async def silent_connection(port):
    try:
        reader, writer = await asyncio.open_connection(s.HOST, port)
        await reader.read()
        writer.close()
    except OSError:
        pass


async def case(record):
    servers = [await s.Server(number, record).start() for number in range(4)]
    rows = [server.row() for server in servers]
    agents = [await s.Agent(lambda text: None, rows).start()]
    gateways = s.Gateways(record, agents, rows, CLASSES)
    gateways.documents[0]["limits"]["sockets"] = 256
    port = gateways.port(0)
    results = {}
    tasks = set()
    lag = s.Lag()

    def start(coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    try:
        await gateways.start_all()
        start(lag.run())
        for step in range(BURSTS * 200):  # of 25 ms
            if step % 200 == 40 and s.trouble():
                record(f"two bad clients open {SILENT} connections each and say nothing")
                for _ in range(2 * SILENT):
                    start(silent_connection(port))
            start(usual_client(record, port, results))
            await asyncio.sleep(0.025)
        await asyncio.sleep(3)
    finally:
        gateways.stop()
        for task in list(tasks):
            task.cancel()
    record(f"this process was late by {lag.most * 1000:.0f} ms at most")
    breaks = []
    for server in servers:
        for first, _, txn, remaining in server.seen:
            sent, closed, answer = results.get(txn, (None, None, None))
            if sent is not None and answer is None and first > closed + GONE + lag.most:
                breaks.append(
                    f"{txn}: an attempt began at {server.name} {first - closed:.3f} s after its client had closed, "
                    f"{first - sent:.3f} s after it was sent (the server was told {remaining} ms)"
                )
    for txn, (sent, _, answer) in results.items():
        if answer is not None and answer.status and answer.at > sent + DEADLINE + LATER:
            breaks.append(f"{txn}: answered {answer.at - sent:.3f} s after it was sent")
    record(f"{len(results)} requests, {sum(each[2] is None for each in results.values())} given up by their clients")
    return breaks


if __name__ == "__main__":
    s.main(case, Path(__file__).parent)
