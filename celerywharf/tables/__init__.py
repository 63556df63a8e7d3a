"""The shared table of client accounts, services, backend servers and shares.

Every host holds a replica of all rows.  Changes are committed on the platform
and sent from host to host.
"""

from celerywharf.tables._service import TableService
from celerywharf.tables._storage import REVISION_KEY
from celerywharf.tables.catalogues import Catalogue
from celerywharf.tables.changes import Change, ChangeRequest, Delta, Edit
from celerywharf.tables.rows import (
    BackendServer,
    BackendState,
    ClientAccount,
    Policy,
    Row,
    RowKind,
    Service,
    ServiceKind,
    Share,
)

__all__ = (
    'REVISION_KEY',
    'BackendServer',
    'BackendState',
    'Catalogue',
    'Change',
    'ChangeRequest',
    'ClientAccount',
    'Delta',
    'Edit',
    'Policy',
    'Row',
    'RowKind',
    'Service',
    'ServiceKind',
    'Share',
    'TableService',
)
