"""Machines that are broken on purpose, each in a scene where the right one does well: the witness of control_network.py
must find every one.
"""

import msgspec
import pytest
from control_fleets import fleet, with_feeder
from control_network import ControlNetwork, Disk, put
from control_verifier import VerificationError

from oakfork.control import encoded_frames
from oakfork.control.encoded_frames import EncodedChange
from oakfork.control.events import Say
from oakfork.control.follower import Follower
from oakfork.control.follower_server import FollowerServer, SessionState
from oakfork.control.messages import Kind, Position, Verdict, pack
from oakfork.control.publisher import Publisher


class ForgetsItsTerm(Follower):
    """Takes what one of an older term says."""

    def _older(self, position):
        return False

    def _digests(self, told):
        self.position = min(self.position, told.position)
        super()._digests(told)


class SkipsGaps(Follower):
    """Takes a Delta wherever it begins, and asks for no digest."""

    def _delta(self, told):
        super()._delta(msgspec.structs.replace(told, after=self.position))

    def _agrees(self, staged, digest):
        return True


class Trusts(Follower):
    """Asks for no digest."""

    def _agrees(self, staged, digest):
        return True


class ShowsParts(Follower):
    """Brings each frame in force when it comes."""

    def _take_delta(self, told):
        self.position = told.position
        yield from self.staged.take(told.rows)
        self.store.commit(dict(self.staged.changes), self.staged.sums)
        self._ack()


class Hasty(Publisher):
    """Acknowledges before it is durable."""

    def _judge(self, commands):
        one = self.queue[0]
        super()._judge(commands)
        if self.kept is not None:
            frame = pack(Verdict(one.id, self.kept.position, ()))
            commands += [Say(link, frame) for link in one.links]


class Stubborn(FollowerServer):
    """Serves those of a later term."""

    def _outdated(self, number, link):
        return False

    def _serve(self, number, link):
        if link.position > self.position:
            self._tell_digests(number, link)
        else:
            super()._serve(number, link)


class Leaps(FollowerServer):
    """Sends the last change set alone, whatever the other has."""

    def _begin(self, number, link, after):
        sets = self.history.sets
        delta = EncodedChange(sets[-2].position, self.position, sets[-1].digest, sets[-1].changes)
        self.commands.append(Say(number, delta.frame(0)))
        self._turn(link, SessionState.THEIRS)


class Garbles(FollowerServer):
    """Sends another value than is in force, with the digest of what is."""

    def _begin(self, number, link, after):
        changes = {key: b"garbled" for key in self.history.merged(after)}
        delta = EncodedChange(after, self.position, self.history.digest(self.position), changes)
        self.commands.append(Say(number, delta.frame(0)))
        self._turn(link, SessionState.THEIRS)


def older_term(follower):
    world = ControlNetwork(5)
    world.publisher("p", kind=with_feeder(Stubborn, Publisher))
    world.operator("p")
    world.submit(put("a", b"1"))
    world.run(5_000)
    world.publisher("q", disk=Disk(world.states, world.disks["p"]), above=world.disks["p"].term)
    world.follower("g", 0, ["q", "p"], follower)
    world.nodes["operator"].machine.places = ("q",)
    world.submit(put("a", b"2"))
    world.run(10_000)
    assert world.nodes["g"].machine.position == Position(2, 2)
    world.nodes["q"].kill()
    world.run(20_000)
    return world


def gap(follower):
    world = ControlNetwork(6)
    world.publisher()
    world.relay("wrong", 0, ["p"], with_feeder(Leaps))
    world.relay("right", 0, ["p"])
    world.follower("g", 0, ["wrong", "right"], follower)
    world.operator("p")
    world.submit(put("a", b"1"))
    world.run(5_000)
    world.nodes["g"].stop(5_000)
    world.submit(put("b", b"1"))
    world.submit(put("c", b"1"))
    world.submit(put("d", b"1"))
    world.run(60_000)
    return world


def garbled(follower):
    world = ControlNetwork(7)
    world.publisher()
    world.relay("wrong", 0, ["p"], with_feeder(Garbles))
    world.relay("right", 0, ["p"])
    world.follower("g", 0, ["wrong", "right"], follower)
    world.operator("p")
    world.run(5_000)
    world.submit(put("a", b"1"))
    world.run(60_000)
    return world


def in_parts(follower):
    world = ControlNetwork(8)
    world.publisher()
    world.follower("g", 0, ["p"], follower)
    world.operator("p")
    world.run(5_000)
    world.submit(*(put(f"s{number}", b"x") for number in range(20)))
    world.run(20_000)
    return world


def killed_before_the_disk(publisher):
    world = fleet(publisher=publisher, regions=1)
    world.run(5_000)
    world.kill_at_keep = "before"
    world.submit(put("a", b"1"))
    world.run(10_000)
    world.nodes["p"].born()
    world.submit(put("b", b"1"))
    world.run(60_000)
    return world


BROKEN = [
    (older_term, Follower, ForgetsItsTerm, "went back"),
    (gap, Follower, SkipsGaps, "shows at"),
    (garbled, Follower, Trusts, "shows at"),
    (in_parts, Follower, ShowsParts, "shows at"),
    (killed_before_the_disk, Publisher, Hasty, "lost what was acknowledged"),
]


@pytest.mark.parametrize("scene, right, broken, found", BROKEN, ids=[each[2].__name__ for each in BROKEN])
def test_the_witness_finds_what_is_broken_and_nothing_where_it_is_not(scene, right, broken, found, monkeypatch):
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 5)
    world = scene(right)
    if scene is older_term:
        assert world.nodes["g"].machine.position == Position(2, 2) and world.nodes["g"].counts["older term"]
        assert world.nodes["g"].machine.store.value(Kind.SERVER, "a") == b"2"
    else:
        world.agreed()
    with pytest.raises(VerificationError, match=found):
        scene(broken).agreed()
