"""The names of the documents replicated in a cluster, as they are stored, sent and given by operators."""

from typing import Final, Literal, get_args

DocumentName = Literal["settings", "runners-out", "runners-never", "limits", "deal", "works"]
"""The type of a validated name; the type checker compares the constants below with it."""

SETTINGS: Final = "settings"
DRAINED_BACKENDS: Final = "runners-out"
EXCLUDED_BACKENDS: Final = "runners-never"
LIMITS: Final = "limits"  # cluster-wide limits on open requests
QUOTAS: Final = "deal"  # the share of each limit that each member may use
MAINTENANCE: Final = "works"  # the maintenance jobs

DOCUMENTS: Final[tuple[DocumentName, ...]] = get_args(DocumentName)
