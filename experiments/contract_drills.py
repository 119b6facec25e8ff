"""Contract drills on real processes, two at a time: what the tenant got in each second, and what all others did.

python experiments/contract_drills.py 2 3     # two seeds, three gateways
"""

import sys
from concurrent.futures import ThreadPoolExecutor

import numpy

from oakfork.lab.contract_drill import KINDS, POLICIES, RESERVED, ContractDrill, contract_drill


def play(job: tuple[str, str, int, int]) -> ContractDrill:
    kind, policy, seed, gateways = job
    return contract_drill(kind, policy, seed, gateways)


def main() -> None:
    seeds, gateways = int(sys.argv[1]), int(sys.argv[2])
    with ThreadPoolExecutor(2) as pool:
        for policy in POLICIES:
            for kind in KINDS if policy == "contracts" else ("calm", "allotter killed"):
                drills = list(pool.map(play, [(kind, policy, seed, gateways) for seed in range(1, seeds + 1)]))
                shares = [share for drill in drills for share in drill.shares()]
                got = [ok / RESERVED for drill in drills for ok in drill.tenant_ok[2:]]
                others = [ok for drill in drills for ok in drill.others_ok[2:]]
                print(
                    f"{policy}, {kind}: the tenant got {numpy.mean(got):.2f} of what is reserved "
                    f"(seconds: p1 {numpy.quantile(shares, 0.01):.2f}, p10 {numpy.quantile(shares, 0.1):.2f}, "
                    f"p50 {numpy.quantile(shares, 0.5):.2f}); "
                    f"99% of it in {numpy.mean([s >= 0.99 for s in shares]):.0%}, "
                    f"90% in {numpy.mean([s >= 0.9 for s in shares]):.0%} of {len(shares)} seconds; "
                    f"others {numpy.mean(others):.0f} a second",
                    flush=True,
                )


if __name__ == "__main__":
    main()
