"""Two publishers under drawn faults: kills, stops, restarts, copies by the operator's steps, and starts at once.

A witness keeps all acknowledgements. Nobody is cut off, and the relay has the latest change set before the next fault:
the assumptions of docs/control.md.
"""

import random
import signal
import time

import pytest
from fake_services import until
from publisher_fleet import PublisherFleet, is_accepted

from oakfork.control.database import Database
from oakfork.control.messages import Kind

NAMES = ("one", "two")
OTHERS = {"one": ("two", "relay"), "two": ("one", "relay")}
STEPS = 12


class PublisherDrill:
    """One drill: draws faults from its seed, publishes after each, and checks what is acknowledged."""

    steps = STEPS

    def __init__(self, folder, seed):
        self.fleet = PublisherFleet(folder)
        self.folder = folder
        self.rng = random.Random(seed)
        self.up = set()
        self.acknowledged = []  # tenants, in their order
        self.last = None  # the publisher that acknowledged last
        self.position = None  # of its last acknowledgement
        self.words = {}  # the operator's, by publisher
        self.played = []

    def run(self):
        """Plays the drill, and checks that nothing acknowledged was lost."""
        self.start("one")
        self.fleet.start_relay()
        self.acknowledge("one", self.fleet.publish_when_it_decides("one", "first"), "first")
        for step in range(self.steps):
            self.play()
            self.publish(f"step-{step}")
        for name in list(self.up):
            self.kill(name)
        name = self.finish()
        self.acknowledge(name, self.fleet.publish_when_it_decides(name, "last"), "last")
        self.kill(name)
        self.check_disk()

    def play(self):
        """One fault, drawn from those that are possible now."""
        fault = self.rng.choice(self.possible_faults())
        self.played.append(fault.__name__)
        fault()

    def finish(self):
        """Starts the publisher that decides in the end; its name."""
        self.start(self.last)
        return self.last

    def possible_faults(self):
        """The faults that are possible now; one that is drawn more often stands there more often."""
        down = [name for name in NAMES if name not in self.up]
        faults = [self.stop_and_continue] if self.up else []
        faults += [self.kill_one] if self.up else []
        faults += [self.start_one] * 2 if down else []
        faults += [self.start_both, self.take_over] if len(down) == 2 else []
        return faults

    def start(self, name):
        """Starts a publisher on its own disk."""
        self.fleet.start(name, OTHERS[name], above_term=self.words.get(name, 0))
        self.up.add(name)

    def kill(self, name):
        """Kills a publisher."""
        self.fleet.processes.kill(name)
        self.up.discard(name)

    def start_one(self):
        """Starts a publisher beside the other, if that is up."""
        self.start(self.rng.choice([name for name in NAMES if name not in self.up]))

    def start_both(self):
        """Starts both at once."""
        for name in self.rng.sample(NAMES, 2):
            self.start(name)

    def kill_one(self):
        """Kills any publisher."""
        self.kill(self.rng.choice(sorted(self.up)))

    def stop_and_continue(self):
        """Stops a publisher, while no other one is about to decide."""
        name = self.rng.choice(sorted(self.up))
        if self.up == {name} or self.fleet.status(name)["deciding"] is False:
            process = self.fleet.processes.all[name]
            process.send_signal(signal.SIGSTOP)
            time.sleep(self.rng.uniform(0.1, 2.5))
            process.send_signal(signal.SIGCONT)

    def take_over(self):
        """The disk of the one that acknowledged last is brought to the other, by the steps of the page."""
        name = next(name for name in NAMES if name != self.last)
        for path in self.folder.glob(f"{name}*"):
            if path.name in (name, f"{name}-wal", f"{name}-shm"):
                path.unlink()
        self.fleet.copy(self.last, name)
        self.words[name] = self.fleet.status("relay")["position"][0]
        self.start(name)

    def publish(self, tenant):
        """Submits to each publisher that is up: one accepts at most, and the relay gets what it accepts."""
        time.sleep(self.rng.uniform(0.0, 1.0))
        names = self.rng.sample(sorted(self.up), len(self.up))
        results = {name: self.fleet.publish(name, f"{tenant}-{name}", 0.7) for name in names}
        accepted = [name for name in names if is_accepted(results[name])]
        for name in accepted:
            self.acknowledge(name, results[name], f"{tenant}-{name}")
        if len(accepted) == 2:  # the first one may have been taken over from in between
            again = self.fleet.publish(accepted[0], f"{tenant}-again", 0.7)
            assert not is_accepted(again), (self.played, results, again)

    def acknowledge(self, name, position, tenant):
        """Records an acknowledgement, which must be the latest one, and waits until the relay has it."""
        assert self.position is None or position > self.position, (self.played, name, position, self.position)
        self.acknowledged.append(tenant)
        self.last = name
        self.position = position
        # It may have more: a change set whose answer did not come in time.
        assert until(lambda: tuple(self.fleet.status("relay")["position"]) >= tuple(position)), (self.played, position)

    def check_disk(self):
        """The disk of the last publisher has each change set that was acknowledged by any."""
        database = Database(self.folder / self.last)
        try:
            records = database.loaded.records
            lost = [tenant for tenant in self.acknowledged if records.value(Kind.TENANT, tenant) is None]
            assert not lost, (self.played, lost)
        finally:
            database.close()


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", range(1, 5))
def test_no_acknowledged_change_set_is_lost_under_drawn_faults(tmp_path, seed):
    """Guards against two publishers that accept at one time, and against a start that undoes what was accepted."""
    drill = PublisherDrill(tmp_path, seed)
    try:
        drill.run()
    finally:
        for process in drill.fleet.processes.all.values():
            process.send_signal(signal.SIGCONT)
        drill.fleet.close()
    assert len(drill.acknowledged) >= 4 and len(set(drill.played)) >= 3, "a drill without faults shows nothing"
