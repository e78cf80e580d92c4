"""Journal entries in the store: encoding, reading and sealing."""

from collections.abc import Iterator, Sequence

import msgspec
from attrs import field, frozen

from fireflyspread.recovery._records import AnyRecord, Record
from fireflyspread.recovery._store import Entry, Store

__all__ = [
    "MAX_VALUE_BYTES",
    "JournalEntry",
    "StoredJournal",
    "decode_entry",
    "encode_entry",
    "encode_record",
    "format_entry_key",
    "join_records",
    "pack_entry",
    "read_journal",
    "seal_journal",
]

# The store accepts values up to 1 MB; the difference is left for the envelope.
MAX_VALUE_BYTES = 900_000

# Keys are read in pages of ten consecutive sequence numbers, so that a response of
# the store stays below 10 MB.
_PAGE_DIGITS = 1
_SEQUENCE_DIGITS = 12

_RECORD_DECODER = msgspec.msgpack.Decoder(AnyRecord | None)

WITHDRAWN = msgspec.msgpack.encode(None)


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Value of one journal key.

    Attributes
    ----------
    write_id : str
        Unique to the value, so that a lost response can be resolved.
    position : int
        Position of the first record in the journal.
    records : tuple of Raw
        Encoded records; nil marks a withdrawn record.
    fragment : bytes or None
        Part of a record that does not fit into one value.
    is_last : bool
        Whether ``fragment`` is the last part of its record.
    sealed_by : str
        Incarnation that sealed the journal with this entry.
    """

    write_id: str
    position: int
    records: tuple[msgspec.Raw, ...] = ()
    fragment: bytes | None = None
    is_last: bool = True
    sealed_by: str = ""


_ENTRY_DECODER = msgspec.msgpack.Decoder(JournalEntry)


def encode_entry(entry: JournalEntry) -> bytes:
    """Return the stored form of ``entry``."""
    return msgspec.msgpack.encode(entry)


def decode_entry(data: bytes) -> JournalEntry:
    """Return the entry in ``data``; raises ``msgspec.DecodeError``."""
    return _ENTRY_DECODER.decode(data)


def encode_record(record: Record) -> bytes:
    """Return the MessagePack form of one record."""
    return msgspec.msgpack.encode(record)


def format_entry_key(prefix: str, sequence: int) -> str:
    """Return the key of the entry with sequence number ``sequence``."""
    return f"{prefix}{sequence:0{_SEQUENCE_DIGITS}}"


def pack_entry(
    write_id: str, position: int, queued: Sequence[bytes], offset: int = 0
) -> tuple[JournalEntry, int]:
    """Pack as many queued records into one entry as fit.

    Parameters
    ----------
    queued : sequence of bytes
        Encoded records; the first one is at ``position``.
    offset : int
        Bytes of the first record that earlier entries contain.

    Returns
    -------
    tuple of JournalEntry and int
        The entry and the number of records that it completes.
    """
    if len(queued[0]) > MAX_VALUE_BYTES:
        part = queued[0][offset : offset + MAX_VALUE_BYTES]
        is_last = offset + len(part) == len(queued[0])
        entry = JournalEntry(
            write_id=write_id, position=position, fragment=part, is_last=is_last
        )
        return entry, int(is_last)
    size, count = 0, 0
    for data in queued:
        size += len(data)
        if size > MAX_VALUE_BYTES:
            break
        count += 1
    records = tuple(msgspec.Raw(data) for data in queued[:count])
    return JournalEntry(write_id=write_id, position=position, records=records), count


def join_records(entries: Sequence[JournalEntry]) -> Iterator[tuple[int, Record]]:
    """Yield position and record for all records of ``entries``, in order.

    Entries may overlap, because records held by another node may be in the store as
    well. Records at the same position are identical, and each is yielded once.
    """
    next_position = 0
    parts: list[bytes] = []
    # The sort is stable: entries at the same position stay in the order of writing.
    for entry in sorted(entries, key=lambda entry: entry.position):
        encoded: Sequence[bytes] = [bytes(raw) for raw in entry.records]
        if entry.fragment is not None:
            parts.append(entry.fragment)
            if not entry.is_last:
                continue
            encoded, parts = [b"".join(parts)], []
        for position, data in enumerate(encoded, entry.position):
            if position < next_position:
                continue
            next_position = position + 1
            record = _RECORD_DECODER.decode(data)
            if record is not None:
                yield position, record


@frozen
class StoredJournal:
    """The entries of a journal that are in the store.

    Attributes
    ----------
    prefix : str
        Key prefix of the journal.
    keys : tuple of str
        Keys of the entries, in order.
    entries : tuple of JournalEntry
        Decoded values, in the order of ``keys``.
    """

    prefix: str
    keys: tuple[str, ...] = ()
    entries: tuple[JournalEntry, ...] = field(default=(), repr=False)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the first unused key."""
        return int(self.keys[-1][len(self.prefix) :]) + 1 if self.keys else 0

    @property
    def sealed_by(self) -> str:
        """Incarnation that sealed the journal, or empty."""
        return self.entries[-1].sealed_by if self.entries else ""


async def read_journal(store: Store, prefix: str) -> StoredJournal:
    """Read all entries of a journal.

    The owner deletes only the oldest entries, so the sequence numbers have no gaps
    and the first page that does not end with its last key is the last one.

    Raises
    ------
    StoreError
        The store does not answer.
    """
    first = await store.read_prefix(prefix, limit=1)
    rows: list[Entry] = []
    if first:
        sequence = int(first[0].key[len(prefix) :])
        while True:
            page = format_entry_key(prefix, sequence)[:-_PAGE_DIGITS]
            found = await store.read_prefix(page)
            rows.extend(found)
            if not found or not found[-1].key.endswith("9" * _PAGE_DIGITS):
                break
            sequence = int(found[-1].key[len(prefix) :]) + 1
    return StoredJournal(
        prefix=prefix,
        keys=tuple(row.key for row in rows),
        entries=tuple(decode_entry(row.value) for row in rows),
    )


async def seal_journal(
    store: Store, prefix: str, *, write_id: str, sealed_by: str, lease: int = 0
) -> StoredJournal:
    """Append a seal to another node's journal and return all entries.

    The owner cannot append after this, because it only creates keys that are
    absent. The seal must outlive all other entries, or a paused owner could append
    again. ``lease`` lets the store delete the seal; its ttl must exceed any pause of
    a process.

    Raises
    ------
    StoreError
        The store does not answer; the journal may have been sealed.
    """
    while True:
        journal = await read_journal(store, prefix)
        if journal.sealed_by:
            return journal
        # The position sorts the seal, which has no records, after all other entries.
        seal = JournalEntry(
            write_id=write_id, position=1 << 62, sealed_by=sealed_by, records=()
        )
        key = format_entry_key(prefix, journal.next_sequence)
        # If the key exists by now, the owner has appended an entry: read again.
        await store.create_once(key, encode_entry(seal), lease=lease)
