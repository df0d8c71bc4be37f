"""Administration API of an agent: shows state and takes publications."""

import hmac
import http
import ipaddress
import json

import attrs
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.core import findings
from laburnumlatch.core import logs
from laburnumlatch.core import store as store_module
from laburnumlatch.operators import publish
from laburnumlatch.operators import report
from laburnumlatch.slots import holders
from laburnumlatch.slots import metrics
from laburnumlatch.slots import world as world_module

MAX_BODY_BYTES = 4 * 1024 * 1024
PUBLISH_EXPECTED = (
    'expected an object like {"files": [{"name": "a.yaml", "text": "..."}]}'
)

_log = logs.logger('adminapi')


@attrs.define
class Admin:
    """What the handlers need; they only read the world."""

    world: world_module.World
    store: store_module.Store


# Bodies are taken in pieces so that their size can be bounded: the server's
# own limit is that of callers' uploads.
@web.stream_request_body
class AdminHandler(web.RequestHandler):
    """Decides who may ask, and answers in JSON."""

    def initialize(self, admin):
        """Keep what all handlers share."""
        self._admin = admin
        self._body = bytearray()

    def prepare(self):
        """Refuse who may not ask, before the body is read."""
        self.clear_header('Server')
        self.request.connection.set_max_body_size(MAX_BODY_BYTES)
        refusal = refusal_of(
            self._admin.world.settings.admin_token,
            self.request.method,
            self.request.remote_ip,
            self.request.headers.get('Authorization', ''),
        )
        if refusal:
            self.set_header('WWW-Authenticate', 'Bearer')
            self.answer(
                {'error': refusal},
                http.HTTPStatus.UNAUTHORIZED,
            )

    def data_received(self, chunk):
        """Collect the body."""
        self._body.extend(chunk)

    def answer(self, shown, status=http.HTTPStatus.OK):
        """Write a dict as the whole answer."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(report.to_json(shown))

    def write_error(self, status_code, **_details):
        """Answer wrong methods and bad paths in JSON, too."""
        phrase = http.HTTPStatus(status_code).phrase
        asked = f'{self.request.method} {self.request.path}'
        self.answer({'error': f'{asked}: {phrase}'}, status_code)


class StatusHandler(AdminHandler):
    """`GET /admin/status`."""

    def get(self):
        """Show configuration, plans and members in short."""
        self.answer(report.status(self._admin.world))


class MembersHandler(AdminHandler):
    """`GET /admin/members`."""

    def get(self):
        """Show all hosts."""
        self.answer({'members': report.members(self._admin.world)})


class MetricsHandler(AdminHandler):
    """`GET /admin/metrics`."""

    def get(self):
        """Show counters and percentiles."""
        self.answer(metrics.snapshot(self._admin.world))


class PlanHandler(AdminHandler):
    """`GET /admin/plan/<service>`."""

    def get(self, service):
        """Show every slot of a service."""
        try:
            self.answer(report.plan(self._admin.world, service))
        except errors.InvalidInputError as error:
            self.answer({'error': str(error)}, http.HTTPStatus.NOT_FOUND)


class ExplainHandler(AdminHandler):
    """`GET /admin/explain/<service>/<key>`."""

    def get(self, service, key):
        """Show who owns a key and why."""
        world = self._admin.world
        try:
            shown = report.explain(world, service, key)
        except errors.InvalidInputError as error:
            self.answer({'error': str(error)}, http.HTTPStatus.NOT_FOUND)
            return
        held = holders.holding(world, service, shown['slot'])
        serving = None if held is None else attrs.asdict(held)
        self.answer({**shown, 'serving': serving})


class PublishHandler(AdminHandler):
    """`POST /admin/publish`."""

    async def post(self):
        """Check operators' files and publish them."""
        try:
            published = await self._publish()
        except errors.FindingsError as error:
            shown = report.of_findings(error.findings)
            self.answer(shown, http.HTTPStatus.BAD_REQUEST)
        except errors.InvalidInputError as error:
            self.answer({'error': str(error)}, http.HTTPStatus.BAD_REQUEST)
        except errors.StoreError as error:
            shown = {'error': f'store: {error}'}
            self.answer(shown, http.HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.answer(report.of_published(published))

    async def _publish(self):
        texts = read_files(bytes(self._body))
        entries = publish.parse_all(texts, findings.Findings())
        published = await publish.publish(self._admin.store, entries)
        _log.info(
            'published',
            files=len(texts),
            sender=self.request.remote_ip,
            version=published.version,
        )
        return published


class UnknownHandler(AdminHandler):
    """Any other path under `/admin`."""

    def get(self, *_path):
        """Say that there is no such thing."""
        shown = {'error': f'{self.request.path} is unknown'}
        self.answer(shown, http.HTTPStatus.NOT_FOUND)

    head = get
    post = get
    put = get
    delete = get
    patch = get


def refusal_of(token, method, remote_ip, authorization):
    """Return why a request is refused, or an empty text."""
    if token:
        expected = f'Bearer {token}'.encode()
        if hmac.compare_digest(authorization.encode(), expected):
            return ''
        return 'expected "Authorization: Bearer <admin_token>"'
    if method != 'GET':
        return f'{method} is refused: the settings have no admin_token'
    if ipaddress.ip_address(remote_ip).is_loopback:
        return ''
    return 'only loopback is served: the settings have no admin_token'


def read_files(body):
    """Return {name: text} in a JSON body; raise InvalidInputError."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise errors.InvalidInputError(f'not JSON: {error}') from error
    files = fields.get('files') if isinstance(fields, dict) else None
    if not files or not isinstance(files, list) or len(fields) > 1:
        raise errors.InvalidInputError(PUBLISH_EXPECTED)
    if not all(map(_is_file, files)):
        raise errors.InvalidInputError(PUBLISH_EXPECTED)
    texts = {stated['name']: stated['text'] for stated in files}
    if len(texts) < len(files):
        raise errors.InvalidInputError(f'{PUBLISH_EXPECTED}, each name once')
    return texts


def handlers(admin):
    """Return the tornado routes of the administration API."""
    fields = {'admin': admin}
    return [
        (r'/admin/status', StatusHandler, fields),
        (r'/admin/members', MembersHandler, fields),
        (r'/admin/metrics', MetricsHandler, fields),
        (r'/admin/plan/([^/]+)', PlanHandler, fields),
        (r'/admin/explain/([^/]+)/([^/]+)', ExplainHandler, fields),
        (r'/admin/publish', PublishHandler, fields),
        (r'/admin(/.*)?', UnknownHandler, fields),
    ]


def _is_file(stated):
    return (
        isinstance(stated, dict)
        and set(stated) == {'name', 'text'}
        and all(isinstance(text, str) for text in stated.values())
    )
