"""The state of one agent.

An agent is the process beside each backend server. It forwards the requests
of local callers to the agents of other hosts, passes requests from other
agents to its backend server, and sees to it that the backend server holds the
keys that the plan assigns to it.
"""

import random

import attrs

from laburnumlatch.core import tables
from laburnumlatch.core import ticking
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import departurerows
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import settings as settings_module
from laburnumlatch.mesh import storeretry
from laburnumlatch.mesh import tableviews
from laburnumlatch.mesh import waiting
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import queue as queue_module
from laburnumlatch.mesh.overload import running as running_module


@attrs.define(kw_only=True)
class AgentState(ticking.TickState):
    """All state of one agent: the systems read and write only this.

    Times are in ms of the agent's clock. Tables and their keys:

    - `hosts`: `rows.Host` by host ID, as in the members table of the store.
    - `requests`: open `rows.Request` by number; `queue` holds those that
      wait for a slot of the local backend server, `running` those that have
      one, `parked` those that wait
      until a host is chosen for them again, `held` those that wait for
      earlier requests of their connection.
    - `usages`: work started in the last seconds, by route and domain.
    - `connections`: `rows.CallerConnection` by number, while it has open
      requests.
    - `deadlines`, `placements`: numbers of requests by the time at which
      they expire or a host is chosen for them again.
    - `departures`: `departurerows.Departure` by `ranges.Life`, the runs of the
      backend server that have left; `named_departures`:
      `departurerows.NamedDeparture` by server ID; `departure_calls`: calls
      that wait until `departure_log` has them, with the time at which they
      are answered at the latest.
    - `split_positions`: the next position in the sequence of a split route,
      from 0 to 1, by the name of the route.
    - `region_bindings`: `regions.Binding` by request ID, for nested calls of
      the local backend server; `region_binding_ends`: those IDs by the time
      at which they are dropped.
    - `work_times`, `reported_work_times`, `throttles`, `retry_windows`: what
      is learned about routes and services from finished requests; the second
      has the work times that other hosts report.
    - `plans`: the newest known plan as `leaserows.PlanRow`, by service;
      `plan_writes`: the plans that this agent, as planner, is writing.
    - `holdings`: key ranges granted to the local backend server;
      `handovers`: tokens of ranges that it has released;
      `received_handovers`: tokens that the former owners have sent, by
      first key, last key and fence.
    - `lease_holders`: what the planner knows about hosts, by host ID;
      `bucket_loads`: the load of buckets of keys, by service;
      `plan_faults`: `leaserows.PlanFault` by service or host and step.
    - `evacuations`: `rows.Evacuation` by failure domain, as the operator
      asks for them; `evacuations_version` is the version of the store up to
      which they are known, `evacuation_progress` what the last log line about
      them said (`progress.Remaining`), None before the first.
    - `counters`, `latencies`: metrics.

    `backend` is the local backend server. `load_report` collects what the
    next lease renewal reports. `has_members` and `has_plans` say that these
    have been read from the store since the start, `members_updated_at` and
    `configuration_updated_at` when the store last responded about them.
    `own_row_version` is the version of this host's row in the members table,
    `is_own_row_missing` whether a read did not return that row. `store_epoch`
    is the newest epoch of the store that is known, None before it responds.
    `floor_credit_ms` is as in `overload.floor`.
    `stopping_since` is when the process was asked to stop, `closing_since`
    when all its work was done or handed over. `holdings_reconciled_with` is
    the plan row's version and the backend server's life that the holdings
    were last compared with.
    """

    settings: settings_module.Settings
    rng: random.Random
    started: int
    wait_policy: waiting.WaitPolicy = attrs.Factory(waiting.ValueWaitPolicy)
    host_policy: choosing.HostPolicy = attrs.Factory(choosing.SoonestEndPolicy)
    configuration: routes.Configuration | None = None
    backend: rows.Backend | None = None
    hosts: tables.Table = attrs.Factory(tables.Table)
    requests: tables.Table = attrs.Factory(tables.Table)
    queue: queue_module.RequestQueue = attrs.Factory(queue_module.RequestQueue)
    running: running_module.RunningRequests = attrs.Factory(
        running_module.RunningRequests
    )
    usages: fairness.Usages = attrs.Factory(fairness.Usages)
    floor_credit_ms: float = 0
    parked: tables.Table = attrs.Factory(tables.Table)
    held: tables.Table = attrs.Factory(tables.Table)
    connections: tables.Table = attrs.Factory(tables.Table)
    deadlines: tables.DueQueue = attrs.Factory(tables.DueQueue)
    placements: tables.DueQueue = attrs.Factory(tables.DueQueue)
    departures: tables.Table = attrs.Factory(tables.Table)
    named_departures: tables.Table = attrs.Factory(tables.Table)
    departure_calls: tables.Table = attrs.Factory(tables.Table)
    departure_log: departurerows.DepartureLog = attrs.Factory(
        departurerows.DepartureLog
    )
    split_positions: tables.Table = attrs.Factory(tables.Table)
    region_bindings: tables.Table = attrs.Factory(tables.Table)
    region_binding_ends: tables.DueQueue = attrs.Factory(tables.DueQueue)
    work_times: tables.Table = attrs.Factory(tables.Table)
    reported_work_times: tables.Table = attrs.Factory(tables.Table)
    throttles: tables.Table = attrs.Factory(tables.Table)
    retry_windows: tables.Table = attrs.Factory(tables.Table)
    plans: tables.Table = attrs.Factory(tables.Table)
    holdings: tables.Table = attrs.Factory(tables.Table)
    handovers: tables.Table = attrs.Factory(tables.Table)
    received_handovers: tables.Table = attrs.Factory(tables.Table)
    lease_holders: tables.Table = attrs.Factory(tables.Table)
    bucket_loads: tables.Table = attrs.Factory(tables.Table)
    plan_faults: tables.Table = attrs.Factory(tables.Table)
    evacuations: tables.Table = attrs.Factory(tables.Table)
    counters: tables.Table = attrs.Factory(tables.Table)
    latencies: tables.Table = attrs.Factory(tables.Table)
    plan_writes: tables.Table = attrs.Factory(tables.Table)
    role: leaserows.Role = attrs.Factory(leaserows.Role)
    lease: leaserows.OwnLease = attrs.Factory(leaserows.OwnLease)
    load_report: leaserows.LoadReport = attrs.Factory(leaserows.LoadReport)
    operator_view: tableviews.TableView = attrs.Factory(tableviews.TableView)
    members_view: tableviews.TableView = attrs.Factory(tableviews.TableView)
    role_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    row_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    has_members: bool = False
    has_plans: bool = False
    # Since when plans are missing: they were not read yet, or a lease named a
    # newer version of one.
    plans_outdated_since: int | None = None
    evacuations_version: int = 0
    evacuation_progress: object = None
    own_row_version: int = 0
    is_own_row_missing: bool = False
    store_epoch: int | None = None
    stopping_since: int | None = None
    closing_since: int | None = None
    holdings_reconciled_with: tuple = ()
    # Fences under which an earlier process may have granted keys, and which
    # this one has begun to release.
    released_fences: set[int] = attrs.Factory(set)
    _last_ticket: int = 0

    @property
    def host_id(self):
        """ID of this host."""
        return self.settings.host_id

    @property
    def is_ready(self):
        """Whether callers on this host may send new requests."""
        return (
            self.configuration is not None
            and self.has_members
            and self.has_plans
            and self.stopping_since is None
        )

    @property
    def configuration_version(self):
        """Version of the configuration in force, 0 if there is none yet."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def current_epoch(self):
        """Newest epoch of the store that is known, 0 if none is yet."""
        return self.store_epoch or 0

    def next_ticket(self):
        """Return a number that is unique among the messages of this agent."""
        self._last_ticket += 1
        return self._last_ticket

    def plan_of(self, service):
        """Return the newest known `ranges.Plan` of a service, or None."""
        row = self.plans.get(service)
        return None if row is None else row.plan

    def is_divided(self, service):
        """Return whether a service is divided by key among its hosts."""
        if self.configuration is None:
            return False
        entry = self.configuration.services.get(service)
        return entry is not None and entry.is_divided

    def is_divided_host(self, host):
        """Return whether the service of a host is divided by key."""
        return self.is_divided(host.record.service)


def create(settings, seed, now):
    """Return the initial state of an agent that starts at `now`, in ms."""
    return AgentState(
        settings=settings,
        rng=random.Random(seed),
        started=now,
        wait_policy=waiting.named(settings.wait_policy),
    )
