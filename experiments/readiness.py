"""How soon many processes that start at once on a part of the machine are ready: experiments/readiness.py [30 [3]].

So many processes (thirty) share so many cores (three: a tenth of one each), all started in one instant; prints when the
first, the ninth tenth and the last answered GET /-/ready with 200. Bounded: sixty seconds, then all are ended."""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from oakfork.lab.gateway_processes import free_addresses, text

ROOT = Path(__file__).resolve().parent.parent


def main(number: int = 30, cores: int = 3) -> None:
    told = json.loads((ROOT / "deploy/example.json").read_text())
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[:cores])
    with tempfile.TemporaryDirectory() as folder:
        places = [text(place) for place in free_addresses(number, 1)]
        processes, begun, ready = [], time.monotonic(), {}
        try:
            for index, place in enumerate(places):
                path = Path(folder) / f"{index}.json"
                path.write_text(json.dumps(told | {"listen": place, "peer_listen": None}))
                processes.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "oakfork"],
                        cwd=ROOT,
                        stderr=subprocess.DEVNULL,
                        env=os.environ | {"LB_CONFIG": str(path)},
                    )
                )
            while len(ready) < number and time.monotonic() < begun + 60:
                for place in set(places) - ready.keys():
                    try:
                        urllib.request.urlopen(f"http://{place}/-/ready", timeout=1).close()
                        ready[place] = time.monotonic() - begun
                    except (OSError, urllib.error.URLError):
                        pass
                time.sleep(0.05)
        finally:
            for process in processes:
                process.kill()
                process.wait()
    times = sorted(ready.values())
    print(
        f"{len(times)} of {number} ready on {cores} cores; first {times[0]:.1f} s, nine in ten "
        f"{times[min(len(times) - 1, number * 9 // 10 - 1)]:.1f} s, last {times[-1]:.1f} s"
    )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
