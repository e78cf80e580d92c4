"""Local copy of the members document, and its update in the store."""

import logging
import random
import uuid
from collections.abc import Callable

import msgspec

from fireflyspread.exceptions import StoreError
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._store import Store
from fireflyspread.recovery._store_journal import Sleep

__all__ = ["MEMBERS_KEY", "DocumentCache", "Edit"]

_LOG = logging.getLogger(__name__)

MEMBERS_KEY = "members"

_EMPTY = MembersDocument(epoch=0, write_id="", members=(), slots=())
_DECODER = msgspec.json.Decoder(MembersDocument)

Edit = Callable[[MembersDocument], MembersDocument | None]


class DocumentCache:
    """Reads the document, caches it and changes it by compare-and-swap.

    Parameters
    ----------
    on_change : callable
        Called with each newer version of the document.
    """

    def __init__(
        self,
        store: Store,
        *,
        rng: random.Random,
        sleep: Sleep,
        on_change: Callable[[MembersDocument], None],
    ) -> None:
        self._store = store
        self._rng = rng
        self._sleep = sleep
        self._on_change = on_change
        self._revision = 0
        self.document = _EMPTY

    @property
    def revision(self) -> int:
        """Store revision of the cached document; 0 if none was read."""
        return self._revision

    async def refresh(self) -> MembersDocument:
        """Read the document from the store.

        Raises
        ------
        StoreError
            The store does not answer; the cached document is unchanged.
        """
        entry = await self._store.read(MEMBERS_KEY)
        if entry is not None:
            self._accept(_DECODER.decode(entry.value), entry.revision)
        return self.document

    def _accept(self, document: MembersDocument, revision: int) -> None:
        # Reads may be answered out of order; older revisions are ignored.
        if revision > self._revision:
            self._revision = revision
            self.document = document
            self._on_change(document)

    def find_owner(self, slot: int) -> Member | None:
        """Return the owner of ``slot``, or None if it has none."""
        if not self.document.slots:
            return None
        return self.document.find_member(self.document.slots[slot].owner)

    def export(self, epoch: int) -> tuple[bytes, int]:
        """Return encoded document and revision for a node that knows ``epoch``.

        The document is empty if the node's copy is not older than this one.
        """
        if epoch >= self.document.epoch:
            return b"", 0
        return msgspec.json.encode(self.document), self._revision

    def accept_encoded(self, data: bytes, revision: int) -> None:
        """Accept an encoded document that another node has read, unless it is older."""
        self._accept(_DECODER.decode(data), revision)

    async def try_change(self, edit: Edit) -> bool:
        """Apply ``edit`` to the cached document, once.

        Returns
        -------
        bool
            Whether the document now satisfies ``edit``; False on a conflict or if
            ``edit`` returns None.

        Raises
        ------
        StoreError
            The store does not answer; the edit may have taken effect.
        """
        base = self.document
        wanted = edit(base)
        if wanted is None or wanted == base:
            return wanted is not None
        wanted = msgspec.structs.replace(
            wanted, epoch=base.epoch + 1, write_id=uuid.uuid4().hex
        )
        revision = await self._store.replace(
            MEMBERS_KEY, msgspec.json.encode(wanted), revision=self._revision
        )
        if revision is None:
            return False
        self._accept(wanted, revision)
        return True

    async def change(self, edit: Edit) -> bool:
        """Apply ``edit`` to the newest document until it succeeds or is refused.

        ``edit`` returns None to refuse, and its argument unchanged when there is
        nothing left to do. After a lost response, the next attempt reads the document
        and either finds the edit applied or applies it to the same revision again.

        Returns
        -------
        bool
            False if ``edit`` refused.
        """
        while True:
            try:
                await self.refresh()
                if edit(self.document) is None:
                    return False
                if await self.try_change(edit):
                    return True
            except StoreError as exc:
                _LOG.info("update of the members document failed, retrying: %s", exc)
            await self._sleep(self._rng.uniform(0.02, 0.1))
