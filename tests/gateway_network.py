"""Several gateways under seeded chance, with the five rules checked after every step. Bench-free.

A call-out has two instants: it is decided (Send), and it begins when its connection is up, at once or to 1.5 s later.
Rules 2, 3 and 4 hold at the second, which is where the world checks them; until then it may be recalled."""

import heapq
import random

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
SLACK = 160  # beyond the deadline, within which a final answer is in time


def gateway_settings(index=0, gateways=1, seed=1, **changes) -> interface.GatewaySettings:
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
    return interface.ServerEntry(server, 1000 + server, server % 2, server % 3, state, since, 1.0)


def arrival(rpc, customer=7, method=0, plan=0, units=1.0, first=0, spread=1, left=None) -> interface.RpcArrived:
    return interface.RpcArrived(
        rpc, customer, method, plan, units, first, spread, left or METHODS[method].deadline, False
    )


class GatewayNetwork:
    def __init__(self, seed: int, gateways: int, servers: int, trouble=True, **told) -> None:
        self.dice, self.trouble, self.settings = random.Random(seed), trouble, {"probing": False} | told
        self.methods = self.settings.get("methods", METHODS)
        self.late = (0,)  # how long connections take to come up: drawn from these
        self.now, self.order, self.queue = 1000, 0, []
        self.servers, self.count = servers, gateways
        self.link_cap = gateway_settings().peer_frames_per_s / max(
            1, gateways - 1
        )  # frames a second from one to another
        self.down_until = [0] * gateways
        self.lives, self.modules = [0] * gateways, [None] * gateways
        self.told = [{} for _ in range(gateways)]  # server -> state, since
        self.rpcs, self.next_rpc = {}, 0  # (gateway, life, rpc) -> what is known of it
        self.stores = {}  # customer -> ceiling tokens, updated
        self.frames = {}  # (gateway, life, peer) -> times
        self.cut = False  # no message between gateways arrives
        self.log, self.answers = [], {"ok": 0, "pushed back": 0, "aborted": 0}
        for index in range(gateways):
            self.launch(index)

    def later(self, after: int, gateway: int, event) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + after, self.order, gateway, self.lives[gateway], event))

    def end_life(self, index: int) -> None:
        """What that gateway held is its clients' to retry, and no event of that life concerns it any more."""
        self.lives[index] += 1
        self.rpcs = {key: known for key, known in self.rpcs.items() if key[0] != index}

    def launch(self, index: int) -> None:
        self.end_life(index)
        self.modules[index] = DecisionModule(
            gateway_settings(index, self.count, self.dice.getrandbits(64), **self.settings), self.now
        )
        self.told[index] = {server: (ServerState.READY, 0) for server in range(self.servers)}
        self.give(index, interface.ServerList(True, False, tuple(entry(server) for server in range(self.servers))))

    def step(self) -> bool:
        """Plays the next event and checks the rules."""
        if not self.queue:
            return False
        self.now, _, index, life, event = heapq.heappop(self.queue)
        if life == self.lives[index] and self.now >= self.down_until[index]:
            self.give(index, event)
        for known in self.rpcs.values():
            assert known["over"] or self.now <= known["dl"] + SLACK, "rule 1: an RPC was not answered in time"
        return True

    def give(self, index: int, event) -> None:
        key = None
        if callable(event):
            event(index)
            return
        if isinstance(event, interface.RpcArrived):
            key = (index, self.lives[index], event.rpc)
            self.rpcs[key] = dict(
                ask=event, dl=self.now + event.time_left, over=False, out={}, maybe={}, sent=0, stopped=set()
            )
        elif isinstance(event, interface.CallOutEnded):
            known = self.rpcs[index, self.lives[index], event.rpc]
            if event.call_out not in known["out"]:
                return
            del known["out"][event.call_out]
            if event.status in NEVER_RAN:
                known["maybe"].pop(event.call_out, None)
            if event.status == Status.OK and not known["over"]:
                known["over"], event = True, event._replace(final=True)
                self.answers["ok"] += 1
            elif known["over"]:
                event = event._replace(final=True)
        elif isinstance(event, interface.ClientDisconnected):
            known = self.rpcs.get((index, self.lives[index], event.rpc))
            if known is None or known["over"]:
                return
            known["over"], known["left"] = True, self.now
        elif isinstance(event, interface.ServerList):
            if event.complete:
                self.told[index] = {server: (ServerState.GONE, 0) for server in self.told[index]}
            self.told[index].update({e.server: (e.state, e.up_since) for e in event.entries})
        for command in self.modules[index].handle(self.now, event):
            self.log.append((self.now, index, command))
            self.carry_out(index, command)

    def carry_out(self, index: int, command) -> None:
        dice = self.dice
        match command:
            case interface.SetTimer(token, after):
                assert after > 0
                self.later(after, index, interface.TimerFired(token))
            case interface.SendPeerFrame(peer, data):
                assert 0 < len(data) <= 256 and peer != index
                times = self.frames.setdefault((index, self.lives[index], peer), [])
                times.append(self.now)
                recent = sum(self.now - at < SECOND for at in times[-99:])
                assert recent <= self.link_cap + 3, "more mail than a gateway takes in"
                if self.cut or not self.carries(index, peer):
                    return
                for _ in range(dice.choice((0, 1, 1, 1, 1, 1, 1, 2)) if self.trouble else 1):  # lost, doubled
                    delay = dice.randint(10, 300) if dice.random() < 0.97 or not self.trouble else 9_000  # late
                    self.later(delay, peer, interface.PeerFrame(index, data))
            case interface.ProbeServer(server):
                took, status = self.probed(server)
                self.later(took, index, interface.ProbeEnded(server, Status(status), took, ()))
            case interface.PushBack(rpc) | interface.Abort(rpc):
                known = self.rpcs[index, self.lives[index], rpc]
                assert not known["over"], "rule 1: a second final answer"
                method = self.methods[known["ask"].method]
                if isinstance(command, interface.PushBack) and known["maybe"]:
                    assert method.repeat == RepeatSafety.IDEMPOTENT or (
                        method.repeat == RepeatSafety.DEDUPLICATED and method.group == "all"
                    ), "rule 2: harmful pushback"
                known["over"] = True
                self.answers["pushed back" if isinstance(command, interface.PushBack) else "aborted"] += 1
            case interface.CancelCallOut(rpc, call_out):
                known = self.rpcs[index, self.lives[index], rpc]
                begun = call_out in known["maybe"]
                self.end(index, rpc, call_out, Status.CANCELLED if begun else Status.NEVER_STARTED, 20)
            case interface.CancelIfUnsent(rpc, call_out):
                known = self.rpcs.get((index, self.lives[index], rpc))
                if known and call_out in known["out"] and call_out not in known["maybe"]:
                    self.end(index, rpc, call_out, Status.NEVER_STARTED, 1)
            case interface.SendCallOut(rpc, server):
                self.send(index, rpc, server, command.write_deadline)

    def end(self, index: int, rpc: int, call_out: int, status: Status, after: int) -> None:
        known = self.rpcs[index, self.lives[index], rpc]
        known["stopped"].add(call_out)
        server = known["out"][call_out]
        self.later(after, index, interface.CallOutEnded(rpc, call_out, server, after, status, known["over"], 0, ()))

    def send(self, index: int, rpc: int, server: int, write_deadline: int) -> None:
        known = self.rpcs[index, self.lives[index], rpc]
        ask = known["ask"]
        assert not known["over"] and self.now < known["dl"], "rule 1: sent on after its final answer"
        assert self.told[index][server][0] == ServerState.READY, "rule 3: sent to a server that drains or is gone"
        plan = PLANS[ask.plan]
        if plan.ceiling_rate and not known["sent"]:
            tokens, at = self.stores.get(ask.customer, (plan.ceiling_burst, self.now))
            tokens = min(plan.ceiling_burst, tokens + (self.now - at) * plan.ceiling_rate / SECOND) - ask.units
            self.stores[ask.customer] = tokens, self.now
            assert tokens >= -plan.ceiling_slack, "rule 5: past the ceiling"
        number = known["sent"]
        known["sent"] += 1
        known["out"][number] = server
        late = self.dice.choice(self.late) if len(self.late) > 1 else self.late[0]
        if late:
            self.later(late, index, lambda index: self.begin(index, rpc, number, write_deadline))
        else:
            self.begin(index, rpc, number, write_deadline)

    def begin(self, index: int, rpc: int, number: int, write_deadline: int) -> None:
        """Its connection is up: what the gateway has not taken back by now runs."""
        known = self.rpcs.get((index, self.lives[index], rpc))
        if known is None or number not in known["out"] or number in known["stopped"]:
            return
        server, ask, dice = known["out"][number], known["ask"], self.dice
        if write_deadline and self.now > write_deadline or self.now >= known["dl"]:
            self.end(index, rpc, number, Status.CONNECT_FAILED, 1)
            return
        method = self.methods[ask.method]
        assert not known["over"], "a client that has gone, or is answered, has a call-out begin"
        if known["maybe"]:
            assert method.repeat != RepeatSafety.NON_IDEMPOTENT, "rule 2: a non-idempotent RPC sent again"
            if method.repeat == RepeatSafety.DEDUPLICATED:
                first, at = min(known["maybe"].values(), key=lambda where: where[1])
                assert self.now < at + method.deduplication_time, "rule 2: sent again when its mark was forgotten"
                parts = {"all": 1, "zone": 2, "cell": 3}[method.group]
                assert first % parts == server % parts, "rule 2: sent again outside its group"
        state, since = self.told[index][server]
        assert state == ServerState.READY, "rule 3: sent to a server that drains or is gone"
        if since and self.now - since < SECOND:
            # What an earlier process on that machine held does not count.
            held = sum(
                k["maybe"][number][1] >= since
                for k in self.rpcs.values()
                for number, where in k["out"].items()
                if where == server and number in k["maybe"]
            )
            assert held < self.count, "rule 4: a server just started holds more than one of each gateway"
        known["maybe"][number] = server, self.now
        status = dice.choices(list(Status), (80, 0, 0, 2, 2, 4, 4, 4) if self.trouble else (1, 0, 0, 0, 0, 0, 0, 0))[0]
        left = known["dl"] - self.now
        took = left if status == Status.TIMED_OUT else min(left, dice.randint(300, 3_000))
        status, took = self.reached(server, status, took, left)
        status = Status.TIMED_OUT if took == left else status
        late = dice.choice((0, 0, 500)) if took == left else 0  # the gateway must keep the deadline by itself
        self.later(took + late, index, interface.CallOutEnded(rpc, number, server, took, status, False, 0, ()))

    def carries(self, sender: int, receiver: int) -> bool:
        return True

    def probed(self, server: int) -> tuple[int, int]:
        return self.dice.choice(((9, 0), (9, 0), (30, 0), (900, 0), (2_500, 253), (9, 254)))

    def reached(self, server: int, status: Status, took: int, left: int) -> tuple[Status, int]:
        """How a call-out to that server ends, and after how long."""
        return status, took

    def play(self, seconds: int, per_second: int) -> None:
        """Random traffic, and with trouble random restarts, drains and fresh starts; then all is answered."""
        dice, end = self.dice, self.now + seconds * SECOND
        while self.now < end:
            customer = dice.randrange(12)
            spread = min(self.count, 2 + customer % 3)
            index = (customer + dice.randrange(spread)) % self.count
            self.next_rpc += 1
            left = dice.choice((0.5, 0.8, 1.0))
            method = dice.randrange(len(self.methods))
            if self.now >= self.down_until[index]:
                self.give(
                    index,
                    arrival(
                        self.next_rpc,
                        customer,
                        method,
                        customer % len(PLANS),
                        1.0,
                        customer % self.count,
                        spread,
                        int(self.methods[method].deadline * left),
                    ),
                )
            if self.trouble and dice.random() < 1 / per_second:
                self.disturb()
            until = self.now + dice.randrange(1, 2 * SECOND // per_second)
            while self.queue and self.queue[0][0] <= until:
                self.step()
            self.now = until
        while any(not known["over"] or known["out"] for known in self.rpcs.values()) and self.step():
            pass

    def disturb(self) -> None:
        dice, index = self.dice, self.dice.randrange(self.count)
        if dice.random() < 0.3:
            self.down_until[index] = self.now
            self.launch(index)
            return
        server = dice.randrange(self.servers)
        state, since = dice.choice(
            ((ServerState.DRAINING, 0), (ServerState.GONE, 0), (ServerState.READY, self.now), (ServerState.READY, 0))
        )
        for other in range(self.count):
            self.give(other, interface.ServerList(False, False, (entry(server, state, since),)))
