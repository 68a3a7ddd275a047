"""Maps type numbers on the wire to message types.

A number is never reused for another type.
"""

from turmericyard_protocol import fleet_messages, messages, tunnel_messages
from turmericyard_protocol.message import Message

MESSAGE_TYPES: dict[int, type[Message]] = {
    1: messages.Challenge,
    2: messages.Hello,
    3: messages.Welcome,
    4: messages.Heartbeat,
    5: messages.ConfigurationRequest,
    6: messages.ConfigurationReply,
    7: messages.Acknowledged,
    8: messages.Unsupported,
    9: messages.MembersRequest,
    10: messages.PermitRequest,
    11: messages.PermitGrant,
    12: messages.PermitDenied,
    13: messages.PermitRelease,
    14: messages.LoanRequest,
    15: messages.LoanReply,
    16: messages.LoanReturn,
    17: messages.ViewRequest,
    18: messages.ViewReply,
    19: messages.MembersReply,
    20: messages.DeathNotice,
    21: messages.ClearanceNotice,
    22: messages.GenerationTaken,
    23: messages.EndpointFree,
    24: messages.PaceNotice,
    25: messages.RefusalNotice,
    30: messages.ExplainRequest,
    31: messages.ExplainReply,
    40: fleet_messages.FleetBeat,
    41: fleet_messages.ViewItemsRequest,
    42: fleet_messages.ViewItemsReply,
    43: fleet_messages.HubUpdate,
    44: fleet_messages.PlaceRequest,
    45: fleet_messages.PlaceReply,
    46: fleet_messages.CopyPlaceRequest,
    47: fleet_messages.PlaceEnd,
    48: fleet_messages.PlaceOffer,
    49: fleet_messages.PlaceTaken,
    54: fleet_messages.QueueLeave,
    50: tunnel_messages.TunnelOpen,
    51: tunnel_messages.TunnelReply,
    52: tunnel_messages.TunnelData,
    53: tunnel_messages.TunnelEnd,
}
