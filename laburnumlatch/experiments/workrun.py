"""Runs a workload through the decision tables of all agents at once.

A fake clock, fake backend servers, and worlds joined by direct delivery of
their outboxes; no sockets.
"""

import itertools
import math
import random

import attrs

from laburnumlatch.experiments import fakeserver
from laburnumlatch.experiments import measures
from laburnumlatch.experiments import schedule
from laburnumlatch.experiments import workload
from laburnumlatch.experiments import workmoves
from laburnumlatch.experiments import workworlds
from laburnumlatch.slots import counting
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import ticks

ALWAYS_RETRY_MS = 1
# A caller that ignores Retry-After stops after this many attempts; without a
# bound the callers of a long deadline send hundreds of requests each.
MAX_ATTEMPTS = 10
MIN_RETRY_MS = 10
DRAIN_MS = 10_000
_SYSTEMS = ticks.ORDER[ticks.ORDER.index(counting) :]


@attrs.define(frozen=True)
class Origin:
    """Where the answer to a request of an agent goes.

    `host_id`, `number` and `exchange` are those of the ingress; an empty
    host ID means the caller.
    """

    call: workload.Call
    host_id: str = ''
    number: int = 0
    exchange: int = 0
    attempt: int = 1


class Run:
    """One run of a scenario; `results` fills up while it goes on."""

    def __init__(self, scenario):
        """Build worlds and fake backend servers, and schedule all calls."""
        self.scenario = scenario
        self.results = []
        self.worlds = workworlds.create(scenario)
        self.plans = {
            service.name: [workworlds.plan_of(self.worlds, service.name)]
            for service in scenario.services
        }
        self.servers = workworlds.fake_servers(scenario)
        self.schedule = schedule.Schedule()
        self._hop_ms = scenario.deployment.hop_ms
        self._client_ms = scenario.deployment.client_ms
        self._rng = random.Random(scenario.seed + 1)
        self._numbers = itertools.count(1)
        self._origins = {}
        self._exchanges = {}
        self._touched = {}
        self._wakes = schedule.Wakes(self.schedule, self._touch)
        self._handlers = (
            # A slot is free before the request that takes it starts.
            (requestmsg.Cancel, self._cancel),
            (requestmsg.Send, self._send),
            (requestmsg.Forward, self._forward),
            (requestmsg.Relay, self._relay),
            (requestmsg.Refuse, self._refuse),
            (servermsg.Probe, self._probe),
        )
        for call in workload.calls(scenario):
            self.schedule.at(call.sent + self._client_ms, self._arrive, call)
        if scenario.prefer is not None:
            for name in self.plans:
                self.schedule.at(workmoves.INTERVAL_MS, self.move_slots, name)
        for fault in scenario.faults:
            if fault.kind == 'restart':
                self.schedule.at(fault.start, self._restart, fault.host_id)

    def finish(self, report=None):
        """Run to the end and return self.

        `report` is called with the share of the run that is done, after each
        step.
        """
        end = self.scenario.duration_ms + DRAIN_MS
        while (self.schedule.next_due or 0) <= end:
            if report is not None:
                report(min(1, self.schedule.now / end))
            self.schedule.step()
            self._tick_touched()
            if self.schedule.next_due is None:
                break
        return self

    def move_slots(self, service_name):
        """Move hot slots now, and again after a while."""
        own = [
            world
            for host_id, world in self.worlds.items()
            if world.hosts.get(host_id).service == service_name
        ]
        current = self.plans[service_name][-1]
        prefer = self.scenario.prefer
        self.put_plan(workmoves.next_plan(own, current, prefer))
        if self.schedule.now < self.scenario.duration_ms:
            delay_ms = workmoves.INTERVAL_MS
            self.schedule.after(delay_ms, self.move_slots, service_name)

    def put_plan(self, plan):
        """Give all agents a new plan."""
        self.plans[plan.service].append(plan)
        for world in self.worlds.values():
            workworlds.install(world, plan)

    def _tick_touched(self):
        now = self.schedule.now
        touched = self._touched
        self._touched = {}
        for host_id in touched:
            world = self.worlds[host_id]
            world.begin_tick(now)
            for system in _SYSTEMS:
                system.run(world, now)
            for kind, handler in self._handlers:
                for message in world.outbox.take(kind):
                    handler(host_id, message)
            world.outbox.clear()
            if world.next_wake is not None:
                self._wakes.plan(host_id, world.next_wake)

    def _touch(self, host_id):
        self._touched[host_id] = None

    def _post(self, host_id, message):
        self.worlds[host_id].inbox.post(message)
        self._touch(host_id)

    def _arrive(self, call, attempt=1):
        self._request(call.ingress, Origin(call, attempt=attempt))

    def _request(self, host_id, origin, time_left_ms=None, forwarded_from=''):
        number = next(self._numbers)
        self._origins[number] = origin
        call = origin.call
        if time_left_ms is None:
            time_left_ms = call.deadline - self.schedule.now - self._client_ms
        self._exchanges[origin.number, origin.exchange] = (host_id, number)
        self._post(
            host_id,
            requestmsg.RequestArrived(
                number=number,
                request_id=f'{number}',
                service=call.service,
                operation=call.operation,
                key=call.key,
                attempt=1,
                time_left_ms=time_left_ms,
                forwarded_from=forwarded_from,
            ),
        )

    def _send(self, host_id, message):
        exchange = (message.number, message.exchange)
        cost_ms = workload.OPERATIONS[message.operation][1]
        duration = self.servers[host_id].begin(
            exchange, cost_ms, self.schedule.now
        )
        if duration is None:
            shed = requestmsg.AnswerBegan(
                *exchange,
                requestmsg.Outcome.NOT_RUN,
                requestmsg.Reason.SHED,
                fakeserver.SHED_RETRY_AFTER_MS,
            )
            self.schedule.after(1, self._post, host_id, shed)
        elif duration < math.inf:
            self.schedule.after(duration, self._answer, host_id, exchange)

    def _answer(self, host_id, exchange):
        if self.servers[host_id].end(exchange, self.schedule.now):
            self._post_answer(host_id, *exchange)

    def _post_answer(self, host_id, number, exchange):
        answered = requestmsg.Outcome.ANSWERED
        began = requestmsg.AnswerBegan(number, exchange, answered)
        self._post(host_id, began)
        self._post(host_id, requestmsg.AnswerEnded(number, exchange))

    def _forward(self, host_id, message):
        call = self._origins[message.number].call
        origin = Origin(call, host_id, message.number, message.exchange)
        self.schedule.after(
            self._hop_ms,
            self._request,
            message.host_id,
            origin,
            message.time_left_ms,
            host_id,
        )

    def _relay(self, _host_id, message):
        origin = self._origins.pop(message.number, None)
        if origin is None:
            return
        if origin.host_id:
            self.schedule.after(
                self._hop_ms,
                self._post_answer,
                origin.host_id,
                origin.number,
                origin.exchange,
            )
        else:
            self._end_call(origin.call, is_useful=True)

    def _refuse(self, _host_id, message):
        origin = self._origins.pop(message.number, None)
        if origin is None:
            return
        if origin.host_id:
            began = requestmsg.AnswerBegan(
                origin.number,
                origin.exchange,
                message.outcome,
                message.reason,
                message.retry_after_ms,
                message.epoch,
                message.owner,
            )
            self.schedule.after(
                self._hop_ms,
                self._post,
                origin.host_id,
                began,
            )
        elif message.outcome == requestmsg.Outcome.NOT_RUN:
            self._retry(origin, message.retry_after_ms)
        else:
            self._end_call(origin.call, is_useful=False)

    def _retry(self, origin, retry_after_ms):
        call = origin.call
        wait_ms = ALWAYS_RETRY_MS
        if self.scenario.retry == 'after':
            wait_ms = max(MIN_RETRY_MS, retry_after_ms)
            wait_ms += self._rng.randrange(wait_ms // 2 + 1)
        due_ms = self.schedule.now + wait_ms + 2 * self._client_ms
        is_in_time = due_ms + self._client_ms < call.deadline
        if is_in_time and origin.attempt < MAX_ATTEMPTS:
            self.schedule.at(due_ms, self._arrive, call, origin.attempt + 1)
        else:
            self._end_call(call, is_useful=False)

    def _end_call(self, call, *, is_useful):
        ended = self.schedule.now + self._client_ms
        self.results.append(
            measures.Result(
                call.class_name,
                call.sent,
                ended,
                is_useful and ended <= call.deadline,
                call.service,
            )
        )

    def _cancel(self, host_id, message):
        exchange = (message.number, message.exchange)
        if self.servers[host_id].end(exchange, self.schedule.now):
            return
        there = self._exchanges.pop(exchange, None)
        if there is not None and there[1] in self._origins:
            self._origins.pop(there[1])
            left = requestmsg.CallerLeft(there[1])
            self.schedule.after(self._hop_ms, self._post, there[0], left)

    def _probe(self, host_id, message):
        server = self.servers[host_id]
        if server.is_up(self.schedule.now):
            probed = servermsg.Probed(
                message.server_id, True, server.report(self.schedule.now)
            )
            self.schedule.after(1, self._post, host_id, probed)

    def _restart(self, host_id):
        broken = self.servers[host_id].restart(self.schedule.now)
        for number, exchange in broken:
            broke = requestmsg.ExchangeBroke(
                number, exchange, requestmsg.Phase.SENT
            )
            self._post(host_id, broke)
        self.worlds[host_id].local_server().ready_since = self.schedule.now
