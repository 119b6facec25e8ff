"""Checks the bytes of every kind of frame and record, so that renaming types or fields cannot change what is sent.

Each sample is built from the type's own field types, by position, and compared with bytes recorded from an earlier
version. A mismatch means that processes of two versions may no longer understand each other.
"""

import hashlib

import msgspec
import pytest
from msgspec import inspect

from oakfork import peer_codec
from oakfork.contracts import messages as contract_messages
from oakfork.control import framing, messages as control_messages, records as control_records
from oakfork.fleet import codec
from oakfork.fleet.config import FleetRevision
from oakfork.leases import messages as lease_messages

assert contract_messages  # its messages are subclasses of the leases' base


def sample(kind, number=1):
    """A value of a type from msgspec.inspect; `number` makes the values of neighbouring fields differ."""
    if isinstance(kind, inspect.BoolType):
        return number % 2 == 1
    if isinstance(kind, inspect.IntType):
        return 40 + number if kind.le is None and kind.lt is None else 1 + number
    if isinstance(kind, inspect.FloatType):
        return 0.5 + number
    if isinstance(kind, inspect.StrType):
        return f"name-{number}"
    if isinstance(kind, inspect.BytesType):
        return b"value-%d" % number
    if isinstance(kind, inspect.EnumType):
        return list(kind.cls)[number % len(kind.cls)]
    if isinstance(kind, inspect.UnionType):
        return sample(kind.types[0], number)
    if isinstance(kind, inspect.VarTupleType | inspect.ListType):
        length = max(2, kind.min_length or 0)
        return tuple(sample(kind.item_type, number + place) for place in range(length))
    if isinstance(kind, inspect.TupleType):
        return tuple(sample(item, number + place) for place, item in enumerate(kind.item_types))
    if isinstance(kind, inspect.NamedTupleType | inspect.StructType):
        return kind.cls(*(sample(field.type, number + place) for place, field in enumerate(kind.fields)))
    raise TypeError(f"no sample for {kind}")


def shown(data):
    """Bytes as hexadecimal digits, or as a digest where there are more than 50 of them."""
    return data.hex() if len(data) <= 50 else "sha256 " + hashlib.sha256(data).hexdigest()[:32]


def packed(struct):
    """The bytes of a sample of a struct."""
    return shown(msgspec.msgpack.encode(sample(inspect.type_info(struct))))


def tagged_samples(base):
    """Packed samples of all messages with a given base class, by tag."""
    structs = {inspect.type_info(struct).tag: struct for struct in base.__subclasses__()}
    return {tag: packed(structs[tag]) for tag in sorted(structs)}


def fleet_samples():
    """Messages of leases and contracts, by tag."""
    return tagged_samples(lease_messages.Message)


def control_samples():
    """Messages of the control part, by tag."""
    return tagged_samples(control_messages.Message)


def record_samples():
    """Records of the control part, by the number of their kind."""
    return {int(kind): packed(struct) for kind, struct in control_records.TYPES.items()}


def peer_samples():
    """Frames between gateways, by the name of the case."""
    items = [
        peer_codec.pack_item(peer_codec.Ask(513, 7_654_321_987, 2, 1.5)),
        peer_codec.pack_item(peer_codec.Answer(514, 12_345)),
        peer_codec.pack_item(peer_codec.Return(7_654_321_987, 1, -2.25)),
        peer_codec.pack_item(peer_codec.Release(515, 7_654_321_987)),
        peer_codec.pack_item(peer_codec.Reading(0x89ABCDEF, 321, 4_500)),
    ]
    return {
        "empty": shown(peer_codec.pack(11, 0, 1, 70_000, [])),
        "of the oldest version": shown(peer_codec.pack(11, 12, 13, 14, items[:4])),
        "with a reading, to one known before": shown(peer_codec.pack(11, 12, 13, 14, items, True, peer_codec.VERSION)),
    }


def envelope_samples():
    """What stands around messages on the wire, by the name of the case."""
    return {
        "fleet": codec.pack(3, FleetRevision(7, 8, 9), [lease_messages.VoteFreed(1, 2)]).hex(),
        "control": framing.framed(b"body").hex(),
        "control, compressed": framing.framed(b"body" * 100)[:1].hex(),
    }


LEASE_AND_CONTRACT_FRAMES = {
    1: "9701020304050607",
    2: "96020203040506",
    3: "9703020304050607",
    4: "950402030405",
    5: "93050203",
    6: "9406020304",
    7: "950702030405",
    8: "980802030405060708",
    9: "9709020304050607",
    20: "961402030405929306079292080992090a9307089292090a920a0b",
    21: "931502929303040593040506",
    22: "9716020304050607",
    23: "96170203040506",
}
CONTROL_FRAMES = {
    1: "960102a66e616d652d32c39205062d",
    2: "93029202032a",
    3: "9203920203",
    4: "sha256 adf23d4c1185136d4c3d8b4080dfbc6e",
    5: "9205920203",
    16: "941002a66e616d652d32920405",
    17: "96119202039203042b929300a66e616d652d35c40776616c75652d369301a66e616d652d36c40776616c75652d37c3",
    18: "sha256 221965bbb9d8ae5c8e01536aa54f9980",
    19: "941302929302a66e616d652d33c40776616c75652d349303a66e616d652d34c40776616c75652d35c3",
    20: "94149202030392a66e616d652d33a66e616d652d34",
    21: "9315a66e616d652d31920304",
    22: "sha256 6527c366638230b907899c5bba057b6c",
    32: "9320a66e616d652d31c40776616c75652d32",
    33: "9421a66e616d652d3192030492a66e616d652d33a66e616d652d34",
    34: "9122",
    35: "9223c40776616c75652d31",
    48: "963002030405c3",
    49: "973102030492050606c2",
    50: "973202c2040592060707",
}
CONTROL_RECORDS = {
    0: "919294a66e616d652d312a2b0094a66e616d652d322b2c01",
    1: "9829a66e616d652d32a66e616d652d332c012e2fa66e616d652d38",
    2: "94a66e616d652d31a66e616d652d32a66e616d652d33a66e616d652d34",
    3: "95a66e616d652d312a2b2c2d",
}
PEER_FRAMES = {
    "empty": "020b00000001007011",
    "of the oldest version": "020b000c000d000e0001010243af3bc801020018000202027c000343af3bc8010100dcff04030243af3bc801",
    "with a reading, to one known before": "sha256 cfc0a6ccb0df7f763b7adb36a6fb1290",
}
ENVELOPES = {
    "fleet": "9601030708099193050102",
    "control": "00000004626f6479",
    "control, compressed": "80",
}


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        (fleet_samples, LEASE_AND_CONTRACT_FRAMES),
        (control_samples, CONTROL_FRAMES),
        (record_samples, CONTROL_RECORDS),
        (peer_samples, PEER_FRAMES),
        (envelope_samples, ENVELOPES),
    ],
)
def test_frames_keep_their_bytes(samples, expected):
    """A field that moved, or a type that packs otherwise, would break fleets of mixed versions and stored data."""
    assert samples() == expected
