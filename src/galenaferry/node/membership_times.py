"""Times by which the nodes of a fleet know that others are live."""

from typing import Final

from ..membership.heartbeats import HeartbeatSettings
from ..membership.state import Liveness

HEARTBEAT_SETTINGS: Final = HeartbeatSettings(interval=1_000.0, fanout=2)
LIVENESS: Final = Liveness(
    6_000.0, timeout_per_member=200.0, sample_size=16, own_zone_share=0.75
)
"""A member is live for 6 s, plus 200 ms per known member, after its latest update.

16 members fill a datagram. With 200 ms per member, fleets of 40 and of 91 VMs keep
complete views of their members (``membership/tests/test_heartbeats.py``)."""
