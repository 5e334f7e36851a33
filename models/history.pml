/* One stateful turn. It is written to two archives, either of them uploads it to the store, and both then delete it. One
 * disk may be lost meanwhile, and a reader looks the turn up. The turn is acknowledged to the caller once both archives
 * or the store have it. The model checks that a reader finds an acknowledged turn.
 *
 * A reader asks the store, then the archives, then the store again before it reports the turn as absent.
 *
 * Variants that must fail, selected with -D:
 * STORE_THEN_ARCHIVES: the store isn't asked a second time.
 * ONE_COPY: the turn is acknowledged once one archive has it.
 * DELETE_BEFORE_UPLOAD: an archive deletes the turn before the store has it.
 */
bool inStore = false;
bool inArchive[2] = false;
bool isAcknowledged = false;

proctype Writer() {
    inArchive[0] = true;
#ifdef ONE_COPY
    isAcknowledged = true;
#endif
    inArchive[1] = true;
    /* If a disk loss has removed a copy meanwhile, the writer writes the turn to the store before acknowledging it. */
    if
    :: atomic { inArchive[0] && inArchive[1] -> isAcknowledged = true }
    :: atomic { else -> inStore = true; isAcknowledged = true }
    fi
}

proctype Archive(byte self) {
    bool isSecondStepDue = false;
    do
#ifdef DELETE_BEFORE_UPLOAD
    :: atomic { inArchive[self] -> inArchive[self] = false; isSecondStepDue = true }
    :: atomic { isSecondStepDue -> inStore = true; isSecondStepDue = false }
#else
    :: atomic { inArchive[self] -> inStore = true; isSecondStepDue = true }
    :: atomic { isSecondStepDue -> inArchive[0] = false; inArchive[1] = false; isSecondStepDue = false }
#endif
    :: break
    od
}

proctype DiskLoss() {
    /* At most one disk is lost before both copies exist again. */
    if
    :: atomic { inArchive[0] -> inArchive[0] = false }
    :: atomic { inArchive[1] -> inArchive[1] = false }
    :: skip
    fi
}

proctype Reader() {
    bool found;
    isAcknowledged;
    found = inStore;
    found = found || inArchive[0];
    found = found || inArchive[1];
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
        run DiskLoss();
        run Reader()
    }
}
