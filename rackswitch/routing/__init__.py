"""Target selection, and the state and load estimates of targets."""

from rackswitch.routing.admission import *  # noqa: F403
from rackswitch.routing.admission import __all__ as _admission_all
from rackswitch.routing.directory import *  # noqa: F403
from rackswitch.routing.directory import __all__ as _directory_all
from rackswitch.routing.eligibility import *  # noqa: F403
from rackswitch.routing.eligibility import __all__ as _eligibility_all
from rackswitch.routing.home_region import *  # noqa: F403
from rackswitch.routing.home_region import __all__ as _home_region_all
from rackswitch.routing.load_estimator import *  # noqa: F403
from rackswitch.routing.load_estimator import __all__ as _load_estimator_all
from rackswitch.routing.path_delays import *  # noqa: F403
from rackswitch.routing.path_delays import __all__ as _path_delays_all
from rackswitch.routing.placing import *  # noqa: F403
from rackswitch.routing.placing import __all__ as _placing_all
from rackswitch.routing.policies import *  # noqa: F403
from rackswitch.routing.policies import __all__ as _policies_all
from rackswitch.routing.regions import *  # noqa: F403
from rackswitch.routing.regions import __all__ as _regions_all
from rackswitch.routing.reported_load import *  # noqa: F403
from rackswitch.routing.reported_load import __all__ as _reported_load_all
from rackswitch.routing.target_estimates import *  # noqa: F403
from rackswitch.routing.target_estimates import __all__ as _target_estimates_all
from rackswitch.routing.targets import *  # noqa: F403
from rackswitch.routing.targets import __all__ as _targets_all

__all__ = [
    *_admission_all,
    *_directory_all,
    *_eligibility_all,
    *_home_region_all,
    *_load_estimator_all,
    *_path_delays_all,
    *_placing_all,
    *_policies_all,
    *_regions_all,
    *_reported_load_all,
    *_target_estimates_all,
    *_targets_all,
]
