"""The state of one agent beside a backend server."""

import random

import attrs

from laburnumlatch.core import tables
from laburnumlatch.core import ticking
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import settings as settings_module
from laburnumlatch.mesh import storeretry
from laburnumlatch.mesh import waiting


@attrs.define(kw_only=True)
class AgentState(ticking.TickState):
    """Everything the systems read and write; nothing else holds state."""

    settings: settings_module.Settings
    rng: random.Random
    started: int
    wait_policy: waiting.WaitPolicy = attrs.Factory(waiting.TargetWaitPolicy)
    host_policy: choosing.HostPolicy = attrs.Factory(choosing.SoonestEndPolicy)
    configuration: routes.Configuration | None = None
    backend: rows.Backend | None = None
    hosts: tables.Table = attrs.Factory(tables.Table)
    requests: tables.Table = attrs.Factory(tables.Table)
    queue: tables.Table = attrs.Factory(tables.Table)
    parked: tables.Table = attrs.Factory(tables.Table)
    deadlines: tables.DueQueue = attrs.Factory(tables.DueQueue)
    placements: tables.DueQueue = attrs.Factory(tables.DueQueue)
    departures: tables.Table = attrs.Factory(tables.Table)
    split_credits: tables.Table = attrs.Factory(tables.Table)
    work_times: tables.Table = attrs.Factory(tables.Table)
    throttles: tables.Table = attrs.Factory(tables.Table)
    retry_windows: tables.Table = attrs.Factory(tables.Table)
    plans: tables.Table = attrs.Factory(tables.Table)
    holdings: tables.Table = attrs.Factory(tables.Table)
    handovers: tables.Table = attrs.Factory(tables.Table)
    received_handovers: tables.Table = attrs.Factory(tables.Table)
    lessees: tables.Table = attrs.Factory(tables.Table)
    bucket_loads: tables.Table = attrs.Factory(tables.Table)
    counters: tables.Table = attrs.Factory(tables.Table)
    latencies: tables.Table = attrs.Factory(tables.Table)
    plan_writes: tables.Table = attrs.Factory(tables.Table)
    role: leaserows.Role = attrs.Factory(leaserows.Role)
    lease: leaserows.OwnLease = attrs.Factory(leaserows.OwnLease)
    load_report: leaserows.LoadReport = attrs.Factory(leaserows.LoadReport)
    configuration_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    members_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    role_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    row_retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
    has_members: bool = False
    has_plans: bool = False
    is_watching_members: bool = False
    # Since when a lease has told of a plan that is not known here.
    plans_outdated_since: int | None = None
    # The version after which the next watch asks for rows, None if one runs.
    members_watch_version: int | None = None
    members_watch_at: int = 0
    is_watching_configuration: bool = False
    members_updated_at: int = 0
    configuration_updated_at: int = 0
    own_row_version: int = 0
    stopping_since: int | None = None
    closing_since: int | None = None
    holdings_reconciled_with: tuple = ()
    _tickets: int = 0

    @property
    def host_id(self):
        """Identity of this host."""
        return self.settings.host_id

    @property
    def is_ready(self):
        """Whether callers on this host may send new work."""
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

    def next_ticket(self):
        """Return a number that no other message of this agent bears."""
        self._tickets += 1
        return self._tickets

    def plan_of(self, service):
        """Return the newest `ranges.Plan` of a service, or None."""
        row = self.plans.get(service)
        return None if row is None else row.plan

    def is_divided(self, service):
        """Tell whether the keys of a service are divided among hosts."""
        if self.configuration is None:
            return False
        known = self.configuration.services.get(service)
        return known is not None and known.is_divided

    def is_divided_host(self, host):
        """Tell whether a host owns keys of its service."""
        return self.is_divided(host.record.service)


def create(settings, seed, now):
    """Return the empty state of an agent that starts at `now`."""
    return AgentState(settings=settings, rng=random.Random(seed), started=now)
