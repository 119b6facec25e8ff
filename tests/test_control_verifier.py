"""The verifier finds machines that are broken on purpose, each in a scenario in which the correct one passes."""

import msgspec
import pytest
from control_fleets import fleet, with_follower_server
from control_network import ControlNetwork, put
from control_nodes import Disk
from control_verifier import VerificationError

from oakfork.control import encoded_frames
from oakfork.control.encoded_frames import EncodedChange
from oakfork.control.events import SendFrame
from oakfork.control.follower import Follower
from oakfork.control.follower_server import FollowerServer, SessionState
from oakfork.control.messages import Kind, Position, SubmitResult, pack
from oakfork.control.publisher import Publisher


class ForgetsItsTerm(Follower):
    """Accepts positions of older terms."""

    def _is_older_term(self, position):
        return False

    def _digests(self, digests):
        self.position = min(self.position, digests.position)
        super()._digests(digests)


class SkipsGaps(Follower):
    """Applies Deltas whatever position they begin at, and doesn't check digests."""

    def _delta(self, delta):
        super()._delta(msgspec.structs.replace(delta, after=self.position))

    def _digest_matches(self, staged, digest):
        return True


class IgnoresDigests(Follower):
    """Doesn't check digests."""

    def _digest_matches(self, staged, digest):
        return True


class AppliesPartially(Follower):
    """Puts each frame of a Delta in force when it arrives."""

    def _take_delta(self, delta):
        staged = self.transfer.staged
        self.position = delta.position
        yield from staged.take(delta.rows)
        self.store.commit(dict(staged.changes), staged.sums)
        self._ack()


class AcknowledgesEarly(Publisher):
    """Acknowledges a change set before it is durable."""

    def _process_next(self, now, commands):
        submitted = self.queue.first
        super()._process_next(now, commands)
        if self.storing is not None:
            frame = pack(SubmitResult(submitted.id, self.storing.position, ()))
            commands += [SendFrame(link, frame) for link in submitted.links]


class ServesNewerTerms(FollowerServer):
    """Serves followers whose state is of a later term."""

    def _refuse_newer_term(self, link, session):
        return False

    def _serve(self, link, session):
        if session.position > self.position:
            self._send_digests(link, session)
        else:
            super()._serve(link, session)


class SendsLastChangeOnly(FollowerServer):
    """Sends only the last change set, whatever position the follower has."""

    def _send_delta(self, link, session, after):
        sets = self.history.sets
        delta = EncodedChange(sets[-2].position, self.position, sets[-1].digest, sets[-1].changes)
        self.commands.append(SendFrame(link, delta.frame(0)))
        self._set_state(session, SessionState.AWAITING_ACK)


class SendsWrongValues(FollowerServer):
    """Sends other values than those in force, with the right digest."""

    def _send_delta(self, link, session, after):
        changes = {key: b"garbled" for key in self.history.merged(after)}
        delta = EncodedChange(after, self.position, self.history.digest(self.position), changes)
        self.commands.append(SendFrame(link, delta.frame(0)))
        self._set_state(session, SessionState.AWAITING_ACK)


def older_term(follower):
    """A follower of a later publisher is connected to an earlier one that serves it all the same."""
    network = ControlNetwork(5)
    network.publisher("p", kind=with_follower_server(ServesNewerTerms, Publisher))
    network.operator("p")
    network.submit(put("a", b"1"))
    network.run(5_000)
    network.publisher("q", disk=Disk(network.states, network.disks["p"]), above=network.disks["p"].term)
    network.follower("g", 0, ["q", "p"], follower)
    network.nodes["operator"].machine.addresses = ("q",)
    network.submit(put("a", b"2"))
    network.run(10_000)
    assert network.nodes["g"].machine.position == Position(2, 2)
    network.nodes["q"].kill()
    network.run(20_000)
    return network


def gap(follower):
    """A follower that was paused gets only the last of the change sets that it missed."""
    network = ControlNetwork(6)
    network.publisher()
    network.relay("wrong", 0, ["p"], with_follower_server(SendsLastChangeOnly))
    network.relay("right", 0, ["p"])
    network.follower("g", 0, ["wrong", "right"], follower)
    network.operator("p")
    network.submit(put("a", b"1"))
    network.run(5_000)
    network.nodes["g"].pause(5_000)
    network.submit(put("b", b"1"))
    network.submit(put("c", b"1"))
    network.submit(put("d", b"1"))
    network.run(60_000)
    return network


def wrong_values(follower):
    """A follower gets a Delta whose values are wrong."""
    network = ControlNetwork(7)
    network.publisher()
    network.relay("wrong", 0, ["p"], with_follower_server(SendsWrongValues))
    network.relay("right", 0, ["p"])
    network.follower("g", 0, ["wrong", "right"], follower)
    network.operator("p")
    network.run(5_000)
    network.submit(put("a", b"1"))
    network.run(60_000)
    return network


def long_delta(follower):
    """A follower gets a Delta of several frames."""
    network = ControlNetwork(8)
    network.publisher()
    network.follower("g", 0, ["p"], follower)
    network.operator("p")
    network.run(5_000)
    network.submit(*(put(f"s{number}", b"x") for number in range(20)))
    network.run(20_000)
    return network


def kill_before_commit(publisher):
    """A publisher is killed before a change set is on its disk."""
    network = fleet(publisher=publisher, regions=1)
    network.run(5_000)
    network.fault_at_store = "before"
    network.submit(put("a", b"1"))
    network.run(10_000)
    network.nodes["p"].start()
    network.submit(put("b", b"1"))
    network.run(60_000)
    return network


BROKEN = [
    (older_term, Follower, ForgetsItsTerm, "went back"),
    (gap, Follower, SkipsGaps, "shows at"),
    (wrong_values, Follower, IgnoresDigests, "shows at"),
    (long_delta, Follower, AppliesPartially, "shows at"),
    (kill_before_commit, Publisher, AcknowledgesEarly, "lost what was acknowledged"),
]


@pytest.mark.parametrize("scenario, correct, broken, error", BROKEN, ids=[each[2].__name__ for each in BROKEN])
def test_the_verifier_finds_broken_machines_only(scenario, correct, broken, error, monkeypatch):
    """Each broken machine violates a check in its scenario, in which the correct one passes all."""
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 5)
    network = scenario(correct)
    if scenario is older_term:
        assert network.nodes["g"].machine.position == Position(2, 2) and network.nodes["g"].counts["older term"]
        assert network.nodes["g"].machine.store.value(Kind.SERVER, "a") == b"2"
    else:
        network.check_agreement()
    with pytest.raises(VerificationError, match=error):
        scenario(broken).check_agreement()
