/* The shard journal: a ring of slots written by compare-and-swap on the version that the round before left.
 *
 * Two writers may take over from each other at any moment, freeze between any two steps, and lose the answer of a write
 * that took effect. A request that was given up on may still arrive later. Records are claims of one call that must not
 * be repeated; a claim is sent only by the owner whose claim is known to be in the journal.
 *
 * Variants that must fail, by -D: CREATE_IF_ABSENT (fresh keys instead of versions, with deletion), LOST_IS_FAILURE
 * (a lost answer counts as a failure and the claim is made anew under the next entry), SEND_BEFORE_KNOWN, LEASE_ONLY (the
 * owner relies on a lease that may lapse while it is paused and doesn't claim).
 */

#define ENTRIES 5 /* entries that a run may write */
#define RING 3
#define WRITERS 2
#define NONE 255

byte slotSeq[RING];     /* sequence of the entry in the slot, NONE when absent */
byte slotWriter[RING];
byte slotKind[RING];    /* 0 ownership, 1 claim */
byte slotVersion[RING]; /* grows with each write of the slot */

byte lateSeq = NONE;    /* a request that its writer has given up on and that may still arrive */
byte lateWriter;
byte lateKind;
byte lateVersion;

byte sends = 0;         /* how often the call was sent */
bool claimed = false;   /* ghost: a claim has taken effect in the journal */
byte claims = 0;        /* ghost: how many claims have taken effect */
byte newest = 0;        /* ghost: number of entries that have taken effect */
byte leaseHolder = NONE;

inline apply(seq, writer, kind, version, ok) {
    ok = false;
    if
#ifdef CREATE_IF_ABSENT
    :: slotSeq[seq % RING] == NONE ->
#else
    :: slotVersion[seq % RING] == version ->
#endif
        slotSeq[seq % RING] = seq;
        slotWriter[seq % RING] = writer;
        slotKind[seq % RING] = kind;
        slotVersion[seq % RING] = slotVersion[seq % RING] + 1;
        /* An entry takes effect at the end of the journal or not at all. */
        assert(seq == newest);
        newest = seq + 1;
        if
        :: kind == 1 -> claims++; assert(claims <= 1);
        :: else
        fi;
        ok = true
    :: else
    fi
}

proctype Writer() {
    byte next = 0;       /* the sequence that this writer would write next */
    byte version;
    byte n;
    byte kind;
    bool ok;
    bool owner = false;
    bool sawClaim = false;
    bool mayTry = true;

takeover:
    atomic {
        /* Read the journal: what is its end, and is there a claim? */
        if
        :: newest >= ENTRIES -> goto done
        :: else
        fi;
        next = newest;
        sawClaim = claims > 0;
        kind = 0;
        version = slotVersion[next % RING];
        owner = false;
#ifdef LEASE_ONLY
        leaseHolder = _pid;
#endif
    }
write:
    atomic {
        skip;
#ifdef CREATE_IF_ABSENT
        /* Compaction deletes the key that the ring reuses. */
        if
        :: slotSeq[next % RING] != NONE && slotSeq[next % RING] + RING == next -> slotSeq[next % RING] = NONE
        :: else
        fi;
#endif
    }
    atomic {
        if
        :: apply(next, _pid, kind, version, ok) /* answered */
        :: apply(next, _pid, kind, version, ok); goto undecided /* the answer is lost */
        :: lateSeq == NONE -> /* the request is late; the writer gives up waiting for it */
            lateSeq = next; lateWriter = _pid; lateKind = kind; lateVersion = version;
            goto undecided
        fi
    }
    if
    :: ok -> goto written
    :: else -> goto undecided
    fi;

undecided:
#ifdef LOST_IS_FAILURE
    next = next + 1;
    if
    :: next >= ENTRIES -> goto done
    :: else
    fi;
    atomic { version = slotVersion[next % RING] }
    goto write;
#endif
    atomic {
        /* Read the slot back. */
        if
        :: slotSeq[next % RING] == next && slotWriter[next % RING] == _pid && slotKind[next % RING] == kind -> goto written
        :: slotVersion[next % RING] == version -> goto write
        :: else -> goto lost
        fi
    }

written:
    next = next + 1;
    if
    :: kind == 0 ->
        owner = true;
        if
        :: sawClaim -> goto done /* a claim without an outcome: "may have run", never sent again */
        :: else
        fi;
        if
        :: next >= ENTRIES -> goto done
        :: else
        fi;
#ifdef LEASE_ONLY
        /* The check and the sending are two steps; the writer may be paused between them. */
        if
        :: leaseHolder == _pid
        :: else -> goto done
        fi;
        goto send;
#endif
        kind = 1;
        atomic {
            /* A slot that already holds this entry or a later one belongs to somebody else. */
            if
            :: slotSeq[next % RING] != NONE && slotSeq[next % RING] >= next -> goto lost
            :: else -> version = slotVersion[next % RING]
            fi
        }
#ifdef SEND_BEFORE_KNOWN
        goto send;
#endif
        goto write
    :: kind == 1 -> goto send
    fi;

send:
    sends++;
    assert(sends <= 1);
    goto done;

lost:
    owner = false;
    if
    :: mayTry -> mayTry = false; goto takeover
    :: goto done
    fi;

done:
    skip
}

/* The late request arrives at any time, or never. */
proctype Network() {
    bool ok;
    do
    :: atomic { lateSeq != NONE -> apply(lateSeq, lateWriter, lateKind, lateVersion, ok); lateSeq = NONE }
    :: atomic { lateSeq != NONE -> lateSeq = NONE }
    :: timeout -> break
    od
}

init {
    byte n;
    for (n : 0 .. RING - 1) {
        slotSeq[n] = NONE
    }
    atomic {
        for (n : 1 .. WRITERS) {
            run Writer()
        }
        run Network()
    }
}
