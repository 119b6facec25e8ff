"""Leases in simulated time."""

import pytest

from oakfork.lab.lease_model import LeaseFleetModel


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_frames_do_not_grow_with_those_that_only_watch_and_no_two_hold(loss):
    small, large = (LeaseFleetModel(gateways, 3, loss, 5).run(120, 300_000) for gateways in (3, 300))
    assert small.frames == large.frames < 15 and large.frames_of_a_watcher == 0
    assert large.overlaps == 0 and large.held > 0.6 and large.state_bytes < 4096
    assert max(large.waits) < 12 and len(large.waits) >= 2
    assert (small.sent_bytes, small.received_bytes) == (large.sent_bytes, large.received_bytes)
    assert (28 + 20) * large.frames / 3 < large.sent_bytes < 100 * large.frames and 0 < large.processor < 0.01


def test_contenders_do_not_duel():
    """Guards against rounds that split the votes again and again: five start at one instant."""
    firsts = []
    for seed in range(12):
        fleet = LeaseFleetModel(5, 5, 0.0, seed)
        for me in range(5):
            fleet.wake(me, fleet.ones[me].life)
        while not fleet.holding():
            fleet.loop.run(fleet.loop.now + 100)
        firsts.append((fleet.loop.now - 1_000_000) / 10_000)
    assert max(firsts) < 3.0 and sorted(firsts)[6] < 1.0  # seconds; a lease lasts three
