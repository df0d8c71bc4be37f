"""Evacuation of failure domains: requests and keys leave within the bound."""

import asyncio
import collections

import attrs
import logbook
import pytest

from laburnumlatch.core import storemsg
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import fleetstore
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import configuring
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import settings
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.evacuation import keymoves
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from laburnumlatch.platform import configrowcodec
from tests import stores
from tests import test_mesh_late_input
from tests import test_mesh_metrics

BOUND_MS = settings.Bounds().evacuation_ms
# No request may start at a server from then on, by the agents' margin.
END_MS = BOUND_MS - domains.MARGIN_MS + fleetstore.WATCH_POLL_MS


class Scene:
    """Hosts b0 to b5 and m0 to m2 in domains d0 to d2; d0 is evacuated."""

    def __init__(self, *evacuated):
        self.fleet = fleetsim.deployment(divided=6, others=3)
        self.numbers = []
        if evacuated:
            self.serve(500)
            self.fleet.store.evacuate(*evacuated)
        self.since = self.fleet.now

    def serve(self, duration_ms, callers=(), step_ms=30):
        """Send two requests each `step_ms`, from `callers` or all agents."""
        for _ in range(duration_ms // step_ms):
            hosts = callers or sorted(self.fleet.agents)
            random_key = self.fleet.rng.randrange(fleetconfig.KEY_COUNT)
            for path, key in (('/look/', random_key), ('/', None)):
                caller = self.fleet.rng.choice(hosts)
                self.numbers.append(self.fleet.call(caller, path, key=key))
            self.fleet.run(step_ms)

    def plan(self):
        """Return the newest plan that any agent knows."""
        plans = [one.plan_of('bokun') for one in self.fleet.agents.values()]
        return max(filter(None, plans), key=lambda plan: plan.version)

    def keys(self, domain='d0'):
        """Return how many keys the hosts of a domain own."""
        return sum(
            piece.size
            for piece in self.plan().pieces
            if self.fleet.domains[piece.host_id] == domain
        )

    def starts(self, host_id, after=0):
        """Return the IDs of requests that a server began after a time."""
        started = self.fleet.backends[host_id].started
        return [request_id for at, request_id in started if at > after]

    def check(self, domain='d0', *, is_empty=True, ignored=0):
        """Check owners, the bound, and outcomes but for the first requests."""
        self.fleet.run(2500)
        outcomes = [self.fleet.outcomes[one] for one in self.numbers[ignored:]]
        assert {type(one).__name__ for one in outcomes} <= {'Deliver'}
        for host_id, name in self.fleet.domains.items():
            if name == domain and is_empty:
                assert not self.starts(host_id, self.since + END_MS)
        assert not (is_empty and self.keys(domain))
        assert not self.fleet.violations
        assert not self.fleet.early_grants
        assert not self.fleet.low_fences

    def view(self):
        """Return evacuated domains, pieces and requests in metrics of m0."""
        samples = test_mesh_metrics.read_samples(self.fleet.agents['m0'])
        names = ('evacuated_domains', *LEFT_METRICS)
        return tuple(samples[f'laburnumlatch_{name}', ()] for name in names)


LEFT_METRICS = ('evacuation_pieces_left', 'evacuation_requests_left')


class TestKnownDomains:
    """What an agent takes for evacuated, by responses of the store."""

    def test_full_read_replaces_what_was_known(self):
        """Guards against an evacuation that outlives a restored store."""
        scene = Scene()
        copy = scene.fleet.store.copy()
        scene.fleet.store.evacuate('d0')
        scene.fleet.run(200)
        evacuated = scene.fleet.agents['b1'].evacuations
        assert evacuated.keys() == ('d0',)
        assert domains.is_host_evacuated(scene.fleet.agents['b1'], 'rowless')
        scene.fleet.store.restore(copy)
        scene.fleet.run(3000)
        assert not evacuated.keys()

    def test_late_read_does_not_end_a_newer_evacuation(self):
        """Guards against a lost evacuation when a read and the watch cross."""
        agent = Scene().fleet.agents['b1']
        newer = configmsg.ConfigurationRead('', (), 1000, ('d0',))
        older = configmsg.ConfigurationRead('', (), 999, is_complete=True)
        domains.update(agent, newer, agent.now)
        domains.update(agent, older, agent.now)
        assert domains.is_evacuated(agent, 'd0')

    def test_unknown_domain_counts_once_it_has_a_host(self):
        """Guards against an evacuation that is read before the host's row."""
        scene = Scene('nowhere')
        scene.fleet.run(1200)
        agent = scene.fleet.agents['b1']
        assert agent.evacuations.get('nowhere').is_known is False
        host = agent.hosts.get('b0')
        host.record = attrs.evolve(host.record, domain='nowhere')
        scene.fleet.run(1200)
        assert agent.evacuations.get('nowhere').is_known

    def test_begin_is_unknown_in_the_first_read(self):
        """Guards against a restarted agent that counts the bound anew."""
        scene = Scene('d0')
        scene.fleet.store.writes_to_reject['plans/bokun'] = 1000
        scene.serve(300)
        scene.fleet.stop('b0')
        scene.fleet.start('b0')
        restarted_at = scene.fleet.now
        scene.serve(3000)
        assert not scene.starts('b0', restarted_at)
        owned = [one for one in scene.plan().pieces if one.host_id == 'b0']
        number = scene.fleet.call('b0', '/look/', key=owned[0].start)
        scene.fleet.run(40)
        assert scene.fleet.outcomes[number] is None

    def test_bound_counts_from_before_a_pause_of_the_agent(self):
        """Guards against requests after the bound at an agent that was frozen.

        What the store has told it meanwhile is read some time after that.
        """
        scene = Scene()
        fleet = scene.fleet
        fleet.paused.add('m0')
        fleet.store.evacuate('d0')
        fleet.run(4000)
        fleet.paused.clear()
        resumed_at = fleet.now
        for number in range(100):
            forward = test_mesh_late_input.forward(routes.Kind.SAFE, number)
            arrived = messages.ForwardArrived(90_000 + number, 'b1', forward)
            fleet.post('m0', arrived)
            fleet.run(10)
        assert not scene.starts('m0', resumed_at + fleetstore.WATCH_POLL_MS)

    def test_nothing_is_sent_before_the_store_is_heard_after_a_pause(self):
        """Guards against sends after the bound by the first tick of an agent.

        What callers and the store have sent during the pause is read in any
        order.
        """
        fleet = Scene().fleet
        fleet.paused.add('m0')
        fleet.run(4000)
        forward = test_mesh_late_input.forward(routes.Kind.SAFE)
        fleet.post('m0', messages.ForwardArrived(90_000, 'b1', forward))
        fleet.paused.clear()
        fleet.run(domains.RESUME_DELAY_MS - 10)
        assert not fleet.backends['m0'].started
        fleet.run(20)
        assert fleet.backends['m0'].started

    def test_bound_counts_from_the_last_response_of_the_store(self):
        """Guards against an agent that learns of it after an outage."""
        scene = Scene()
        agent = scene.fleet.agents['b0']
        scene.fleet.store.refused_hosts.add('b0')
        failed = storemsg.StoreFailed(configuring.WATCH_TICKET, 'refused')
        scene.fleet.post('b0', failed)
        scene.fleet.run(4000)
        scene.fleet.store.evacuate('d0')
        scene.fleet.run(2000)
        scene.fleet.store.refused_hosts.clear()
        scene.fleet.run(3000)
        begun_at = agent.evacuations.get('d0').begun_at
        assert begun_at < scene.fleet.now - 8000


class TestRequests:
    """Requests during an evacuation."""

    @pytest.mark.parametrize('nested_calls', [0, 2])
    def test_undivided_service_leaves_at_once(self, nested_calls):
        """Guards against the own host as last resort, also of nested calls."""
        scene = Scene('d0')
        for backend in scene.fleet.backends.values():
            backend.nested_calls = nested_calls * (backend.service == 'bokun')
        scene.fleet.run(100)
        scene.serve(2000, callers=('m0', 'b0', 'b3'), step_ms=60)
        assert not scene.starts('m0', scene.since + 100)
        scene.check()

    @pytest.mark.parametrize('caller', ['m0', 'b1'])
    def test_queued_requests_run_elsewhere(self, caller):
        """Guards against queued requests that are refused to their callers."""
        scene = Scene()
        fleet = scene.fleet
        fleet.backends['m0'].work_ms = 60_000
        agent = fleet.agents['m0']
        bounds = settings.Bounds(evacuation_ms=domains.MARGIN_MS)
        agent.settings = attrs.evolve(agent.settings, bounds=bounds)
        fleet.agents[caller].hosts.get('m1').avoid_until = fleet.now + 60
        fleet.agents[caller].hosts.get('m2').avoid_until = fleet.now + 60
        for _ in range(12):
            fleet.call(caller, '/')
            fleet.run(3)
        waiting = {request.request_id for request in agent.queue}
        assert waiting
        fleet.store.evacuate('d0')
        fleet.run(2500)
        assert waiting <= {*scene.starts('m1'), *scene.starts('m2')}

    def test_key_without_next_owner_is_parked(self):
        """Guards against a refusal at once, before the new plan comes."""
        scene = Scene('d0')
        fleet = scene.fleet
        fleet.store.writes_to_reject['plans/bokun'] = 1000
        fleet.run(END_MS + 60)
        owned = {one.host_id: one.start for one in scene.plan().pieces}
        planner = fleet.agents[fleet.planner_hosts()[0]]
        while planner.timers.get('planner/plan') > fleet.now + 100:
            fleet.run(1)
        fleet.store.writes_to_reject.clear()
        scene.numbers = [
            fleet.call('b0', '/look/', key=owned['b0']),
            fleet.call('b1', '/look/', key=owned['b3']),
        ]
        fleet.run(40)
        # The ingress does not ask a host whose bound is over.
        (waiting,) = fleet.agents['b1'].requests
        assert not waiting.exchange
        scene.check()

    def test_read_is_not_sent_again_after_the_bound(self):
        """Guards against a retry on a new connection after the bound."""
        scene = Scene()
        for _ in range(40):
            scene.fleet.call('m0', '/')
            scene.fleet.run(100)
        scene.fleet.store.evacuate('d0')
        began = scene.fleet.now
        agent = scene.fleet.agents['m0']
        scene.fleet.run(60)
        end = domains.ends_at(agent, agent.evacuations.get('d0'))
        scene.fleet.run(end - scene.fleet.now - 5)
        scene.fleet.backends['m0'].silent_connections = agent.backend.slots
        for number in range(agent.backend.slots):
            forward = test_mesh_late_input.forward(routes.Kind.SAFE, number)
            arrived = messages.ForwardArrived(90_000 + number, 'b1', forward)
            scene.fleet.post('m0', arrived)
        scene.fleet.run(2000)
        assert not scene.starts('m0', began + END_MS)


class TestKeys:
    """Keys of divided services leave in steps, well before the bound ends."""

    def test_keys_leave_in_even_steps_and_come_back(self):
        """Guards against keys that leave all at once, late, or to one host."""
        scene = Scene()
        scene.serve(2000, step_ms=10)
        scene.fleet.store.evacuate('d0')
        scene.since = scene.fleet.now
        left = [scene.keys()]
        most_keys = 0
        while left[-1] and scene.fleet.now < scene.since + BOUND_MS * 0.6:
            scene.serve(60, step_ms=10)
            owned = collections.Counter()
            for piece in scene.plan().pieces:
                owned[piece.host_id] += piece.size
            most_keys = max(most_keys, *owned.values())
            left.append(scene.keys())
        steps = [
            first - then for first, then in zip(left, left[1:], strict=False)
        ]
        assert not left[-1]
        assert max(steps) < left[0] / 3
        assert most_keys < fleetconfig.KEY_COUNT / 4 * 1.25
        scene.check()
        scene.fleet.store.end_evacuation('d0')
        scene.serve(6000, step_ms=10)
        assert scene.keys() > left[0] / 4
        scene.check(is_empty=False)

    def test_steps_of_many_pieces_follow_the_time_left(self):
        """Guards against steps that take longer than half of the bound."""
        agent = Scene().fleet.agents['b1']
        evacuation = rows.Evacuation('d0', agent.now)
        agent.evacuations.put('d0', evacuation)
        life = ranges.Life('i', 1)
        pieces = [
            ranges.Piece(start, start + 63, 'b0', life, 1)
            for start in range(0, fleetconfig.KEY_COUNT, 64)
        ]
        left = []
        for waited_ms in (200, 200, 800, 200):
            step = keymoves.next_step(agent, pieces, pieces, {}, 40, 200)
            taken = {start for start, _end in step.ranges}
            pieces = [one for one in pieces if one.start not in taken]
            left.append(len(pieces))
            agent.now += waited_ms
        assert left == [938, 852, 766, 638]
        evacuation.begun_at = None
        step = keymoves.next_step(agent, pieces, pieces, {}, 40, 200)
        assert len(step.ranges) == len(pieces)

    @pytest.mark.parametrize('is_inside', [True, False])
    def test_planner_lost_halfway(self, is_inside):
        """Guards against keys that stay, as only one planner knew the steps."""
        scene = Scene()
        (planner,) = scene.fleet.planner_hosts()
        own = scene.fleet.domains[planner]
        domain = own if is_inside else min({'d0', 'd1', 'd2'} - {own})
        scene.fleet.store.evacuate(domain)
        scene.fleet.run(900)
        assert scene.keys(domain)
        scene.fleet.stop(planner)
        scene.fleet.backends[planner].is_up = False
        scene.fleet.run(11_000)
        assert scene.fleet.owned_key_count() == fleetconfig.KEY_COUNT
        scene.check(domain)

    @pytest.mark.parametrize('is_restored', [False, True])
    def test_store_away_or_restored(self, is_restored):
        """Guards against keys that stay, and requests after the bound."""
        scene = Scene('d0')
        scene.serve(600)
        copy = scene.fleet.store.copy()
        scene.fleet.store.is_down = not is_restored
        scene.serve(5500)
        if is_restored:
            scene.fleet.store.restore(copy)
        scene.fleet.store.is_down = False
        scene.serve(12_000)
        scene.check(ignored=len(scene.numbers) - 200)

    def test_begin_and_withdrawal_seconds_apart(self):
        """Guards against a withdrawal that is missed, and against lost work."""
        scene = Scene('d0')
        scene.serve(1500)
        scene.fleet.store.end_evacuation('d0')
        scene.serve(1000)
        assert not len(scene.fleet.agents['b1'].evacuations)
        scene.fleet.store.evacuate('d0')
        scene.since = scene.fleet.now
        scene.serve(4500)
        scene.check()

    def test_two_domains_and_all(self):
        """Guards against keys that move to another evacuated domain."""
        scene = Scene('d0')
        scene.serve(800)
        scene.fleet.store.evacuate('d1')
        scene.since = scene.fleet.now
        scene.serve(5000)
        assert scene.keys('d2') == fleetconfig.KEY_COUNT
        scene.check('d1')
        scene.fleet.store.evacuate('d2')
        scene.fleet.run(BOUND_MS)
        version = scene.plan().version
        began = scene.fleet.now
        scene.serve(1000)
        assert not scene.starts('b2', began)
        assert scene.plan().version == version


class TestHostsInside:
    """Hosts of an evacuated domain that stop, leave, start or are lost."""

    def test_planned_stop_and_leaving_server(self):
        """Guards against a stop that cuts off requests or keeps its keys."""
        scene = Scene('d0')
        scene.serve(300)
        fleetsim.ask_to_stop(scene.fleet, 'b0')
        scene.fleet.backends['m0'].is_draining = True
        scene.serve(7000, callers=('b1', 'm1', 'b5'))
        assert set(scene.fleet.stopped_at) == {'b0'}
        assert not scene.fleet.interrupted_requests
        scene.check()

    def test_new_server_and_server_without_agent(self):
        """Guards against keys for a new server, or that stay at a lost one."""
        scene = Scene('d0')
        scene.fleet.run(300)
        scene.fleet.stop('b3')
        fleet = scene.fleet
        fleet.domains['b9'] = 'd0'
        fleet._add_host('b9', 'bokun')
        scene.serve(9000, callers=('b1', 'm1', 'b9'))
        assert not scene.starts('b9')
        scene.check(ignored=len(scene.numbers) - 200)


class TestView:
    """What an operator sees: logs, metrics, status."""

    def test_store_shows_domains(self):
        """Guards against a status without agents that hides an evacuation."""
        memory = stores.MemoryStore()
        key = 'op/evacuate/d1'
        memory.rows[key] = storemsg.StoreRow(key, 1, b'')
        codec = configrowcodec.PlatformCodec()
        shown = asyncio.run(state.from_store(memory, codec))
        assert 'evacuated: d1;' in report.status_text(report.status(shown))

    def test_what_has_yet_to_leave(self):
        """Guards against an evacuation that nobody sees, or never ends."""
        scene = Scene()
        scene.fleet.backends['m0'].work_ms = 2000
        scene.fleet.call('m0', '/')
        scene.fleet.run(10)
        assert scene.view() == (0, 0, 0)
        handler = logbook.TestHandler()
        with handler:
            scene.fleet.store.evacuate('d0', 'nowhere')
            scene.fleet.run(100)
            assert scene.view() == (1, 2, 1)
            shown = state.from_agent(scene.fleet.agents['m0'])
            text = report.status_text(report.status(shown))
            assert 'evacuated: d0; yet to leave: 2 pieces' in text
            assert '1 requests here' in text
            scene.fleet.run(5000)
            assert scene.view() == (1, 0, 0)
            scene.fleet.store.end_evacuation('d0')
            scene.fleet.run(100)
        assert scene.view() == (0, 0, 0)
        lines = [
            record.message.partition(' pieces')[0]
            for record in handler.records
            if record.channel == 'evacuation'
        ]
        counts = collections.Counter(lines)
        assert counts['evacuation-begun domain=d0'] == 9
        assert counts['evacuation-ended domain=d0'] == 9
        assert 3 <= counts['evacuation-progress domains=d0'] <= 6
