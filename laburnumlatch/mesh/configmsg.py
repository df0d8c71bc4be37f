"""Messages about the configuration and the settings of the process."""

from laburnumlatch.core import records
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings as settings_module


@records.define(frozen=True)
class ReadConfiguration:
    """Read the configuration that an operator accepted last."""

    ticket: str


@records.define(frozen=True)
class WatchConfiguration:
    """Wait up to `wait_ms` for what an operator has changed since `after`.

    With `wait_ms` 0 the response comes at once.
    """

    ticket: str
    after: int
    wait_ms: int


@records.define(frozen=True)
class ConfigurationRead:
    """Accepted configurations, oldest first; empty if nothing has changed.

    `store_version` is the version of the store up to which they were read.
    `evacuated` are failure domains that the operator asks to evacuate, and
    `ended_evacuations` those for which that is withdrawn. If the read
    `is_complete`, all other evacuations are withdrawn, too. The newest change
    in it is of version `changed_in`, 0 if there is none. It `is_prompt` if it
    has waited for the change.
    """

    ticket: str
    configurations: tuple[routes.Configuration, ...]
    store_version: int
    evacuated: tuple[str, ...] = ()
    ended_evacuations: tuple[str, ...] = ()
    is_complete: bool = False
    changed_in: int = 0
    is_prompt: bool = False


@records.define(frozen=True)
class LimitsChanged:
    """New limits for the requests of callers are in force."""

    limits: routes.Limits


@records.define(frozen=True)
class SettingsChanged:
    """The settings file was read again."""

    settings: settings_module.Settings
