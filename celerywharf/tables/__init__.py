"""The shared table: accounts, services, backend servers, weights, limits."""

from celerywharf.tables.catalogues import Catalogue
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
    'BackendServer',
    'BackendState',
    'Catalogue',
    'ClientAccount',
    'Policy',
    'Row',
    'RowKind',
    'Service',
    'ServiceKind',
    'Share',
)
