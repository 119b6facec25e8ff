"""Runs an experiment over worker processes; an interrupted sweep resumes where it stopped.

The same file, seeds and code give the same bytes whatever the number of workers: a run depends on its own seed alone,
and results are written in the order of the file. A run that crashes is reported, and the others continue.
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
MAX_ERROR_LENGTH = 500  # characters
GIT_TIMEOUT = 5  # seconds

Player = Callable[[Run], dict[str, Any]]
Progress = Callable[[Run, dict[str, Any]], None]


def revision() -> str:
    """Identifies the code: its commit where there is one, and a digest of the sources, committed or not."""
    root = Path(oakfork.__file__).parent
    digest = hashlib.sha256()
    for path in sorted(root.rglob("*.py")):
        digest.update(path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes())
    commit = ""
    command = ["git", "-C", str(root), "rev-parse", "--short=12", "HEAD"]
    try:
        process = subprocess.run(command, capture_output=True, text=True, timeout=GIT_TIMEOUT)
        if process.returncode == 0:
            commit = process.stdout.strip()
    except (OSError, subprocess.TimeoutExpired):
        pass
    return f"{commit or 'no commit'}, sources {digest.hexdigest()[:12]}"


def play(run: Run) -> dict[str, Any]:
    """Runs the simulation of one run and returns its result."""
    return World(run.world, POLICIES[run.policy], run.seed).run()


def _play_guarded(run: Run, player: Player) -> dict[str, Any]:
    """The result of a run, or what it raised under the key "failed"."""
    try:
        return player(run)
    except Exception as error:
        return {"failed": f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]}


def _ignore(run: Run, result: dict[str, Any]) -> None:
    """Reports no progress."""


class Sweep:
    """Runs an experiment. Each result is a file in `folder`/runs until all are there; then one file has them all."""

    def __init__(self, experiment: Experiment, folder: Path, workers: int, player: Player = play) -> None:
        """`player` makes a result of a run, in a worker process."""
        self.experiment = experiment
        self.folder = folder
        self.workers = workers
        self.player = player
        self.header = {
            "experiment": experiment.name,
            "file": experiment.digest,
            "code": revision(),
            "seeds": list(experiment.seeds),
        }
        self.runs_folder = folder / "runs"

    def _path(self, run: Run) -> Path:
        return self.runs_folder / f"{run.number:05d}.json"

    def _is_done(self, run: Run) -> bool:
        """Whether the run has a complete result from this file and code."""
        try:
            stored = json.loads(self._path(run).read_text())
        except (OSError, ValueError):
            return False
        return (
            isinstance(stored, dict)
            and stored.get("run", {}).get("key") == run.key
            and all(stored.get(name) == self.header[name] for name in ("file", "code"))
        )

    def _store(self, run: Run, result: dict[str, Any]) -> None:
        """Writes a result atomically."""
        description = {
            "number": run.number,
            "key": run.key,
            "policy": run.policy,
            "seed": run.seed,
            "point": dict(run.point),
        }
        text = json.dumps(self.header | {"run": description, "result": result}, sort_keys=True)
        path = self._path(run)
        new = path.with_suffix(".new")
        new.write_text(text + "\n")
        new.replace(path)

    def run(self, report: Progress = _ignore) -> int:
        """Runs what is not done yet, calls `report` after each run, and returns the number of runs that failed."""
        self.runs_folder.mkdir(parents=True, exist_ok=True)
        waiting = [run for run in self.experiment.runs if not self._is_done(run)][::-1]
        while waiting:
            waiting = self._run_until_a_worker_dies(waiting, report)
        lines = [self._path(run).read_text() for run in self.experiment.runs]
        (self.folder / RESULTS).write_text("".join(lines))
        return sum("failed" in json.loads(line)["result"] for line in lines)

    def _run_until_a_worker_dies(self, waiting: list[Run], report: Progress) -> list[Run]:
        """Runs from the end of the list until it is empty or a worker dies; returns the runs that are left.

        When one worker dies, the pool fails all open runs. Running each of them alone finds the one that killed it.
        """
        open_runs: dict[Future, Run] = {}
        suspects: list[Run] = []
        with ProcessPoolExecutor(self.workers) as pool:
            while waiting or open_runs:
                self._submit(pool, waiting, open_runs)
                done, _ = wait(open_runs, return_when=FIRST_COMPLETED)
                for future in done:
                    run = open_runs.pop(future)
                    try:
                        result = future.result()
                    except BrokenProcessPool:
                        suspects.append(run)
                        continue
                    self._store(run, result)
                    report(run, result)
                if suspects:
                    suspects += open_runs.values()
                    break
        for run in sorted(suspects, key=lambda run: run.number):
            result = self._run_alone(run)
            self._store(run, result)
            report(run, result)
        return waiting

    def _submit(self, pool: ProcessPoolExecutor, waiting: list[Run], open_runs: dict[Future, Run]) -> None:
        """Moves runs from the end of `waiting` to the pool until every worker has one."""
        while waiting and len(open_runs) < self.workers:
            try:
                future = pool.submit(_play_guarded, waiting[-1], self.player)
            except BrokenProcessPool:  # a worker died just now; the open runs will report it
                return
            open_runs[future] = waiting.pop()

    def _run_alone(self, run: Run) -> dict[str, Any]:
        with ProcessPoolExecutor(1) as pool:
            try:
                return pool.submit(_play_guarded, run, self.player).result()
            except BrokenProcessPool:
                return {"failed": "its process died"}


def load(folder: Path) -> list[dict[str, Any]]:
    """The results of a finished sweep; raises OSError or ValueError if there are none."""
    with open(folder / RESULTS, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
