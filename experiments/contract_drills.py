"""Contract drills on real processes, two at a time: what the tenant and all other customers got.

    python experiments/contract_drills.py 2 3     # two seeds, three gateways

Prints one line for each policy and kind of fault, over all seeds.
"""

import sys
from concurrent.futures import ThreadPoolExecutor

import numpy

from oakfork.lab.contract_drill import KINDS, POLICIES, RESERVED, ContractDrill, contract_drill

WORKERS = 2
KINDS_OF_OTHER_POLICIES = ("calm", "allotter killed")


def run_drill(job: tuple[str, str, int, int]) -> ContractDrill:
    """Runs one drill of a kind, policy, seed and number of gateways."""
    return contract_drill(*job)


def summary(policy: str, kind: str, drills: list[ContractDrill]) -> str:
    """One line about the drills of a policy and kind; the first two seconds of each are left out."""
    shares = [share for drill in drills for share in drill.shares()]
    got = [ok / RESERVED for drill in drills for ok in drill.tenant_ok[2:]]
    others = [ok for drill in drills for ok in drill.others_ok[2:]]
    return (
        f"{policy}, {kind}: the tenant got {numpy.mean(got):.2f} of what is reserved "
        f"(seconds: p1 {numpy.quantile(shares, 0.01):.2f}, p10 {numpy.quantile(shares, 0.1):.2f}, "
        f"p50 {numpy.quantile(shares, 0.5):.2f}); "
        f"99% of it in {numpy.mean([share >= 0.99 for share in shares]):.0%}, "
        f"90% in {numpy.mean([share >= 0.9 for share in shares]):.0%} of {len(shares)} seconds; "
        f"others {numpy.mean(others):.0f} a second"
    )


def main() -> None:
    """Runs the drills that the command line asks for."""
    seeds, gateways = int(sys.argv[1]), int(sys.argv[2])
    with ThreadPoolExecutor(WORKERS) as pool:
        for policy in POLICIES:
            for kind in KINDS if policy == "contracts" else KINDS_OF_OTHER_POLICIES:
                jobs = [(kind, policy, seed, gateways) for seed in range(1, seeds + 1)]
                print(summary(policy, kind, list(pool.map(run_drill, jobs))), flush=True)


if __name__ == "__main__":
    main()
