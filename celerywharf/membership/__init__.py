"""Group membership: which entry hosts are alive, leaving or dead."""

from celerywharf.membership._part import Membership
from celerywharf.membership.peers import Peer

__all__ = ('Membership', 'Peer')
