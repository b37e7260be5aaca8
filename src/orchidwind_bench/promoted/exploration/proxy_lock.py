"""The promotion lock as a proxy of the model reads, takes and releases it.

Owns what the proxy has seen of the lock; relies on the store and the product's `LockObserver`.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.promoted.core.promotion_lock import (
    LOCK_READ_BACK_SECONDS,
    LOCK_READ_BACKS,
    HeldLock,
    LockDecision,
    LockRecord,
    held_by_another,
    held_lock,
    usable_seconds,
)
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind_bench.promoted.exploration.proxy_views import ProxyViews
from orchidwind_bench.promoted.exploration.store import Conflict
from orchidwind_bench.promoted.exploration.surroundings import ProxyLife, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Process


class ProxyLock:
    """The promotion lock as one proxy knows it. `on_seen` is called with each newer record."""

    def __init__(self, life: ProxyLife, around: Surroundings, views: ProxyViews) -> None:
        self.on_seen: Callable[[LockRecord], None] = lambda record: None
        self._life = life
        self._store = around.store
        self._views = views
        self._observer = around.logic.lock_observer(life.name)
        self._holder = ""
        self._seen_at = 0.0
        self._revision = StoreRevision(0)

    def watched(self) -> None:
        """The store's watch has brought something."""
        record = self._store.lock
        if record is None:
            return
        self._observer.saw(self._life.now(), record.revision)
        if record.revision <= self._revision:
            return
        self._revision = record.revision
        self._holder = "" if record.released else record.holder
        self._seen_at = self._life.now()
        if not record.released:
            self.on_seen(record)

    def held_by_another(self) -> bool:
        """Whether another proxy took the lock a short while ago."""
        held_for = self._life.now() - self._seen_at
        return held_by_another(self._holder, self._life.name, held_for)

    def read(self) -> Process[LockRecord | None]:
        """The record, which may be absent; None where the store does not answer."""
        read = yield from self._store.call(
            self._life.name, "lock", lambda: self._store.lock_now, writes=False
        )
        assert read is None or isinstance(read, LockRecord)
        return read

    def take(self) -> Process[HeldLock | None]:
        """Take the promotion lock; None where another holds it or the store does not answer."""
        record = yield from self.read()
        if record is None:
            return None
        if self._decide(record) is LockDecision.WAIT:
            return None
        attempt = f"{self._life.name}@{self._life.now():.6f}"
        wanted = LockRecord(self._life.name, attempt, released=False, revision=record.revision)
        sent_at = self._life.now()
        written = yield from self._store.call(
            self._life.name, "take", lambda: self._store.write_lock(wanted), writes=True
        )
        if isinstance(written, Conflict):
            return None
        if isinstance(written, LockRecord):
            return self._taken(held_lock(sent_at, written, attempt))
        for _ in range(LOCK_READ_BACKS):
            record = yield from self.read()
            if record is not None and record.attempt == attempt:
                return self._taken(held_lock(sent_at, record, attempt))
            yield LOCK_READ_BACK_SECONDS
        return None

    def _decide(self, record: LockRecord) -> LockDecision:
        if not record.exists:
            self._observer.saw(self._life.store_era.since, record.revision)
        called = self._views.promotion_called(record.revision)
        return self._observer.decide(self._life.now(), record, called)

    def create_free(self, absent: LockRecord) -> Process[None]:
        """Create the lock of an era once no right from an earlier one can be in use."""
        if self._decide(absent) is LockDecision.WAIT:
            return
        free = LockRecord("", "", released=True, revision=absent.revision)
        yield from self._store.call(
            self._life.name, "create", lambda: self._store.write_lock(free), writes=True
        )

    def usable(self, held: HeldLock) -> bool:
        """Whether a call may still be begun under the lock."""
        return usable_seconds(held, self._life.now(), self._life.store_era.current) is not None

    def _taken(self, held: HeldLock | None) -> HeldLock | None:
        if held is not None:
            self._life.note(f"holds the lock, token {held.token}, until {held.valid_until:.3f}")
        return held

    def release(self, held: HeldLock) -> Process[None]:
        """Give the lock back."""
        record = LockRecord(self._life.name, "", released=True, revision=held.token)
        yield from self._store.call(
            self._life.name, "release", lambda: self._store.write_lock(record), writes=True
        )
