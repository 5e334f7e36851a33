/* The shard journal: a ring of slots, each written by compare-and-swap on the version that the previous round left.
 *
 * Two writers may take over from each other at any time, pause between any two steps, and lose the answer of a write that
 * took effect. A request that timed out may still arrive later. The records are ownership entries and claims of one call
 * that must not be repeated; the call is sent only by the owner whose claim is confirmed to be in the journal. The model
 * checks that entries are appended in order, and that the call is claimed and sent at most once.
 *
 * Variants that must fail, selected with -D:
 * CREATE_IF_ABSENT: a write requires that the key is absent instead of comparing versions, and compaction deletes keys.
 * LOST_IS_FAILURE: a lost answer counts as a failure, and the claim is written again as the next entry.
 * SEND_BEFORE_CONFIRMED: the call is sent before its claim is confirmed to be in the journal.
 * LEASE_ONLY: the owner writes no claim and relies on a lease that may expire while it is paused.
 */

#define MAX_ENTRIES 5 /* bounds the number of entries in a run */
#define RING_SIZE 3
#define WRITER_COUNT 2
#define NONE 255

byte slotSeq[RING_SIZE];     /* sequence of the entry in the slot, NONE when absent */
byte slotWriter[RING_SIZE];
byte slotKind[RING_SIZE];    /* 0 ownership, 1 claim */
byte slotVersion[RING_SIZE]; /* grows with each write of the slot */

byte delayedSeq = NONE; /* sequence of a request that timed out at its writer and may still arrive, NONE if there is none */
byte delayedWriter;
byte delayedKind;
byte delayedVersion;

byte sends = 0;       /* number of times the call was sent */
bool claimed = false; /* ghost variable: a claim has taken effect in the journal */
byte claims = 0;      /* ghost variable: number of claims that have taken effect */
byte journalEnd = 0;  /* ghost variable: number of entries that have taken effect */
byte leaseHolder = NONE;

inline applyWrite(seq, writer, kind, version, ok) {
    ok = false;
    if
#ifdef CREATE_IF_ABSENT
    :: slotSeq[seq % RING_SIZE] == NONE ->
#else
    :: slotVersion[seq % RING_SIZE] == version ->
#endif
        slotSeq[seq % RING_SIZE] = seq;
        slotWriter[seq % RING_SIZE] = writer;
        slotKind[seq % RING_SIZE] = kind;
        slotVersion[seq % RING_SIZE] = slotVersion[seq % RING_SIZE] + 1;
        /* An entry takes effect only at the end of the journal. */
        assert(seq == journalEnd);
        journalEnd = seq + 1;
        if
        :: kind == 1 -> claims++; assert(claims <= 1);
        :: else
        fi;
        ok = true
    :: else
    fi
}

proctype Writer() {
    byte nextSeq = 0; /* the sequence that this writer writes next */
    byte version;
    byte n;
    byte kind;
    bool ok;
    bool isOwner = false;
    bool sawClaim = false;
    bool mayTakeOverAgain = true;

takeover:
    atomic {
        /* Reads the end of the journal, and whether it holds a claim. */
        if
        :: journalEnd >= MAX_ENTRIES -> goto finished
        :: else
        fi;
        nextSeq = journalEnd;
        sawClaim = claims > 0;
        kind = 0;
        version = slotVersion[nextSeq % RING_SIZE];
        isOwner = false;
#ifdef LEASE_ONLY
        leaseHolder = _pid;
#endif
    }
write:
    atomic {
        skip;
#ifdef CREATE_IF_ABSENT
        /* Compaction deletes the key that the ring is about to reuse. */
        if
        :: slotSeq[nextSeq % RING_SIZE] != NONE && slotSeq[nextSeq % RING_SIZE] + RING_SIZE == nextSeq ->
            slotSeq[nextSeq % RING_SIZE] = NONE
        :: else
        fi;
#endif
    }
    atomic {
        if
        :: applyWrite(nextSeq, _pid, kind, version, ok) /* answered */
        :: applyWrite(nextSeq, _pid, kind, version, ok); goto unresolved /* the answer is lost */
        :: delayedSeq == NONE -> /* the request is delayed and times out at the writer */
            delayedSeq = nextSeq; delayedWriter = _pid; delayedKind = kind; delayedVersion = version;
            goto unresolved
        fi
    }
    if
    :: ok -> goto written
    :: else -> goto unresolved
    fi;

unresolved:
#ifdef LOST_IS_FAILURE
    nextSeq = nextSeq + 1;
    if
    :: nextSeq >= MAX_ENTRIES -> goto finished
    :: else
    fi;
    atomic { version = slotVersion[nextSeq % RING_SIZE] }
    goto write;
#endif
    atomic {
        /* Reads the slot back to learn whether the write took effect. */
        if
        :: slotSeq[nextSeq % RING_SIZE] == nextSeq && slotWriter[nextSeq % RING_SIZE] == _pid && slotKind[nextSeq % RING_SIZE] == kind ->
            goto written
        :: slotVersion[nextSeq % RING_SIZE] == version -> goto write
        :: else -> goto lostOwnership
        fi
    }

written:
    nextSeq = nextSeq + 1;
    if
    :: kind == 0 ->
        isOwner = true;
        if
        :: sawClaim -> goto finished /* a claim without an outcome: the call may have run and is never sent again */
        :: else
        fi;
        if
        :: nextSeq >= MAX_ENTRIES -> goto finished
        :: else
        fi;
#ifdef LEASE_ONLY
        /* Checking the lease and sending are two steps, and the writer may pause between them. */
        if
        :: leaseHolder == _pid
        :: else -> goto finished
        fi;
        goto send;
#endif
        kind = 1;
        atomic {
            /* If the slot already holds this entry or a later one, another writer has taken over. */
            if
            :: slotSeq[nextSeq % RING_SIZE] != NONE && slotSeq[nextSeq % RING_SIZE] >= nextSeq -> goto lostOwnership
            :: else -> version = slotVersion[nextSeq % RING_SIZE]
            fi
        }
#ifdef SEND_BEFORE_CONFIRMED
        goto send;
#endif
        goto write
    :: kind == 1 -> goto send
    fi;

send:
    sends++;
    assert(sends <= 1);
    goto finished;

lostOwnership:
    isOwner = false;
    if
    :: mayTakeOverAgain -> mayTakeOverAgain = false; goto takeover
    :: goto finished
    fi;

finished:
    skip
}

/* Delivers the delayed request at any time, or drops it. */
proctype Network() {
    bool ok;
    do
    :: atomic { delayedSeq != NONE ->
        applyWrite(delayedSeq, delayedWriter, delayedKind, delayedVersion, ok);
        delayedSeq = NONE
    }
    :: atomic { delayedSeq != NONE -> delayedSeq = NONE }
    :: timeout -> break
    od
}

init {
    byte n;
    for (n : 0 .. RING_SIZE - 1) {
        slotSeq[n] = NONE
    }
    atomic {
        for (n : 1 .. WRITER_COUNT) {
            run Writer()
        }
        run Network()
    }
}
