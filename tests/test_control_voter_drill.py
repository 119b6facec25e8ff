"""Two publishers with three voters under drawn faults, among them those that the claim alone does not hold under.

Publishers are stopped for any time, also between the check of a change set and its commit, and overtaken by a copy of
their disks; old copies are brought back without an operator's word; voters are killed, restarted and lose their disks.
"""

import shutil
import signal
import threading
import time

import pytest
from publisher_fleet import SETTLE_TIME, VOTERS, is_accepted
from test_control_publisher_drill import NAMES, OTHERS, PublisherDrill

STEPS = 8
OVERTAKE_TIME = 15.0  # seconds for a publisher to take over from one that stands still
SUFFIXES = ("", "-wal")  # the files of a database that make a copy


class VoterDrill(PublisherDrill):
    """A drill with voters."""

    steps = STEPS

    def __init__(self, folder, seed):
        super().__init__(folder, seed)
        self.words = {"one": 1}  # for the voters, which are new
        self.voters_up = set()
        self.image_of = None  # whose disk was saved
        for voter in VOTERS:
            self.start_voter(voter)

    def start_voter(self, voter):
        """Starts a voter on its own disk."""
        self.fleet.start_relay(voter)
        self.voters_up.add(voter)

    def start(self, name):
        """Starts a publisher on its own disk; voters make the word of a take-over superfluous."""
        self.fleet.start(name, OTHERS[name], VOTERS, above_term=self.words.get(name, 0))
        self.up.add(name)

    def possible_faults(self):
        """Those of the claim, and those that only voters hold under."""
        down = [name for name in NAMES if name not in self.up]
        faults = [self.stop_and_continue, self.kill_one] if self.up else []
        faults += [self.start_one] if down else []
        faults += [self.start_both, self.copy_latest] if len(down) == 2 else []
        faults += [self.bring_back_old_copy] if self.image_of and len(down) == 2 else []
        faults += [self.overtake] * 2 if self.up == {self.last} else []
        faults += [self.kill_voter, self.restart_voters] if len(self.voters_up) == 3 else [self.revive_voter] * 2
        if self.voters_up == set(VOTERS) and self.up and self.have_memory():
            faults.append(self.lose_votes)
        return faults

    def have_memory(self):
        """Whether all voters have memory."""
        return all(self.fleet.status(voter)["voter"]["has_memory"] for voter in VOTERS)

    def stop_and_continue(self):
        """Stops any publisher for any time."""
        process = self.fleet.processes.all[self.rng.choice(sorted(self.up))]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.1, 4.0))
        process.send_signal(signal.SIGCONT)

    def kill_one(self):
        """Kills any publisher, and saves its disk."""
        super().kill_one()
        down = [name for name in NAMES if name not in self.up]
        self.image_of = self.rng.choice(down)
        self.copy_files(self.image_of, "image")

    def copy_files(self, name, to):
        """The files of a database, as they stand, in place of others."""
        for path in self.folder.glob(f"{to}*"):
            if path.name in (to, f"{to}-wal", f"{to}-shm"):
                path.unlink()
        for suffix in SUFFIXES:
            if (self.folder / f"{name}{suffix}").exists():
                shutil.copy(self.folder / f"{name}{suffix}", self.folder / f"{to}{suffix}")

    def copy_latest(self):
        """The disk of the one that acknowledged last is brought to the other, which starts."""
        name = next(name for name in NAMES if name != self.last)
        self.copy_files(self.last, name)
        self.start(name)

    def bring_back_old_copy(self):
        """A copy that was made some time ago takes the place of a publisher that did not acknowledge last."""
        name = next(name for name in NAMES if name != self.last)
        self.copy_files("image", name)
        self.start(name)

    def overtake(self):
        """The publisher is stopped in the middle of a change set, and a copy of its disk takes over."""
        old = self.last
        new = next(name for name in NAMES if name != old)
        process = self.fleet.processes.all[old]
        results = []
        tenant = f"overtaken-{len(self.played)}"
        submitting = threading.Thread(target=lambda: results.append(self.fleet.publish(old, tenant, OVERTAKE_TIME)))
        submitting.start()
        time.sleep(self.rng.uniform(0.0, 0.02))
        process.send_signal(signal.SIGSTOP)
        self.copy_files(old, new)
        self.start(new)
        end = time.monotonic() + OVERTAKE_TIME / 2
        accepted = None
        while accepted is None and time.monotonic() < end:
            result = self.fleet.publish(new, f"{tenant}-{new}", 0.7)
            accepted = result if is_accepted(result) else None
        process.send_signal(signal.SIGCONT)
        submitting.join()
        late = results[0]
        if is_accepted(late) and (accepted is None or late < accepted):
            self.acknowledge(old, late, tenant)
            late = None
        if accepted is not None:
            self.acknowledge(new, accepted, f"{tenant}-{new}")
        assert not is_accepted(late) or accepted is None, (self.played, late, accepted)

    def kill_voter(self):
        """One of three voters is down."""
        voter = self.rng.choice(sorted(self.voters_up))
        self.fleet.processes.kill(voter)
        self.voters_up.discard(voter)

    def revive_voter(self):
        """The voters that are down come back with their disks."""
        for voter in VOTERS:
            if voter not in self.voters_up:
                self.start_voter(voter)

    def restart_voters(self):
        """All voters restart at once, with their disks."""
        for voter in VOTERS:
            self.fleet.processes.kill(voter)
        self.voters_up.clear()
        self.revive_voter()

    def lose_votes(self):
        """A voter restarts without its disk."""
        voter = self.rng.choice(VOTERS)
        self.fleet.processes.kill(voter)
        self.fleet.lose_votes(voter)
        self.start_voter(voter)

    def finish(self):
        """One of the publishers decides in the end; its name."""
        self.revive_voter()
        for name in (self.last, *(name for name in NAMES if name != self.last)):
            self.start(name)
            if self.settled_status(name)["deciding"]:
                return name
            self.kill(name)
        raise AssertionError(self.played)

    def settled_status(self, name):
        """The status of a publisher once it decides or refuses."""
        end = time.monotonic() + SETTLE_TIME
        while True:
            status = self.fleet.status(name)
            if status["deciding"] or status["claim"] is None:
                return status
            assert time.monotonic() < end, (self.played, status)
            time.sleep(0.1)


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", (1, 2, 3))
def test_voters_let_one_publisher_accept_whatever_is_cut_stopped_copied_or_lost(tmp_path, seed):
    """Guards against two publishers that accept at one time, and against an old copy that undoes what was accepted."""
    drill = VoterDrill(tmp_path, seed)
    try:
        drill.run()
    finally:
        for process in drill.fleet.processes.all.values():
            process.send_signal(signal.SIGCONT)
        drill.fleet.close()
    assert len(drill.acknowledged) >= 4 and len(set(drill.played)) >= 3, "a drill without faults shows nothing"
