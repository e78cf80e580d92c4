"""The members document in the store and the copy that this node has read."""

import logging
import random
import uuid
from collections.abc import Callable

import msgspec

from fireflyspread.exceptions import StoreError
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._store import Store
from fireflyspread.recovery._store_journal import Sleep

__all__ = ["MEMBERS_KEY", "DocumentKeeper", "Edit"]

logger = logging.getLogger(__name__)

MEMBERS_KEY = "members"

_EMPTY = MembersDocument(epoch=0, write_id="", members=(), slots=())
_DECODER = msgspec.json.Decoder(MembersDocument)

Edit = Callable[[MembersDocument], MembersDocument | None]


class DocumentKeeper:
    """Reads the document and changes it by compare-and-swap.

    Parameters
    ----------
    on_change : callable
        Called with each newer document.
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
        """Store revision of the copy; 0 while there is no document."""
        return self._revision

    async def refresh(self) -> MembersDocument:
        """Read the document.

        Raises
        ------
        StoreError
            The store does not answer; the last copy stays.
        """
        entry = await self._store.read(MEMBERS_KEY)
        if entry is not None:
            self._accept(_DECODER.decode(entry.value), entry.revision)
        return self.document

    def _accept(self, document: MembersDocument, revision: int) -> None:
        # Reads may be answered out of order; the revision only increases.
        if revision > self._revision:
            self._revision = revision
            self.document = document
            self._on_change(document)

    def find_owner(self, slot: int) -> Member | None:
        """Return the member that the row of ``slot`` names."""
        if not self.document.slots:
            return None
        return self.document.find_member(self.document.slots[slot].owner)

    def export(self, epoch: int) -> tuple[bytes, int]:
        """Return document and revision for a node that knows ``epoch``.

        Nothing is returned when the node's copy is as new as this one.
        """
        if epoch >= self.document.epoch:
            return b"", 0
        return msgspec.json.encode(self.document), self._revision

    def offer(self, data: bytes, revision: int) -> None:
        """Accept a document that another node has read."""
        self._accept(_DECODER.decode(data), revision)

    async def try_change(self, edit: Edit) -> bool:
        """Apply ``edit`` to the present copy only.

        Returns
        -------
        bool
            Whether the document is as ``edit`` wants it.

        Raises
        ------
        StoreError
            The store does not answer; the change may have taken effect.
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
        """Apply ``edit`` to the newest document until it holds or is refused.

        ``edit`` returns None to refuse, and its argument unchanged when nothing is
        left to do. A lost response needs no other care: the next round reads the
        document and finds the change made, or makes it again on the same revision.
        """
        while True:
            try:
                await self.refresh()
                if edit(self.document) is None:
                    return False
                if await self.try_change(edit):
                    return True
            except StoreError as exc:
                logger.info("change of members repeated: %s", exc)
            await self._sleep(self._rng.uniform(0.02, 0.1))
