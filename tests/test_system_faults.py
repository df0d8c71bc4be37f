"""What an error in a system of an agent gives up, and what it keeps."""

import functools

import attrs
import pytest

from laburnumlatch.core import errors
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import admission
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import plandraft
from laburnumlatch.mesh import planfaults
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import systemruns
from laburnumlatch.mesh import ticks
from laburnumlatch.mesh.evacuation import keymoves
from laburnumlatch.mesh.pacing import coldcapacity
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from tests import test_mesh_fuzz

MESSAGE = 'a fault of this test'
RESTART_MS = 1000
RECOVERY_MS = 20_000
# A planner has replaced a lost owner by then.
REPLACED_MS = 8000
CALL_INTERVAL_MS = 25
BOOK_TIMEOUT_MS = 2000
SYSTEM_NAMES = tuple(name for name, _run in ticks.NAMED_SYSTEMS)
ROLES = ('planner', 'owner', 'ingress')
COLD_PER_S = 5
COLD_START_MS = 3000


@attrs.define
class Fault:
    """Raises in place of a function, for the agents or services in `entities`.

    `calls` counts how often it has raised.
    """

    original: object
    entities: set
    calls: int = 0

    def __call__(self, *arguments):
        """Call the original function, or raise."""
        if self._concerns(arguments):
            self.calls += 1
            raise ValueError(MESSAGE)
        return self.original(*arguments)

    def _concerns(self, arguments):
        names = {one for one in arguments if isinstance(one, str)}
        host_ids = {getattr(one, 'host_id', '') for one in arguments}
        return bool(self.entities & (names | host_ids | {'any'}))


def inject(monkeypatch, owner, name, *entities):
    """Let a function raise, see `Fault`; return the fault."""
    fault = Fault(getattr(owner, name), set(entities or ('any',)))
    monkeypatch.setattr(owner, name, fault)
    return fault


def two_divided_services():
    """Return a deployment whose two services are both divided by key."""
    configuration = fleetconfig.with_cold_rate(
        fleetconfig.CONFIGURATION, COLD_PER_S, COLD_START_MS
    )
    services = {
        name: attrs.evolve(service, is_divided=True)
        for name, service in configuration.services.items()
    }
    return fleetsim.deployment(
        others=3, configuration=attrs.evolve(configuration, services=services)
    )


def lose(fleet, host_id):
    """Lose a host with its agent and its server."""
    fleet.stop(host_id)
    fleet.backends[host_id].is_up = False


def owners(fleet, service):
    """Return the hosts that own keys by the plan of the planner."""
    (planner,) = fleet.planner_hosts()
    plan = fleet.agents[planner].plan_of(service)
    return {piece.host_id for piece in plan.pieces}


def lost_host(fleet, service):
    """Lose an owner of a service beside the planner; return it."""
    (planner,) = fleet.planner_hosts()
    host_id = min(owners(fleet, service) - {planner})
    lose(fleet, host_id)
    return host_id


class TestPlanSteps:
    """Errors in steps of planning, which last."""

    def test_other_services_are_planned(self, monkeypatch):
        """Guards against a planner that ends as one service cannot be planned.

        The next one got the same reports, and ended as well (review/11).
        """
        fleet = two_divided_services()
        (planner,) = fleet.planner_hosts()
        agent = fleet.agents[planner]
        plan = agent.plan_of(fleetconfig.SERVICE)
        original = plandraft.PlanDraft
        fault = inject(monkeypatch, plandraft, 'PlanDraft', fleetconfig.SERVICE)
        failed = lost_host(fleet, fleetconfig.SERVICE)
        lost = lost_host(fleet, fleetconfig.OTHER_SERVICE)
        fleet.run(REPLACED_MS)
        assert fleet.planner_hosts() == [planner]
        assert lost not in owners(fleet, fleetconfig.OTHER_SERVICE)
        assert agent.plan_of(fleetconfig.SERVICE) == plan
        alive = set(owners(fleet, fleetconfig.SERVICE)) - {failed}
        assert all(fleet.backends[host_id].fences() for host_id in alive)
        # It is tried again ever later while nothing changes.
        assert fault.calls < 3 * REPLACED_MS // planfaults.RETRY_MS
        self._check_status(agent)
        monkeypatch.setattr(plandraft, 'PlanDraft', original)
        fleet.run(RECOVERY_MS)
        assert failed not in owners(fleet, fleetconfig.SERVICE)
        assert not report.status(state.from_agent(agent))['plan_faults']
        assert not fleet.violations

    @pytest.mark.parametrize(
        ('owner', 'name'),
        [
            (balancing, 'find_moves'),
            (coldcapacity, 'limit'),
            (keymoves, 'next_step'),
            (bucketloads, 'add'),
        ],
    )
    def test_lost_owner_is_replaced(self, monkeypatch, owner, name):
        """Guards against lost owners that stay, as load is not evened out."""
        fleet = two_divided_services()
        (planner,) = fleet.planner_hosts()
        fault = inject(monkeypatch, owner, name)
        load = fleetload.Load(fleet, '/look/', 0.3)
        load.run(1000)
        lost = lost_host(fleet, fleetconfig.SERVICE)
        fleet.store.evacuate(fleet.domains[planner])
        load.run(REPLACED_MS)
        assert fleet.planner_hosts() == [planner]
        assert lost not in owners(fleet, fleetconfig.SERVICE)
        assert fault.calls
        assert not fleet.violations

    def _check_status(self, agent):
        document = report.status(state.from_agent(agent))
        (fault,) = document['plan_faults']
        assert fault['entity'] == fleetconfig.SERVICE
        assert fault['place'].startswith('test_system_faults.Fault.__call__:')
        assert fault['failures'] == counting_of(agent, 'plan')
        assert 'not planned: plan of bokun' in report.status_text(document)


def counting_of(agent, step):
    """Return how many faults of a step of planning an agent has counted."""
    key = ('plan_faults', (('step', step),))
    return agent.counters.get(key).total


class TestGivingUp:
    """A planner that can plan nothing for long."""

    def test_role_is_given_up(self, monkeypatch):
        """Guards against a planner that keeps the role and plans nothing."""
        fleet = fleetsim.deployment()
        (planner,) = fleet.planner_hosts()
        inject(monkeypatch, plandraft, 'PlanDraft', planner)
        lost = lost_host(fleet, fleetconfig.SERVICE)
        fleet.run(planfaults.GIVE_UP_MS + 2 * REPLACED_MS)
        assert fleet.planner_hosts() != [planner]
        assert lost not in owners(fleet, fleetconfig.SERVICE)
        fleet.run(RECOVERY_MS)
        assert not fleet.violations
        assert fleet.owned_key_count() == ranges.KEY_COUNT

    def test_role_is_not_passed_round(self, monkeypatch):
        """Guards against a role that goes from host to host all the time."""
        fleet = fleetsim.deployment()
        inject(monkeypatch, plandraft, 'PlanDraft')
        planners = set(fleet.planner_hosts())
        for _ in range(6):
            fleet.run(planfaults.GIVE_UP_MS)
            planners.update(fleet.planner_hosts())
        assert len(planners) == 2
        assert not fleet.violations
        assert fleet.owned_key_count() == ranges.KEY_COUNT


class OneFault:
    """Raises after a system has run once, at the agent of one host."""

    def __init__(self, run, host_id):
        """Wrap the function of a system."""
        self.is_over = False
        self._run = run
        self._host_id = host_id

    def run(self, agent, now):
        """Run the system, and raise at the host if it has not yet."""
        self._run(agent, now)
        if agent.host_id == self._host_id and not self.is_over:
            self.is_over = True
            raise ValueError(MESSAGE)


def find_host(fleet, kind):
    """Return the planner, an owner beside it, or another host."""
    if kind == 'planner':
        return fleet.planner_hosts()[0]
    if kind == 'owner':
        return fleet.owner_beside_planner()
    planners = fleet.planner_hosts()
    return min({'m0', 'm1'}.difference(planners))


def book(fleet, duration_ms):
    """Send bookings from all hosts for some time; return their numbers."""
    numbers = []
    for _ in range(duration_ms // CALL_INTERVAL_MS):
        for host_id in fleet.agents:
            key = fleet.rng.randrange(ranges.KEY_COUNT)
            numbers.append(fleet.call(host_id, '/book/', key, BOOK_TIMEOUT_MS))
        fleet.run(CALL_INTERVAL_MS)
    return numbers


class TestSystems:
    """An error in one tick of each system, at each kind of host."""

    @pytest.mark.parametrize('kind', ROLES)
    @pytest.mark.parametrize('name', SYSTEM_NAMES)
    def test_cost_of_an_error(self, monkeypatch, name, kind):
        """Guards against errors that cost more than the design page says.

        The system has posted messages and changed rows before it raises.
        """
        fleet = fleetsim.deployment(divided=3)
        fleet.restart_ms = RESTART_MS
        host_id = find_host(fleet, kind)
        fault = OneFault(dict(ticks.NAMED_SYSTEMS)[name], host_id)
        systems = tuple(
            (other, fault.run if other == name else run)
            for other, run in ticks.NAMED_SYSTEMS
        )
        monkeypatch.setattr(ticks, 'NAMED_SYSTEMS', systems)
        numbers = book(fleet, 500)
        assert fault.is_over
        is_reporting = name in systemruns.REPORTING_SYSTEMS
        ended = [] if is_reporting else [(host_id, name)]
        assert fleet.failures == ended
        fleet.run(RECOVERY_MS)
        test_mesh_fuzz.check_outcomes(fleet, numbers)
        assert not fleet.violations
        assert not fleet.early_grants
        assert not fleet.low_fences
        assert fleet.owned_key_count() == ranges.KEY_COUNT
        assert fleet.failures == ended


def raise_for(monkeypatch, module, name, request_id):
    """Let a function of a module raise for one request, as `Fault` does."""
    raising = functools.partial(
        _raise_or_call, getattr(module, name), request_id
    )
    monkeypatch.setattr(module, name, raising)


def _raise(_agent, _now):
    raise ValueError(MESSAGE)


def _raise_or_call(original, request_id, agent, request, *rest):
    if request.request_id == request_id:
        raise ValueError(MESSAGE)
    return original(agent, request, *rest)


class TestRequests:
    """A request whose handling ends the agent that was sent it."""

    @pytest.mark.parametrize(
        ('module', 'name'),
        [
            (admission, 'enqueue'),
            (dispatch, 'send'),
            (outcomes, '_handle_response'),
        ],
    )
    @pytest.mark.parametrize('path', ['/', '/book/'])
    def test_it_ends_one_agent(self, monkeypatch, module, name, path):
        """Guards against a read that is tried at one host after another."""
        fleet = fleetsim.deployment(others=4)
        fleet.restart_ms = RESTART_MS
        ingress = 'b0'
        raise_for(monkeypatch, module, name, 'bad')
        key = fleet.backends['b1'].held_ranges()[0][0]
        number = fleet.call(ingress, path, key, request_id='bad')
        others = [fleet.call(ingress, path, key) for _ in range(8)]
        fleet.run(RECOVERY_MS)
        assert len(fleet.failures) == 1
        outcome = fleet.outcomes[number]
        assert outcome.verdict == messages.Verdict.UNKNOWN
        assert outcome.reason == messages.Reason.AGENT_FAILED
        assert not fleet.violations
        if path == fleetconfig.OTHER_PATH:
            self._check_answered(fleet, others)

    @pytest.mark.parametrize(
        ('name', 'is_suspect'), [('dispatch', True), ('leases', False)]
    )
    def test_unknown_request(self, name, is_suspect):
        """Guards against a request that ends agents as nothing names it.

        Requests are not to blame for systems that handle none: reads that were
        open are retried then.
        """
        with pytest.raises(errors.SystemFailedError) as caught:
            systemruns.run(None, name, _raise, 0)
        assert caught.value.is_suspect(7) == is_suspect

    def _check_answered(self, fleet, numbers):
        """Check that other reads were retried elsewhere."""
        outcomes_seen = {type(fleet.outcomes[number]) for number in numbers}
        assert outcomes_seen == {messages.Deliver}
