"""The parts of the simulated network of control_network.py: disks, the operator, nodes and links."""

from collections import Counter, deque
from types import SimpleNamespace

import msgspec
from control_verifier import VerificationError, filled

from oakfork.control import events, messages
from oakfork.control.events import Connected, Disconnected, FrameReceived, Step, TimerFired
from oakfork.control.messages import Position, Row, Submit, SubmitResult, pack, unpack_down, unpack_up

STATE_MESSAGES = (messages.Delta, messages.Digests, messages.Range)  # each is to be answered before the next one
ANSWERS = (messages.Ack, messages.RangeRequest)
END = object()  # under way on a link after its last frame
DISK_TIME = 3  # milliseconds of a commit
SUBMIT_TIMEOUT = 15_000  # milliseconds until the operator submits again
RECONNECT_PAUSE = 1_000  # milliseconds after the operator's link has ended
SUBMIT_PAUSE = 500  # milliseconds between two change sets


class Disk:
    """A publisher's disk, with its whole log. `states` is the verifier's record of the state at each position."""

    def __init__(self, states, original=None):
        self.states = states
        self.term = 0
        self.position = Position()
        self.entries = []
        self.ids = {}
        self.state = {}
        if original is not None:  # a copy from which another publisher starts
            self.term = original.term
            self.position = original.position
            self.entries = list(original.entries)
            self.ids = dict(original.ids)
            self.state = dict(original.state)

    def begin(self, above=0):
        """Begins a new term."""
        self.term = max(self.term, above) + 1
        self.states[Position(self.term, self.position.number)] = dict(self.state)
        return self.term

    def commit(self, command):
        """Stores a change set."""
        before = self.position
        self.position = command.position
        self.entries.append(SimpleNamespace(before=before, position=command.position, rows=command.rows))
        self.ids[command.id] = command.position
        for row in command.rows:
            self.state.pop((row.kind, row.name), None)
            if row.value is not None:
                self.state[row.kind, row.name] = row.value
        self.states[command.position] = dict(self.state)

    def uncommit(self, position):
        """Removes the change set stored last."""
        entry = self.entries.pop()
        assert entry.position == position
        self.position = entry.before
        self.ids = {id: at for id, at in self.ids.items() if at != position}
        self.state = dict(self.states[entry.before])

    def store(self):
        """A store with the state on the disk."""
        return filled([Row(*key, value) for key, value in self.state.items()])


class Operator:
    """Submits change sets one by one, each again under its id until there is a result."""

    def __init__(self, addresses, acknowledged):
        self.addresses = addresses
        self.acknowledged = acknowledged
        self.change_sets = deque()  # (id, rows), the first one is submitted
        self.refused = []  # (id, rows, faults)
        self.link = 0
        self.connected = False
        self.next_try = 0
        self.tries = 0

    def handle(self, now, event):
        """Handles an event as the machines of oakfork/control do."""
        match event:
            case TimerFired() if self.change_sets and now >= self.next_try:
                return self._connect(now)
            case Connected(link) if link == self.link:
                id, rows = self.change_sets[0]
                return [events.SendFrame(link, pack(Submit(id, msgspec.msgpack.encode(rows))))]
            case Disconnected(link) if link == self.link:
                self.connected = False
                self.next_try = now + RECONNECT_PAUSE
                return [events.SetTimer(self.next_try)]
            case FrameReceived(link, SubmitResult() as result) if link == self.link:
                if result.id == self.change_sets[0][0]:
                    return self._answered(now, result)
        return []

    def _connect(self, now):
        commands = [events.Close(self.link, "again")] if self.connected else []
        self.link -= 1
        self.connected = True
        self.next_try = now + SUBMIT_TIMEOUT
        address = self.addresses[self.tries % len(self.addresses)]
        self.tries += 1
        return [*commands, events.Connect(address, self.link), events.SetTimer(self.next_try)]

    def _answered(self, now, result):
        self.connected = False
        self.next_try = now + SUBMIT_PAUSE
        if result.position is not None:
            self.acknowledged[result.id] = (result.position, self.change_sets.popleft()[1])
        elif not result.faults[0].startswith("older term"):
            self.refused.append((*self.change_sets.popleft(), result.faults))
        return [events.Close(self.link, "done"), events.SetTimer(self.next_try)]


class Node:
    """A machine on the network. It can be killed and started again, and paused."""

    def __init__(self, network, name, region, make):
        self.network = network
        self.name = name
        self.region = region
        self.make = make
        self.counts = Counter()  # closed links and counted events, by reason
        self.damaged = False
        self.silent = False  # killed so that connecting to it isn't refused but times out
        self.life = 0
        self.start()

    def start(self):
        """Starts the machine, also again after a kill."""
        self.life += 1
        self.machine = self.make()
        self.alive = True
        self.paused = False
        self.links = {}
        self.last_link = 0
        self.timer = None
        self.inbox = deque()  # events that wait for the end of a pause
        self.last_position = Position()
        self.network.schedule(0, self.deliver, TimerFired(), self.life)

    def deliver(self, event, life=None):
        """Passes an event to the machine, executes its commands and checks it."""
        if not self.alive or life not in (None, self.life):
            return
        if self.paused:
            self.inbox.append(event)
            return
        for command in self.machine.handle(self.network.now, event):
            self.execute(command)
        self.network.check_node(self)

    def execute(self, command):
        """Executes a machine's command."""
        network = self.network
        match command:
            case events.SendFrame(number, frame) if self.links.get(number) is not None:
                self.links[number].send(self, frame)
            case events.Connect(address, number):
                network.schedule(network.delay(), network.connect, self, address, number, self.life)
            case events.Close(number, reason):
                self.counts[f"closed: {reason}"] += 1
                link = self.links.pop(number, None)
                if link is not None:
                    link.close(self)
                elif number < 0:
                    self.links[number] = None  # stops the connection attempt
            case events.SetTimer(at):
                self.timer = at
                network.schedule(max(0, at - network.now), self.fire_timer, at, self.life)
            case events.ScheduleStep():
                network.schedule(1, self.deliver, Step(), self.life)
            case events.StoreChangeSet():
                network.schedule(DISK_TIME, network.store_change_set, self, command, self.life)
            case events.RevertChangeSet():
                network.schedule(DISK_TIME, network.revert_change_set, self, command, self.life)
            case events.CountEvent(reason):
                self.counts[reason] += 1

    def fire_timer(self, at, life):
        """Fires a timer unless it was replaced."""
        if self.timer == at:
            self.deliver(TimerFired(), life)

    def kill(self, silently=False):
        """Kills the process; `silently`: its peers aren't told, as if its host had gone."""
        self.alive = False
        self.silent = silently
        for link in list(self.links.values()):
            if link is not None:
                link.close(self, silently)
        self.links = {}

    def break_links(self):
        """Ends all links."""
        for number, link in list(self.links.items()):
            del self.links[number]
            if link is not None:
                link.close(self)
                self.deliver(Disconnected(number))

    def pause(self, duration):
        """Suspends the process."""
        self.paused = True
        self.network.schedule(duration, self.resume, self.life)

    def resume(self, life):
        """Ends a pause and delivers what has come meanwhile."""
        if life == self.life and self.paused:
            self.paused = False
            while self.inbox and self.alive:
                self.deliver(self.inbox.popleft())
            self.deliver(TimerFired())


class Link:
    """A link between two nodes; `low` opened it."""

    def __init__(self, network, low, low_number, high, high_number):
        self.network = network
        self.numbers = {low: low_number, high: high_number}
        self.peers = {low: high, high: low}
        self.under_way = {low: deque(), high: deque()}  # by receiver, in order
        self.lives = {low: low.life, high: high.life}
        self.unanswered = 0  # state frames that `low` has received and not answered
        self.low = low

    def send(self, sender, frame):
        """Sends a frame to the other node."""
        if sender is self.low and isinstance(unpack_up(frame), ANSWERS):
            self.unanswered = 0
        self._put_under_way(sender, frame)

    def close(self, sender, silently=False):
        """Ends the link; what the other node has sent is lost."""
        self.under_way[sender].clear()
        if not silently:
            self._put_under_way(sender, END)

    def _put_under_way(self, sender, item):
        receiver = self.peers[sender]
        self.under_way[receiver].append(item)
        self.network.schedule(self.network.delay(), self.deliver_next, receiver)

    def deliver_next(self, receiver):
        """Delivers what was sent first. It is scheduled once for each item, each time with a delay of its own."""
        waiting = self.under_way[receiver]
        if not waiting or self.network.is_cut(receiver, self.peers[receiver]):
            return
        item = waiting.popleft()
        number = self.numbers[receiver]
        if receiver.links.get(number) is not self or receiver.life != self.lives[receiver]:
            return
        if item is END:
            del receiver.links[number]
            receiver.deliver(Disconnected(number))
            return
        message = unpack_down(item) if number < 0 else unpack_up(item)
        if isinstance(message, STATE_MESSAGES):
            self._count(receiver, message, len(item))
        receiver.deliver(FrameReceived(number, message))

    def _count(self, receiver, message, size):
        self.network.sent[type(message).__name__] += 1
        self.network.bytes[receiver.name] += size
        self.unanswered += 1
        if self.unanswered > 1:
            raise VerificationError(f"{receiver.name} has {self.unanswered} frames to answer")
