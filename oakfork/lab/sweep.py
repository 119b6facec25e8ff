"""Runs the runs of an experiment over processes; interrupted, it goes on where it was.

The same file, seeds and code give the same bytes whatever the number of workers: a run depends on its own seed alone,
and results stand in the order of the file. A run that crashes is reported, and the others go on.
"""

import hashlib
import json
import subprocess
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from typing import Any, Callable

import oakfork
from oakfork.lab.baseline_policies import POLICIES
from oakfork.lab.experiment import Experiment, Run
from oakfork.lab.world import World

RESULTS = "results.jsonl"


def revision() -> str:
    """Of the code: its commit where there is one, and a digest of the sources, changed or not."""
    root = Path(oakfork.__file__).parent
    digest = hashlib.sha256()
    for path in sorted(root.rglob("*.py")):
        digest.update(path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes())
    try:
        asked = subprocess.run(
            ["git", "-C", str(root), "rev-parse", "--short=12", "HEAD"], capture_output=True, text=True, timeout=5
        )
        commit = asked.stdout.strip() if asked.returncode == 0 else ""
    except (OSError, subprocess.TimeoutExpired):
        commit = ""
    return f"{commit or 'no commit'}, sources {digest.hexdigest()[:12]}"


def play(run: Run) -> dict[str, Any]:
    return World(run.world, POLICIES[run.policy], run.seed).run()


def _guarded(run: Run, player: Callable[[Run], dict[str, Any]]) -> dict[str, Any]:
    try:
        return player(run)
    except Exception as error:
        return {"failed": f"{type(error).__name__}: {error}"[:500]}


class Sweep:
    """Results of single runs stand in a folder until all are there; then one file has them in order."""

    def __init__(
        self, experiment: Experiment, folder: Path, workers: int, player: Callable[[Run], dict[str, Any]] = play
    ) -> None:
        self.experiment, self.folder, self.workers, self.player = experiment, folder, workers, player
        self.header = {
            "experiment": experiment.name,
            "file": experiment.digest,
            "code": revision(),
            "seeds": list(experiment.seeds),
        }
        self.parts = folder / "runs"

    def _part(self, run: Run) -> Path:
        return self.parts / f"{run.number:05d}.json"

    def _done(self, run: Run) -> bool:
        """Whether its result is there, whole, and of this file and code."""
        try:
            kept = json.loads(self._part(run).read_text())
        except (OSError, ValueError):
            return False
        return (
            isinstance(kept, dict)
            and kept.get("run", {}).get("key") == run.key
            and all(kept.get(name) == self.header[name] for name in ("file", "code"))
        )

    def _keep(self, run: Run, result: dict[str, Any]) -> None:
        named = {"number": run.number, "key": run.key, "policy": run.policy, "seed": run.seed, "point": dict(run.point)}
        text = json.dumps(self.header | {"run": named, "result": result}, sort_keys=True)
        part = self._part(run)
        part.with_suffix(".new").write_text(text + "\n")
        part.with_suffix(".new").replace(part)  # whole or not at all

    def run(self, told: Callable[[Run, dict[str, Any]], None] = lambda run, result: None) -> int:
        """The number of runs that failed."""
        self.parts.mkdir(parents=True, exist_ok=True)
        waiting = [run for run in self.experiment.runs if not self._done(run)][::-1]
        while waiting:
            waiting = self._some(waiting, told)
        lines = [self._part(run).read_text() for run in self.experiment.runs]
        (self.folder / RESULTS).write_text("".join(lines))
        return sum("failed" in json.loads(line)["result"] for line in lines)

    def _some(self, waiting: list[Run], told: Callable[[Run, dict[str, Any]], None]) -> list[Run]:
        """Runs until all are done or a worker dies; returns what is left. Whose worker died is found by running those
        that were out one by one."""
        out: dict[Future, Run] = {}
        suspects: list[Run] = []
        with ProcessPoolExecutor(self.workers) as pool:
            while waiting or out:  # all out are broken at once where one worker dies
                while waiting and len(out) < self.workers:
                    try:
                        out[pool.submit(_guarded, waiting[-1], self.player)] = waiting[-1]
                    except BrokenProcessPool:  # a worker died just now: those that are out tell
                        break
                    waiting.pop()
                done, _ = wait(out, return_when=FIRST_COMPLETED)
                for future in done:
                    run = out.pop(future)
                    try:
                        result = future.result()
                    except BrokenProcessPool:
                        suspects.append(run)
                        continue
                    self._keep(run, result)
                    told(run, result)
                if suspects:
                    suspects += out.values()
                    break
        for run in sorted(suspects, key=lambda run: run.number):
            with ProcessPoolExecutor(1) as alone:
                try:
                    result = alone.submit(_guarded, run, self.player).result()
                except BrokenProcessPool:
                    result = {"failed": "its process died"}
            self._keep(run, result)
            told(run, result)
        return waiting


def load(folder: Path) -> list[dict[str, Any]]:
    """The results of a finished sweep."""
    with open(folder / RESULTS, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
