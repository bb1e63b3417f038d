"""Choosing a target, and what is known of targets."""

from rackswitch.routing.admission import *  # noqa: F403
from rackswitch.routing.admission import __all__ as _admission_all
from rackswitch.routing.directory import *  # noqa: F403
from rackswitch.routing.directory import __all__ as _directory_all
from rackswitch.routing.load_picture import *  # noqa: F403
from rackswitch.routing.load_picture import __all__ as _load_picture_all
from rackswitch.routing.load_words import *  # noqa: F403
from rackswitch.routing.load_words import __all__ as _load_words_all
from rackswitch.routing.places import *  # noqa: F403
from rackswitch.routing.places import __all__ as _places_all
from rackswitch.routing.placing import *  # noqa: F403
from rackswitch.routing.placing import __all__ as _placing_all
from rackswitch.routing.policies import *  # noqa: F403
from rackswitch.routing.policies import __all__ as _policies_all
from rackswitch.routing.targets import *  # noqa: F403
from rackswitch.routing.targets import __all__ as _targets_all

__all__ = [
    *_admission_all,
    *_directory_all,
    *_load_picture_all,
    *_load_words_all,
    *_places_all,
    *_placing_all,
    *_policies_all,
    *_targets_all,
]
