"""Bounds how much of what clients send is handled before the other tasks of the gateway run again."""

import trio


class ReadScheduler:
    """Gives turns to tasks that handle what clients have sent: so many in a pass of the event loop, in their order.

    In a pass the event loop runs each task that can run, once. An RPC needs several passes from its read to its answer
    (decision, call-out, answer of the server), so it is held up by several times the length of a pass. Guards against
    clients that send more than the gateway has time for: without a bound a pass is as long as the handling of all that
    they have sent, and the RPCs of other clients miss their deadlines.
    """

    def __init__(self, nursery: trio.Nursery, turns_per_pass: int) -> None:
        self.nursery = nursery
        self.turns_per_pass = turns_per_pass
        self.left = turns_per_pass  # turns until the next pass
        self.waiting = trio.lowlevel.ParkingLot()
        self.releasing = False  # whether a task gives new turns in the next pass

    def begin_pass(self) -> None:
        """Renews the turns. Without these calls, turns that some passes left over are missing in later ones."""
        if not self.releasing:
            self.left = self.turns_per_pass

    async def wait_turn(self) -> None:
        """Waits until the caller may do one step of its work."""
        if self.left and not self.waiting:
            self.left -= 1
            return
        if not self.releasing:
            self.releasing = True
            self.nursery.start_soon(self._release)
        await self.waiting.park()

    async def _release(self) -> None:
        """Gives new turns in each pass until nobody waits for one."""
        try:
            while self.waiting:
                self.left = self.turns_per_pass - len(self.waiting.unpark(count=self.turns_per_pass))
                await trio.lowlevel.checkpoint()
            self.left = self.turns_per_pass
        finally:
            self.releasing = False
