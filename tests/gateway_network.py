"""A seeded simulation of several gateways and their servers, with five rules checked after every step.

1. Each RPC gets exactly one final answer, in time, and is not sent on afterwards.
2. An RPC runs again only where its method allows it, and is pushed back only where a further try is harmless.
3. Nothing is sent to a server that drains or is gone.
4. A server that has just started is not overloaded.
5. No customer exceeds a ceiling, beyond its slack.

A call-out is first decided (SendCallOut) and begins when its connection is up, at once or up to 1.5 s later. Rules 2, 3
and 4 hold when it begins, which is when they are checked; until then it may be cancelled.
"""

import heapq
import random
from dataclasses import dataclass, field

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import NEVER_RAN, SECOND, Method, Plan, RepeatSafety, ServerState, Status

METHODS = (
    Method(20_000, 60_000, RepeatSafety.IDEMPOTENT, "all", 50_000, 1.0, 0.0, False),
    Method(8_000, 30_000, RepeatSafety.DEDUPLICATED, "cell", 1_500, 2.0, 0.0, False),
    Method(8_000, 30_000, RepeatSafety.DEDUPLICATED, "all", 15_000, 2.0, 0.2, False),
    Method(8_000, 20_000, RepeatSafety.NON_IDEMPOTENT, "all", 0, 2.0, 0.0, False),
)
PLANS = (
    Plan(4.0, 8.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 1.0),
    Plan(6.0, 9.0, 0, 7.5, 11.2, 1.0, 1.0, 0.0, 1.0),
    Plan(20.0, 30.0, 3, 0.0, 0.0, 0.0, 1.0, 0.0, 1.0),
    Plan(0.0, 0.0, 0, 5.0, 10.0, 2.0, 1.0, 0.0, 1.0),
)
CUSTOMERS = 12
ANSWER_SLACK = 160  # tenths of a millisecond beyond the deadline in which a final answer is in time
GROUP_COUNTS = {"all": 1, "zone": 2, "cell": 3}  # how many groups of each kind the servers form, by their number
STATUS_WEIGHTS = (80, 0, 0, 2, 2, 4, 4, 4)  # of the members of Status in order, where there are faults
ALWAYS_OK = (1, 0, 0, 0, 0, 0, 0, 0)


def gateway_settings(index=0, gateways=1, seed=1, **changes) -> interface.GatewaySettings:
    """The settings of one gateway, with some of them changed by name."""
    values = dict(
        seed=seed,
        index=index,
        gateways=gateways,
        zone=0,
        methods=METHODS,
        plans=PLANS,
        peer_frames_per_s=30.0,
        max_units=2,
        reports_true_units=False,
        peers=True,
        cancel=True,
        second_copies=True,
        retry_after=True,
        probing=False,
        max_call_outs=4,
        subscribes_to_list=False,
        list_timeout=SECOND,
        load_report_names=(),
        load_report_mode="off",
        drain_grace=5_000,
        cold_share=0.2,
        cold_time=15 * SECOND,
        fall_multiple=2.0,
        fall_time=2 * SECOND,
    )
    return interface.GatewaySettings(**(values | changes))


def entry(server, state=ServerState.READY, since=0) -> interface.ServerEntry:
    """The list entry of a server, whose zone and cell follow from its number."""
    return interface.ServerEntry(server, 1000 + server, server % 2, server % 3, state, since, 1.0)


def arrival(rpc, customer=7, method=0, plan=0, units=1.0, first=0, spread=1, left=None) -> interface.RpcArrived:
    """An RPC of one unit that comes in with all its time left, unless stated otherwise."""
    time_left = left or METHODS[method].deadline
    return interface.RpcArrived(rpc, customer, method, plan, units, first, spread, time_left, False)


@dataclass
class TrackedRpc:
    """What the simulation knows of an RPC."""

    request: interface.RpcArrived
    deadline: int
    answered: bool = False
    open_call_outs: dict[int, int] = field(default_factory=dict)  # call-out -> server
    begun: dict[int, tuple[int, int]] = field(default_factory=dict)  # may have run: call-out -> (server, time)
    sent: int = 0
    stopped: set[int] = field(default_factory=set)  # call-outs whose end is on its way


class GatewayNetwork:
    """Gateways, servers and the network between them, under one random generator."""

    def __init__(self, seed: int, gateways: int, servers: int, faults=True, **settings) -> None:
        self.rng = random.Random(seed)
        self.faults = faults  # restarts, drains, failing call-outs, lost and repeated frames
        self.settings = {"probing": False} | settings
        self.methods = self.settings.get("methods", METHODS)
        self.connect_delays = (0,)  # how long connections take to come up: drawn from these
        self.now, self.sequence, self.queue = 1000, 0, []
        self.servers, self.count = servers, gateways
        # Frames a second from one gateway to another.
        self.max_link_rate = gateway_settings().peer_frames_per_s / max(1, gateways - 1)
        self.down_until = [0] * gateways
        self.lives, self.modules = [0] * gateways, [None] * gateways
        self.listed = [{} for _ in range(gateways)]  # what each gateway knows: server -> (state, since)
        self.rpcs: dict[tuple[int, int, int], TrackedRpc] = {}  # by gateway, its life and RPC
        self.last_rpc = 0
        self.ceiling_tokens = {}  # customer -> (tokens, updated)
        self.frame_times = {}  # (gateway, life, peer) -> times
        self.partitioned = False  # no frame between gateways arrives
        self.log, self.answers = [], {"ok": 0, "pushed back": 0, "aborted": 0}
        for index in range(gateways):
            self.launch(index)

    def schedule(self, after: int, gateway: int, event) -> None:
        """Has an event, or a function of the gateway's index, reach a gateway unless it restarts first."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + after, self.sequence, gateway, self.lives[gateway], event))

    def end_life(self, index: int) -> None:
        """Drops a gateway's RPCs, which are its clients' to retry, and all events still due to its present life."""
        self.lives[index] += 1
        self.rpcs = {key: tracked for key, tracked in self.rpcs.items() if key[0] != index}

    def launch(self, index: int) -> None:
        """Starts a gateway, or starts it again, with a complete list of ready servers."""
        self.end_life(index)
        settings = gateway_settings(index, self.count, self.rng.getrandbits(64), **self.settings)
        self.modules[index] = DecisionModule(settings, self.now)
        self.listed[index] = {server: (ServerState.READY, 0) for server in range(self.servers)}
        entries = tuple(entry(server) for server in range(self.servers))
        self.deliver(index, interface.ServerList(True, False, entries))

    def step(self) -> bool:
        """Delivers the next event and checks rule 1; False where none is left."""
        if not self.queue:
            return False
        self.now, _, index, life, event = heapq.heappop(self.queue)
        if life == self.lives[index] and self.now >= self.down_until[index]:
            self.deliver(index, event)
        for tracked in self.rpcs.values():
            in_time = tracked.answered or self.now <= tracked.deadline + ANSWER_SLACK
            assert in_time, "rule 1: an RPC was not answered in time"
        return True

    def deliver(self, index: int, event) -> None:
        """Passes an event to a gateway and executes the commands it answers with."""
        if callable(event):
            event(index)
            return
        event = self._track(index, event)
        if event is None:
            return
        for command in self.modules[index].handle(self.now, event):
            self.log.append((self.now, index, command))
            self.execute(index, command)

    def _track(self, index: int, event: interface.Event) -> interface.Event | None:
        """Takes note of an event; returns it as the gateway gets it, or None where its RPC is over."""
        life = self.lives[index]
        if isinstance(event, interface.RpcArrived):
            self.rpcs[index, life, event.rpc] = TrackedRpc(event, self.now + event.time_left)
        elif isinstance(event, interface.CallOutEnded):
            return self._track_end(self.rpcs[index, life, event.rpc], event)
        elif isinstance(event, interface.ClientDisconnected):
            tracked = self.rpcs.get((index, life, event.rpc))
            if tracked is None or tracked.answered:
                return None
            tracked.answered = True
        elif isinstance(event, interface.ServerList):
            if event.complete:
                self.listed[index] = {server: (ServerState.GONE, 0) for server in self.listed[index]}
            self.listed[index].update({e.server: (e.state, e.up_since) for e in event.entries})
        return event

    def _track_end(self, tracked: TrackedRpc, event: interface.CallOutEnded) -> interface.CallOutEnded | None:
        if event.call_out not in tracked.open_call_outs:
            return None
        del tracked.open_call_outs[event.call_out]
        if event.status in NEVER_RAN:
            tracked.begun.pop(event.call_out, None)
        if event.status == Status.OK and not tracked.answered:
            tracked.answered = True
            self.answers["ok"] += 1
            return event._replace(final=True)
        return event._replace(final=True) if tracked.answered else event

    def execute(self, index: int, command) -> None:
        """Carries out a gateway's command and checks the rules that it concerns."""
        match command:
            case interface.SetTimer(token, after):
                assert after > 0
                self.schedule(after, index, interface.TimerFired(token))
            case interface.SendPeerFrame(peer, data):
                self._send_frame(index, peer, data)
            case interface.ProbeServer(server):
                took, status = self.probe_result(server)
                self.schedule(took, index, interface.ProbeEnded(server, Status(status), took, ()))
            case interface.PushBack(rpc) | interface.Abort(rpc):
                self._answer(self.rpcs[index, self.lives[index], rpc], isinstance(command, interface.PushBack))
            case interface.CancelCallOut(rpc, call_out):
                begun = call_out in self.rpcs[index, self.lives[index], rpc].begun
                self.end_call_out(index, rpc, call_out, Status.CANCELLED if begun else Status.NEVER_STARTED, 20)
            case interface.CancelIfUnsent(rpc, call_out):
                tracked = self.rpcs.get((index, self.lives[index], rpc))
                if tracked and call_out in tracked.open_call_outs and call_out not in tracked.begun:
                    self.end_call_out(index, rpc, call_out, Status.NEVER_STARTED, 1)
            case interface.SendCallOut(rpc, server):
                self._send_call_out(index, rpc, server, command.write_deadline)

    def _send_frame(self, index: int, peer: int, data: bytes) -> None:
        assert 0 < len(data) <= 256 and peer != index
        times = self.frame_times.setdefault((index, self.lives[index], peer), [])
        times.append(self.now)
        recent = sum(self.now - at < SECOND for at in times[-99:])
        assert recent <= self.max_link_rate + 3, "more frames than a gateway takes in"
        if self.partitioned or not self.frame_arrives(index, peer):
            return
        copies = self.rng.choice((0, 1, 1, 1, 1, 1, 1, 2)) if self.faults else 1  # lost or repeated
        for _ in range(copies):
            in_time = self.rng.random() < 0.97 or not self.faults
            delay = self.rng.randint(10, 300) if in_time else 9_000
            self.schedule(delay, peer, interface.PeerFrame(index, data))

    def _answer(self, tracked: TrackedRpc, is_pushback: bool) -> None:
        assert not tracked.answered, "rule 1: a second final answer"
        method = self.methods[tracked.request.method]
        if is_pushback and tracked.begun:
            all_drop_repeats = method.repeat == RepeatSafety.DEDUPLICATED and method.group == "all"
            assert method.repeat == RepeatSafety.IDEMPOTENT or all_drop_repeats, "rule 2: harmful pushback"
        tracked.answered = True
        self.answers["pushed back" if is_pushback else "aborted"] += 1

    def end_call_out(self, index: int, rpc: int, call_out: int, status: Status, after: int) -> None:
        """Ends a call-out before its answer."""
        tracked = self.rpcs[index, self.lives[index], rpc]
        tracked.stopped.add(call_out)
        server = tracked.open_call_outs[call_out]
        event = interface.CallOutEnded(rpc, call_out, server, after, status, tracked.answered, 0, ())
        self.schedule(after, index, event)

    def _send_call_out(self, index: int, rpc: int, server: int, write_deadline: int) -> None:
        tracked = self.rpcs[index, self.lives[index], rpc]
        assert not tracked.answered and self.now < tracked.deadline, "rule 1: sent on after its final answer"
        state, _ = self.listed[index][server]
        assert state == ServerState.READY, "rule 3: sent to a server that drains or is gone"
        if not tracked.sent:
            self._check_ceiling(tracked.request)
        number = tracked.sent
        tracked.sent += 1
        tracked.open_call_outs[number] = server
        delays = self.connect_delays
        delay = self.rng.choice(delays) if len(delays) > 1 else delays[0]
        if delay:
            self.schedule(delay, index, lambda index: self._begin_call_out(index, rpc, number, write_deadline))
        else:
            self._begin_call_out(index, rpc, number, write_deadline)

    def _check_ceiling(self, request: interface.RpcArrived) -> None:
        plan = PLANS[request.plan]
        if plan.ceiling_rate:
            tokens, updated = self.ceiling_tokens.get(request.customer, (plan.ceiling_burst, self.now))
            refilled = tokens + (self.now - updated) * plan.ceiling_rate / SECOND
            tokens = min(plan.ceiling_burst, refilled) - request.units
            self.ceiling_tokens[request.customer] = tokens, self.now
            assert tokens >= -plan.ceiling_slack, "rule 5: past the ceiling"

    def _begin_call_out(self, index: int, rpc: int, number: int, write_deadline: int) -> None:
        """Runs a call-out whose connection is up, unless the gateway has cancelled it by now."""
        tracked = self.rpcs.get((index, self.lives[index], rpc))
        if tracked is None or number not in tracked.open_call_outs or number in tracked.stopped:
            return
        if write_deadline and self.now > write_deadline or self.now >= tracked.deadline:
            self.end_call_out(index, rpc, number, Status.CONNECT_FAILED, 1)
            return
        server = tracked.open_call_outs[number]
        assert not tracked.answered, "a call-out begins for a client that is answered or gone"
        self._check_repetition(tracked, server)
        self._check_server(index, server)
        tracked.begun[number] = server, self.now
        weights = STATUS_WEIGHTS if self.faults else ALWAYS_OK
        status = self.rng.choices(list(Status), weights)[0]
        left = tracked.deadline - self.now
        took = left if status == Status.TIMED_OUT else min(left, self.rng.randint(300, 3_000))
        status, took = self.call_out_result(server, status, took, left)
        status = Status.TIMED_OUT if took == left else status
        late = self.rng.choice((0, 0, 500)) if took == left else 0  # the gateway must keep the deadline by itself
        event = interface.CallOutEnded(rpc, number, server, took, status, False, 0, ())
        self.schedule(took + late, index, event)

    def _check_repetition(self, tracked: TrackedRpc, server: int) -> None:
        if not tracked.begun:
            return
        method = self.methods[tracked.request.method]
        assert method.repeat != RepeatSafety.NON_IDEMPOTENT, "rule 2: a non-idempotent RPC sent again"
        if method.repeat == RepeatSafety.DEDUPLICATED:
            first, at = min(tracked.begun.values(), key=lambda begun: begun[1])
            remembered_until = at + method.deduplication_time
            assert self.now < remembered_until, "rule 2: sent again when servers no longer recognise it"
            groups = GROUP_COUNTS[method.group]
            assert first % groups == server % groups, "rule 2: sent again outside its group"

    def _check_server(self, index: int, server: int) -> None:
        state, since = self.listed[index][server]
        assert state == ServerState.READY, "rule 3: sent to a server that drains or is gone"
        if since and self.now - since < SECOND:
            open_there = sum(
                tracked.begun[number][1] >= since  # what an earlier process on that machine held does not count
                for tracked in self.rpcs.values()
                for number, other in tracked.open_call_outs.items()
                if other == server and number in tracked.begun
            )
            assert open_there < self.count, "rule 4: a server just started holds more than one of each gateway"

    def frame_arrives(self, sender: int, receiver: int) -> bool:
        """Whether frames get from one gateway to another."""
        return True

    def probe_result(self, server: int) -> tuple[int, int]:
        """How long a probe of a server takes, and its status."""
        return self.rng.choice(((9, 0), (9, 0), (30, 0), (900, 0), (2_500, 253), (9, 254)))

    def call_out_result(self, server: int, status: Status, took: int, left: int) -> tuple[Status, int]:
        """How a call-out to a server ends, and after how long; `left` is the time until its deadline."""
        return status, took

    def play(self, seconds: int, per_second: int) -> None:
        """Runs random traffic, and with faults random restarts, drains and fresh starts; then answers all RPCs."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self._random_arrival()
            if self.faults and self.rng.random() < 1 / per_second:
                self.inject_fault()
            until = self.now + self.rng.randrange(1, 2 * SECOND // per_second)
            while self.queue and self.queue[0][0] <= until:
                self.step()
            self.now = until
        while any(not rpc.answered or rpc.open_call_outs for rpc in self.rpcs.values()) and self.step():
            pass

    def _random_arrival(self) -> None:
        customer = self.rng.randrange(CUSTOMERS)
        spread = min(self.count, 2 + customer % 3)
        index = (customer + self.rng.randrange(spread)) % self.count
        self.last_rpc += 1
        share_of_deadline = self.rng.choice((0.5, 0.8, 1.0))
        method = self.rng.randrange(len(self.methods))
        time_left = int(self.methods[method].deadline * share_of_deadline)
        if self.now >= self.down_until[index]:
            plan, first = customer % len(PLANS), customer % self.count
            self.deliver(index, arrival(self.last_rpc, customer, method, plan, 1.0, first, spread, time_left))

    def inject_fault(self) -> None:
        """Restarts a gateway, or tells all gateways of a change of one server."""
        index = self.rng.randrange(self.count)
        if self.rng.random() < 0.3:
            self.down_until[index] = self.now
            self.launch(index)
            return
        server = self.rng.randrange(self.servers)
        changes = (
            (ServerState.DRAINING, 0),
            (ServerState.GONE, 0),
            (ServerState.READY, self.now),
            (ServerState.READY, 0),
        )
        state, since = self.rng.choice(changes)
        for other in range(self.count):
            self.deliver(other, interface.ServerList(False, False, (entry(server, state, since),)))
