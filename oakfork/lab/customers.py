"""Customers and their clients: who asks, through which gateway, and what they do when it goes wrong."""

from bisect import bisect
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any, Protocol

from oakfork import interface
from oakfork.interface import SECOND
from oakfork.lab.environment import Exchange, GatewayEnvironment
from oakfork.lab.event_loop import EventKind
from oakfork.lab.gateway_model import GatewayModel
from oakfork.lab.invariant_checker import WatchedRpc
from oakfork.lab.world_config import MethodConfig, PlanConfig

SHIFT = 10 * SECOND  # the gateways that a customer comes through most change so often


@dataclass(slots=True)
class Customer:
    number: int
    plan: PlanConfig
    plan_index: int
    first: int
    spread: int
    rate: float  # RPCs a tenth of a millisecond
    weights: list[float] = field(default_factory=list)
    tokens: float = 0.0  # what is truly left of its quota: by what was sent on
    updated: int = 0
    asked: float = 0.0  # what would be left had each first try that was inside been sent on at once
    asked_at: int = 0


@dataclass(slots=True)
class ClientRequest:
    """What a client wants, over all its tries."""

    customer: Customer
    method: MethodConfig
    method_index: int
    units: float
    born: int
    until: int
    tries: int = 0


class CustomerEnvironment(GatewayEnvironment, Protocol):
    """The world as its customers see it."""

    gateways: list[GatewayModel]
    down_since: dict[int, int]
    press: float
    surge: float

    def chance(self, stream: str) -> Any: ...


class CustomerPopulation:
    def __init__(self, world: CustomerEnvironment) -> None:
        self.world, plan = world, world.plan
        self.dice = world.chance("clients")
        self.next_rpc = 0
        self.closed = False  # no client asks any more
        self.shares = list(accumulate(method.share for method in plan.methods))
        self.customers: list[Customer] = []
        for index, group in enumerate(plan.plans):
            for _ in range(group.customers):
                greed = group.greed if self.dice.random() < group.greedy else 1.0
                rate = (group.rate or 1.0) * group.demand * greed * world.press / SECOND
                spread = min(plan.gateways, group.gateways)
                self.customers.append(
                    Customer(
                        int(self.dice.integers(1, 1 << 33)),
                        group,
                        index,
                        int(self.dice.integers(plan.gateways)),
                        spread,
                        rate,
                        [],
                        group.burst,
                        0,
                        group.burst,
                    )
                )

    def start(self) -> None:
        for customer in self.customers:
            self._shift(customer)
            self._later(customer)

    def _shift(self, customer: Customer) -> None:
        if self.closed:
            return
        uneven = self.world.plan.clients.uneven
        customer.weights = list(accumulate((1 - uneven) + uneven * 4 * self.dice.random(customer.spread) ** 4))
        self.world.loop.after(SHIFT, EventKind.CLIENT, self._shift, customer)

    def _later(self, customer: Customer) -> None:
        wait = self.dice.exponential(1 / (customer.rate * self.world.surge))
        self.world.loop.after(max(1, round(wait)), EventKind.CLIENT, self._ask, customer)

    def _ask(self, customer: Customer) -> None:
        if self.closed:
            return
        now = self.world.loop.now
        self._later(customer)
        at = bisect(self.shares, self.dice.random() * self.shares[-1])
        method = self.world.plan.methods[min(at, len(self.shares) - 1)]
        wish = ClientRequest(customer, method, min(at, len(self.shares) - 1), 1.0, now, now + method.deadline)
        self.world.metrics.add("asked", now)
        if self._asks_inside(customer, wish.units, now):
            self.world.metrics.add("utility asked", now, method.utility * customer.plan.price)
        self._try(wish)

    def _asks_inside(self, customer: Customer, units: float, now: int) -> bool:
        """Whatever the policy does: what is asked for inside the quota is the same for all."""
        plan = customer.plan
        if not plan.rate:
            return True
        customer.asked = min(plan.burst, customer.asked + (now - customer.asked_at) * plan.rate / SECOND)
        customer.asked_at = now
        inside = customer.asked >= units
        customer.asked -= units * inside
        return inside

    def refill(self, customer: Customer, now: int) -> float:
        plan = customer.plan
        if plan.rate:
            customer.tokens = min(plan.burst, customer.tokens + (now - customer.updated) * plan.rate / SECOND)
            customer.updated = now
        return customer.tokens

    def _inside(self, customer: Customer, units: float, now: int) -> bool:
        return not customer.plan.rate or self.refill(customer, now) >= units

    def gateway_for(self, customer: Customer) -> GatewayModel | None:
        """A gateway of its set, as the weights say; those long down are passed over."""
        world = self.world
        for _ in range(4):
            at = bisect(customer.weights, self.dice.random() * customer.weights[-1])
            gateway = world.gateways[(customer.first + min(at, customer.spread - 1)) % world.plan.gateways]
            if gateway.up or world.loop.now < world.down_since.get(gateway.number, 0) + world.plan.discovery.notice:
                return gateway
        return None

    def _try(self, wish: ClientRequest) -> None:
        world, now = self.world, self.world.loop.now
        wish.tries += 1
        left = min(wish.until - now, round(wish.method.deadline * (0.5 + 0.5 * self.dice.random())))
        gateway = self.gateway_for(wish.customer)
        if left <= 0 or gateway is None or not gateway.up:
            world.metrics.add("no gateway", now)
            self._again(wish, 0)
            return
        world.metrics.add("tries", now)
        world.loop.after(
            world.plan.links.client, EventKind.CLIENT, self._reach, wish, gateway, gateway.life, now + left
        )

    def _reach(self, wish: ClientRequest, gateway: GatewayModel, life: int, until: int) -> None:
        world, now = self.world, self.world.loop.now
        if not gateway.up or gateway.life != life:
            self._again(wish, 0)
            return
        if now >= until:  # its client gave up while it was on its way: nothing is owed
            world.metrics.add("given up on the way", now)
            self._again(wish, 0)
            return
        self.next_rpc += 1
        rpc, customer = self.next_rpc, wish.customer
        watched = WatchedRpc(wish.method, customer.number, customer.plan, gateway.number, now, until)
        exchange = Exchange(
            rpc, watched, wish.units, lambda answer, advice: self._answered(wish, exchange, answer, advice)
        )
        world.checker.took(rpc, watched)
        arrival = interface.RpcArrived(
            0,
            customer.number,
            wish.method_index,
            customer.plan_index,
            wish.units,
            customer.first,
            customer.spread,
            until - now,
            wish.tries > 1,
        )
        world.loop.at(until + world.plan.links.client, EventKind.CLIENT, self._given_up, wish, exchange, gateway, life)
        world.loop.at(until + world.plan.answer_grace + 1, EventKind.LOOK, world.checker.overdue, rpc, until)
        gateway.arrive(exchange, arrival)

    def sent_on(self, exchange: Exchange, customer: Customer) -> None:
        """The first call-out of a try reached a server whole: its units leave the quota, inside or beyond it."""
        now = self.world.loop.now
        inside = self._inside(customer, exchange.units, now)
        if customer.plan.rate:
            if inside:
                customer.tokens -= exchange.units
            else:
                value = exchange.watched.method.utility * customer.plan.price
                self.world.metrics.add("granted beyond quota", now, exchange.units)
                self.world.metrics.add("price of beyond", now, value * customer.plan.beyond_cost)
        exchange.watched.beyond = not inside

    def _answered(self, wish: ClientRequest, exchange: Exchange, answer: str, advice: int) -> None:
        world, now = self.world, self.world.loop.now
        beyond = exchange.watched.beyond
        world.checker.answer(exchange.rpc, now, answer)
        world.metrics.add(answer, now)
        customer = wish.customer
        if answer == "ok":
            took = now + world.plan.links.client - wish.born
            world.metrics.latency_of(now, took)
            value = wish.method.utility * customer.plan.price
            in_time = took <= wish.method.soft_deadline
            if not beyond:
                world.metrics.add("utility", now, value if in_time else value * wish.method.late_utility)
        elif answer == "pushed back":
            if (
                customer.plan.rate
                and not exchange.watched.call_outs
                and self.refill(customer, now) >= max(1.0, customer.plan.burst / 2)
            ):
                world.metrics.add("pushed back with room", now)
            self._again(wish, advice)

    def _given_up(self, wish: ClientRequest, exchange: Exchange, gateway: GatewayModel, life: int) -> None:
        """The client closes its connection, and asks once more if it has the time."""
        if not exchange.over:
            gateway.client_gone(exchange, life)
            self._again(wish, 0)

    def _again(self, wish: ClientRequest, advice: int) -> None:
        clients, now = self.world.plan.clients, self.world.loop.now
        wait = max(clients.wait, advice if clients.heeds_advice else 0)
        if wish.tries <= clients.retries and now + wait < wish.until:
            self.world.metrics.add("retries", now)
            self.world.loop.after(max(1, wait), EventKind.CLIENT, self._try, wish)
