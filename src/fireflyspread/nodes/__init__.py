"""Messages between nodes."""

from fireflyspread.nodes._fences import FenceGuard
from fireflyspread.nodes._greetings import Greeter, find_neighbours
from fireflyspread.nodes._messages import (
    MESSAGE_VERSION,
    AcquireTokens,
    AuthorityRenewed,
    BundleFetched,
    ConfirmFence,
    Failed,
    FenceConfirmed,
    FetchBundle,
    Hello,
    HoldRecords,
    Message,
    RecordsHeld,
    RecordsTaken,
    RenewAuthority,
    TakeRecords,
    TokensGranted,
    decode_message,
    encode_message,
)
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.nodes._relay import (
    OUTCOME_HEADER,
    Relay,
    RelayAnswer,
    make_ssl_context,
)
from fireflyspread.nodes._signature import HOPS_HEADER, Identity, RequestSigner
from fireflyspread.nodes._tokens import NodeTokenPeers, register_tokens

__all__ = [
    "MESSAGE_VERSION",
    "AcquireTokens",
    "AuthorityRenewed",
    "BundleFetched",
    "ConfirmFence",
    "Failed",
    "FenceConfirmed",
    "FenceGuard",
    "FetchBundle",
    "Hello",
    "Greeter",
    "HOPS_HEADER",
    "HoldRecords",
    "Identity",
    "Message",
    "NodeTokenPeers",
    "PeerClient",
    "PeerServer",
    "RecordsHeld",
    "RecordsTaken",
    "OUTCOME_HEADER",
    "Relay",
    "RelayAnswer",
    "RenewAuthority",
    "RequestSigner",
    "TakeRecords",
    "TokensGranted",
    "decode_message",
    "encode_message",
    "find_neighbours",
    "make_ssl_context",
    "register_tokens",
]
