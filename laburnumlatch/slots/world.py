"""The state of one agent: all tables, mailboxes and the next wake-up."""

import collections
import random

import attrs

from laburnumlatch.core import tables
from laburnumlatch.core import ticking
from laburnumlatch.slots import choice
from laburnumlatch.slots import docrows
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import planrows
from laburnumlatch.slots import settings as settings_module


@attrs.define(kw_only=True)
class World(ticking.TickState):
    """Everything the systems read and write; nothing else holds state.

    `incarnation` holds slots and changes when the agent has lost its lease.
    `witness` names the process: it keeps its votes until the process ends.
    """

    settings: settings_module.Settings
    incarnation: planrows.Incarnation
    witness: planrows.Incarnation
    started: int
    rng: random.Random
    policy: choice.Choice = attrs.Factory(choice.TwoChoice)
    documents: tables.Table = attrs.Factory(tables.Table)
    services: tables.Table = attrs.Factory(tables.Table)
    hosts: tables.Table = attrs.Factory(tables.Table)
    plans: tables.Table = attrs.Factory(tables.Table)
    servers: tables.Table = attrs.Factory(tables.Table)
    requests: tables.Table = attrs.Factory(tables.Table)
    records: tables.Table = attrs.Factory(tables.Table)
    dropped_epochs: tables.Table = attrs.Factory(tables.Table)
    kept_answers: collections.deque = attrs.Factory(collections.deque)
    parked: tables.Table = attrs.Factory(tables.Table)
    retry_windows: tables.Table = attrs.Factory(tables.Table)
    typical_times: tables.Table = attrs.Factory(tables.Table)
    health: tables.Table = attrs.Factory(tables.Table)
    slot_loads: tables.Table = attrs.Factory(tables.Table)
    service_times: tables.Table = attrs.Factory(tables.Table)
    queues: tables.Table = attrs.Factory(tables.Table)
    counters: tables.Table = attrs.Factory(tables.Table)
    latencies: tables.Table = attrs.Factory(tables.Table)
    deadlines: tables.DueQueue = attrs.Factory(tables.DueQueue)
    store_reader: docrows.StoreReader = attrs.Factory(docrows.StoreReader)
    configured: docrows.Configured = attrs.Factory(docrows.Configured)
    spreading: docrows.Spreading = attrs.Factory(docrows.Spreading)
    silences: tables.DueQueue = attrs.Factory(tables.DueQueue)
    placements: tables.DueQueue = attrs.Factory(tables.DueQueue)
    record_expiry: tables.DueQueue = attrs.Factory(tables.DueQueue)
    kept_answer_bytes: int = 0
    slots: tables.Table = attrs.Factory(tables.Table)
    leases: tables.Table = attrs.Factory(tables.Table)
    promises: tables.Table = attrs.Factory(tables.Table)
    votes: tables.Table = attrs.Factory(tables.Table)
    releases: tables.Table = attrs.Factory(tables.Table)
    retired: tables.Table = attrs.Factory(tables.Table)
    taken: tables.Table = attrs.Factory(tables.Table)
    proposals: tables.Table = attrs.Factory(tables.Table)
    recoveries: tables.Table = attrs.Factory(tables.Table)
    standing: leaserows.Standing = attrs.Factory(leaserows.Standing)
    role: leaserows.Role = attrs.Factory(leaserows.Role)

    def local_server(self):
        """Return the row of the backend server beside this agent, or None."""
        return next(iter(self.servers), None)


def create(settings, incarnation_number, seed, now):
    """Return the empty world of an agent that starts at `now`."""
    first = planrows.Incarnation(settings.host_id, incarnation_number)
    return World(
        settings=settings,
        incarnation=first,
        witness=first,
        started=now,
        rng=random.Random(seed),
    )
