"""Which entry hosts are alive, leaving or gone."""

from celerywharf.membership._part import Membership
from celerywharf.membership.peers import Peer

__all__ = ('Membership', 'Peer')
