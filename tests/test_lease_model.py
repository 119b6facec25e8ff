"""Leases in simulated time: traffic by the number of gateways, and the time to a first holder."""

import pytest

from oakfork.lab.lease_model import LeaseFleetModel


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_traffic_does_not_grow_with_watchers_and_no_two_gateways_hold(loss):
    """With 297 gateways that only watch, frames, bytes and state stay those of the three voters."""
    small, large = (LeaseFleetModel(gateways, 3, loss, 5).run(120, 300_000) for gateways in (3, 300))
    assert small.frames == large.frames < 15 and large.frames_of_a_watcher == 0
    assert large.overlaps == 0 and large.held > 0.6 and large.state_bytes < 4096
    assert max(large.waits) < 12 and len(large.waits) >= 2
    assert (small.sent_bytes, small.received_bytes) == (large.sent_bytes, large.received_bytes)
    assert (28 + 20) * large.frames / 3 < large.sent_bytes < 100 * large.frames and 0 < large.processor < 0.01


def test_contenders_that_start_together_do_not_split_the_votes_again_and_again():
    """Five contenders that start at one instant have a holder within the duration of a lease."""
    first_held_s = []
    for seed in range(12):
        fleet = LeaseFleetModel(5, 5, 0.0, seed)
        for gateway in range(5):
            fleet.fire_timer(gateway, fleet.contenders[gateway].life)
        while not fleet.holding():
            fleet.loop.run(fleet.loop.now + 100)
        first_held_s.append((fleet.loop.now - 1_000_000) / 10_000)
    assert max(first_held_s) < 3.0 and sorted(first_held_s)[6] < 1.0  # a lease lasts three seconds
