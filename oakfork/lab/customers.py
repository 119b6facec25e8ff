"""Simulated customers and their clients: who sends RPCs, through which gateway, and when they retry."""

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

WEIGHTS_PERIOD = 10 * SECOND  # how often a customer's distribution over its gateways is redrawn
GATEWAY_DRAWS = 4  # draws before a client finds no gateway


@dataclass(slots=True)
class Customer:
    """One customer: its demand, and its true use of the quota. Times are tenths of a millisecond."""

    number: int
    plan: PlanConfig
    plan_index: int
    first_gateway: int
    spread: int  # number of gateways
    rate: float  # RPCs per tenth of a millisecond
    weights: list[float] = field(default_factory=list)  # cumulative, by gateway
    tokens: float = 0.0  # left of the quota by what was sent on to servers
    tokens_at: int = 0
    asked_tokens: float = 0.0  # left of the quota if each first try inside it had been sent on at once
    asked_at: int = 0


@dataclass(slots=True)
class ClientRequest:
    """What a client asks for, over all its tries. Times are tenths of a millisecond."""

    customer: Customer
    method: MethodConfig
    method_index: int
    units: float
    created_at: int
    deadline: int
    tries: int = 0


class CustomerEnvironment(GatewayEnvironment, Protocol):
    """The world as its customers see it."""

    gateways: list[GatewayModel]
    gateway_down_since: dict[int, int]
    demand_scale: float
    surge: float

    def generator(self, stream: str) -> Any:
        """The random generator of a stream."""
        ...


class CustomerPopulation:
    """All customers. Each sends RPCs as a Poisson process until the population is closed."""

    def __init__(self, world: CustomerEnvironment) -> None:
        """Draws the customers of all plans."""
        self.world = world
        config = world.config
        self.rng = world.generator("clients")
        self.next_rpc = 0
        self.closed = False  # no client sends new RPCs
        self.cumulative_shares = list(accumulate(method.share for method in config.methods))
        self.customers: list[Customer] = []
        for index, plan in enumerate(config.plans):
            for _ in range(plan.customers):
                self.customers.append(self._draw_customer(plan, index))

    def _draw_customer(self, plan: PlanConfig, plan_index: int) -> Customer:
        gateways = self.world.config.gateways
        greed = plan.greed if self.rng.random() < plan.greedy else 1.0
        rate = (plan.rate or 1.0) * plan.demand * greed * self.world.demand_scale / SECOND
        return Customer(
            number=int(self.rng.integers(1, 1 << 33)),
            plan=plan,
            plan_index=plan_index,
            first_gateway=int(self.rng.integers(gateways)),
            spread=min(gateways, plan.gateways),
            rate=rate,
            tokens=plan.burst,
            asked_tokens=plan.burst,
        )

    def start(self) -> None:
        """Schedules the first RPC of every customer."""
        for customer in self.customers:
            self._redraw_weights(customer)
            self._schedule_next(customer)

    def _redraw_weights(self, customer: Customer) -> None:
        if self.closed:
            return
        unevenness = self.world.config.clients.unevenness
        customer.weights = list(accumulate((1 - unevenness) + unevenness * 4 * self.rng.random(customer.spread) ** 4))
        self.world.loop.after(WEIGHTS_PERIOD, EventKind.CLIENT, self._redraw_weights, customer)

    def _schedule_next(self, customer: Customer) -> None:
        delay = self.rng.exponential(1 / (customer.rate * self.world.surge))
        self.world.loop.after(max(1, round(delay)), EventKind.CLIENT, self._send_new, customer)

    def _send_new(self, customer: Customer) -> None:
        if self.closed:
            return
        now = self.world.loop.now
        self._schedule_next(customer)
        drawn = bisect(self.cumulative_shares, self.rng.random() * self.cumulative_shares[-1])
        index = min(drawn, len(self.cumulative_shares) - 1)
        method = self.world.config.methods[index]
        request = ClientRequest(customer, method, index, 1.0, now, now + method.deadline)
        self.world.metrics.add("asked", now)
        if self._asks_inside_quota(customer, request.units, now):
            self.world.metrics.add("utility asked", now, method.utility * customer.plan.price)
        self._try(request)

    # Quotas, as they truly are

    def _asks_inside_quota(self, customer: Customer, units: float, now: int) -> bool:
        """Whether a first try is inside the quota, independent of what the policy grants."""
        plan = customer.plan
        if not plan.rate:
            return True
        refill = (now - customer.asked_at) * plan.rate / SECOND
        customer.asked_tokens = min(plan.burst, customer.asked_tokens + refill)
        customer.asked_at = now
        inside = customer.asked_tokens >= units
        customer.asked_tokens -= units * inside
        return inside

    def refill(self, customer: Customer, now: int) -> float:
        """Updates a customer's tokens to now and returns them, in units."""
        plan = customer.plan
        if plan.rate:
            customer.tokens = min(plan.burst, customer.tokens + (now - customer.tokens_at) * plan.rate / SECOND)
            customer.tokens_at = now
        return customer.tokens

    def _inside_quota(self, customer: Customer, units: float, now: int) -> bool:
        return not customer.plan.rate or self.refill(customer, now) >= units

    def sent_on(self, exchange: Exchange, customer: Customer) -> None:
        """Draws the units of a try whose first call-out reached a server, inside the quota or beyond it."""
        now = self.world.loop.now
        inside = self._inside_quota(customer, exchange.units, now)
        if customer.plan.rate:
            if inside:
                customer.tokens -= exchange.units
            else:
                value = exchange.watched.method.utility * customer.plan.price
                self.world.metrics.add("granted beyond quota", now, exchange.units)
                self.world.metrics.add("price of beyond", now, value * customer.plan.beyond_cost)
        exchange.watched.beyond_quota = not inside

    # Tries

    def choose_gateway(self, customer: Customer) -> GatewayModel | None:
        """Draws one of the customer's gateways; gateways known to be down are skipped. None if no draw succeeds."""
        world = self.world
        for _ in range(GATEWAY_DRAWS):
            drawn = bisect(customer.weights, self.rng.random() * customer.weights[-1])
            offset = min(drawn, customer.spread - 1)
            gateway = world.gateways[(customer.first_gateway + offset) % world.config.gateways]
            noticed_at = world.gateway_down_since.get(gateway.number, 0) + world.config.discovery.notice_time
            if gateway.up or world.loop.now < noticed_at:
                return gateway
        return None

    def _try(self, request: ClientRequest) -> None:
        world, now = self.world, self.world.loop.now
        request.tries += 1
        time_left = min(request.deadline - now, round(request.method.deadline * (0.5 + 0.5 * self.rng.random())))
        gateway = self.choose_gateway(request.customer)
        if time_left <= 0 or gateway is None or not gateway.up:
            world.metrics.add("no gateway", now)
            self._retry(request, 0)
            return
        world.metrics.add("tries", now)
        world.loop.after(
            world.config.links.client_delay,
            EventKind.CLIENT,
            self._arrive,
            request,
            gateway,
            gateway.incarnation,
            now + time_left,
        )

    def _arrive(self, request: ClientRequest, gateway: GatewayModel, incarnation: int, deadline: int) -> None:
        world, now = self.world, self.world.loop.now
        if not gateway.up or gateway.incarnation != incarnation:
            self._retry(request, 0)
            return
        if now >= deadline:  # the client gave up before the RPC arrived, so no answer is owed
            world.metrics.add("given up on the way", now)
            self._retry(request, 0)
            return
        self.next_rpc += 1
        rpc, customer = self.next_rpc, request.customer
        watched = WatchedRpc(request.method, customer.number, customer.plan, gateway.number, now, deadline)
        exchange = Exchange(
            rpc, watched, request.units, lambda answer, advice: self._answered(request, exchange, answer, advice)
        )
        world.checker.rpc_accepted(rpc, watched)
        arrival = interface.RpcArrived(
            0,
            customer.number,
            request.method_index,
            customer.plan_index,
            request.units,
            customer.first_gateway,
            customer.spread,
            deadline - now,
            request.tries > 1,
        )
        give_up_at = deadline + world.config.links.client_delay
        overdue_at = deadline + world.config.answer_grace + 1
        world.loop.at(give_up_at, EventKind.CLIENT, self._give_up, request, exchange, gateway, incarnation)
        world.loop.at(overdue_at, EventKind.MEASUREMENT, world.checker.check_overdue, rpc, deadline)
        gateway.receive_rpc(exchange, arrival)

    def _answered(self, request: ClientRequest, exchange: Exchange, answer: str, advice: int) -> None:
        now = self.world.loop.now
        self.world.checker.rpc_answered(exchange.rpc, now, answer)
        self.world.metrics.add(answer, now)
        if answer == "ok":
            self._record_success(request, exchange, now)
        elif answer == "pushed back":
            if self._had_room(request.customer, exchange, now):
                self.world.metrics.add("pushed back with room", now)
            self._retry(request, advice)

    def _record_success(self, request: ClientRequest, exchange: Exchange, now: int) -> None:
        latency = now + self.world.config.links.client_delay - request.created_at
        self.world.metrics.record_latency(now, latency)
        value = request.method.utility * request.customer.plan.price
        if latency > request.method.soft_deadline:
            value = value * request.method.late_utility
        if not exchange.watched.beyond_quota:
            self.world.metrics.add("utility", now, value)

    def _had_room(self, customer: Customer, exchange: Exchange, now: int) -> bool:
        """Whether an RPC was pushed back unsent while its customer had at least half of its burst left."""
        if not customer.plan.rate or exchange.watched.call_outs:
            return False
        return self.refill(customer, now) >= max(1.0, customer.plan.burst / 2)

    def _give_up(self, request: ClientRequest, exchange: Exchange, gateway: GatewayModel, incarnation: int) -> None:
        """Closes the client's connection, and retries if there is time left."""
        if not exchange.over:
            gateway.client_disconnected(exchange, incarnation)
            self._retry(request, 0)

    def _retry(self, request: ClientRequest, advice: int) -> None:
        clients, now = self.world.config.clients, self.world.loop.now
        wait = max(clients.retry_delay, advice if clients.honors_retry_after else 0)
        if request.tries <= clients.retries and now + wait < request.deadline:
            self.world.metrics.add("retries", now)
            self.world.loop.after(max(1, wait), EventKind.CLIENT, self._try, request)
