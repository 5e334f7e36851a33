/* One stateful turn: kept on two archives, brought to the store by either, forgotten by both, while one disk may be lost
 * and a reader looks for it. The caller has seen the turn's end once both archives, or the store, have it.
 *
 * As built, a reader asks the store, then the archives, then the store again, and only then says that there is none.
 * Variants that break it:
 * STORE_THEN_ARCHIVES: the store isn't asked again.
 * ONE_COPY: one archive is enough for the caller to see the end.
 * FORGET_FIRST: an archive forgets the turn before the store has it.
 */
bool inStore = false;
bool on[2] = false;
bool isAcknowledged = false;

proctype Writer() {
    on[0] = true;
#ifdef ONE_COPY
    isAcknowledged = true;
#endif
    on[1] = true;
    /* A copy that a wipe has taken meanwhile is not acknowledged, and the turn goes to the store itself. */
    if
    :: atomic { on[0] && on[1] -> isAcknowledged = true }
    :: atomic { else -> inStore = true; isAcknowledged = true }
    fi
}

proctype Archive(byte self) {
    bool isUnderWay = false;
    do
#ifdef FORGET_FIRST
    :: atomic { on[self] -> on[self] = false; isUnderWay = true }
    :: atomic { isUnderWay -> inStore = true; isUnderWay = false }
#else
    :: atomic { on[self] -> inStore = true; isUnderWay = true }
    :: atomic { isUnderWay -> on[0] = false; on[1] = false; isUnderWay = false }
#endif
    :: break
    od
}

proctype Wipe() {
    /* One disk at a time, and only one before the copies are complete again. */
    if
    :: atomic { on[0] -> on[0] = false }
    :: atomic { on[1] -> on[1] = false }
    :: skip
    fi
}

proctype Reader() {
    bool found;
    isAcknowledged;
    found = inStore;
    found = found || on[0];
    found = found || on[1];
#ifndef STORE_THEN_ARCHIVES
    found = found || inStore;
#endif
    assert(found)
}

init {
    atomic {
        run Writer();
        run Archive(0);
        run Archive(1);
        run Wipe();
        run Reader()
    }
}
