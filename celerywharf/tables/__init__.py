"""The shared table: accounts, services, backend servers, weights, limits."""

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
