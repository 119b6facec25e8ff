"""A few clients that write hundreds of requests at once take the gateway's time: usual RPCs get no answer in theirs."""

import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from rig import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Client,
    Discovery,
    Rig,
    TrackServer,
    configuration,
    free_addresses,
    row,
    run_case,
    start_gateway,
)

USUAL = 10  # clients, four RPCs a second each
REMAINING = 1000  # ms: half of the method's deadline
LATE = 0.5 + 0.05  # seconds after its time from which on an answer counts as none
BAD = 12  # clients
BATCH = 500  # requests at once
SECONDS = 12


def scenario(rig):
    """Usual clients send RPCs before and while the bad clients are there; each has to get its answer."""
    servers = [TrackServer(rig, name, lambda *_: time.sleep(0.05)) for name in ("s-1", "s-2", "s-3")]
    rows = [row(server.name, server.address) for server in servers]
    discovery = Discovery(rig, rows)
    listen = free_addresses(1)[0]
    start_gateway(rig, configuration(listen, discovery.address, rows))
    stalls = [0.0]  # what this process is late itself

    def watch():
        while True:
            began = time.monotonic()
            time.sleep(0.01)
            stalls.append(time.monotonic() - began - 0.01)

    threading.Thread(target=watch, daemon=True).start()
    answers = []
    stop = time.monotonic() + SECONDS + 4

    def usual(number):
        client = Client(rig, listen)
        time.sleep(number * 0.25 / USUAL)
        while time.monotonic() < stop:
            began = time.monotonic()
            status, _ = client.rpc(remaining=REMAINING, patience=1.5)
            answers.append((time.monotonic() - began, status))
            time.sleep(max(0.0, 0.25 - (time.monotonic() - began)))

    clients = [threading.Thread(target=usual, args=(number,)) for number in range(USUAL)]
    for client in clients:
        client.start()
    time.sleep(2)
    if TROUBLE:
        arguments = [str(Path(__file__).with_name("bad_clients.py")), listen, str(BAD), str(BATCH), str(SECONDS)]
        bad = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.PIPE, text=True)
        rig.adopt("bad clients", bad)
    for client in clients:
        client.join()
    if TROUBLE:
        rig.note("bad clients", answers=bad.communicate(timeout=20)[0].strip())
    allowed = REMAINING / 1000 + LATE + max(stalls)
    lost = [took for took, status in answers if status is None or took > allowed]
    served = sum(status == 200 for _, status in answers)
    rig.note(
        "end",
        rpcs=len(answers),
        served=served,
        lost=len(lost),
        longest=max(took for took, _ in answers),
        allowed=allowed,
        own_stall=max(stalls),
    )
    if not served:
        raise CannotRunError("nothing was served")
    why = (
        f"{len(lost)} of {len(answers)} usual RPCs got no answer within {allowed:.2f} s; own stall {max(stalls):.3f} s"
    )
    return bool(lost), why


run_case(Rig(__file__), scenario)
