"""The names of the documents that are replicated in a cluster, as stored, sent and typed by operators."""

from typing import Final, Literal, get_args

DocumentName = Literal["settings", "runners-out", "runners-never", "limits", "deal", "works"]
"""The type of a name that was validated; the type checker compares the constants below with it."""

SETTINGS: Final = "settings"
DRAINED_BACKENDS: Final = "runners-out"
EXCLUDED_BACKENDS: Final = "runners-never"
LIMITS: Final = "limits"  # cluster-wide limits on open requests
QUOTAS: Final = "deal"  # the part of each limit that a member may use
MAINTENANCE: Final = "works"  # the maintenance jobs

DOCUMENTS: Final[tuple[DocumentName, ...]] = get_args(DocumentName)
