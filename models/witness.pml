/* What a holder of a budget uses while a witness notes its limit first, and what the next holder uses, which has the witness fence the
 * first one when it thinks that this one is gone. The first holder may be frozen at any step, which needs no step of its own, and go
 * on; the witness may be killed, so that its notes are gone; notes, their answers and answers of the store may be lost. Units are
 * turns: the budget is BUDGET units, and at most SLACK more may run (the overrun that the users allow).
 *
 * The record in the store has the grants and the term at which the holder has named the witness; term 0 stands for none, so that the
 * whole grant counts as spent. A holder's first limit of a term is sent together with the write that names the term.
 *
 * Variants that must fail, selected with -D:
 * USE_BEFORE_NOTED: a holder uses a higher limit without waiting for the witness.
 * NO_FENCE: the witness tells the limit, but goes on noting higher ones.
 * ANY_TERM: the witness answers for a note of another term than the record's.
 * SMALL_FIRST_LIMIT: the first limit of a term doesn't cover what the holder may use until the store's response.
 * UNKNOWN_TERM_IS_NONE: a holder that reads a term which it has given up goes on as if there were no witness.
 * MISSING_NOTE_IS_ZERO: without a note, nothing counts as spent.
 *
 * That the unreserved part of a limit is left out only once for all holders isn't checked here, since there is only one that is fenced.
 */
#define BUDGET 3
#define SLACK 1
#define MAX_TERMS 4
#define MAX_FAULTS 2 /* Lost messages of each holder, and kills of the witness. */

byte granted = 0; /* In the store: to the holder. */
byte grantedNext = 0; /* In the store: to the next holder, which uses it at once. */
byte term = 0; /* In the store: at which the witness is named. */
bool mayExceed = false; /* In the store. */
byte notedTerm = 0; /* At the witness. */
byte notedLimit = 0;
byte notedUnreserved = 0;
bool isFenced = false;
byte lastTerm = 0;
bool isCurrent = true; /* The record has the revision that the holder knows; only then its writes are carried out. */
byte turnsRun = 0;

inline runTurn() {
    turnsRun++;
    assert(turnsRun <= BUDGET + SLACK)
}

/* What turns may use: the whole grant without a witness, else no more than the limit. */
inline computeUsable() {
    usable = ownGrant;
    if
    :: ownTerm != 0 && limit < usable -> usable = limit
    :: else -> skip
    fi
}

/* Notes the first limit of the next term. */
inline noteFirst() {
    notedTerm = nextTerm;
    notedLimit = nextLimit;
    notedUnreserved = 0;
    isFenced = false
}

/* Takes what the store has for this holder. */
inline adopt() {
    isCurrent = true;
    ownGrant = granted;
    if
    :: term == 0 -> ownTerm = 0
    :: term != 0 && term == nextTerm -> ownTerm = nextTerm; limit = nextLimit
    :: term != 0 && term != nextTerm && ownTerm == 0 ->
#ifdef UNKNOWN_TERM_IS_NONE
        skip
#else
        ownTerm = term;
        limit = 0
#endif
    :: else -> skip
    fi;
    computeUsable()
}

proctype Holder() {
    byte spent = 0;
    byte ownGrant = 0;
    byte ownTerm = 0;
    byte limit = 0;
    byte nextTerm = 0;
    byte nextLimit = 0;
    byte usable = 0;
    byte faults = 0;
    do
    :: atomic { usable > spent -> spent++; runTurn(); computeUsable() }
    /* A new term: the first limit is noted or lost, or arrives after the write. */
    :: atomic { lastTerm < MAX_TERMS ->
        lastTerm++;
        nextTerm = lastTerm;
        nextLimit = spent + 1;
#ifndef SMALL_FIRST_LIMIT
        if
        :: usable > nextLimit -> nextLimit = usable
        :: else -> skip
        fi;
#endif
        if
        :: noteFirst()
        :: faults < MAX_FAULTS -> faults++
        fi
    }
    /* Names the term and takes a unit or two. */
#ifdef SMALL_FIRST_LIMIT
    :: atomic { isCurrent && nextTerm != 0 && nextTerm != term ->
#else
    :: atomic { isCurrent && nextTerm != 0 && nextTerm != term && nextLimit >= usable && nextLimit >= spent ->
#endif
        if
        :: granted + grantedNext < BUDGET -> granted++
        :: granted + grantedNext + 1 < BUDGET -> granted = granted + 2
        :: else -> skip
        fi;
        term = nextTerm;
        if
        :: adopt()
        :: faults < MAX_FAULTS -> faults++; isCurrent = false /* The answer is lost. */
        fi
    }
    /* The witness is lost, and there is no other: the record names none. */
    :: atomic { isCurrent && ownTerm != 0 && notedTerm != ownTerm && term != 0 ->
        term = 0;
        if
        :: adopt()
        :: faults < MAX_FAULTS -> faults++; isCurrent = false
        fi
    }
    :: atomic { !isCurrent -> adopt() } /* A conflict shows the record. */
    /* One turn more than what was used, so that the next turn needn't wait. */
    :: atomic { ownTerm != 0 && limit == spent && limit < BUDGET + SLACK ->
#ifdef USE_BEFORE_NOTED
        limit = spent + 1;
        computeUsable();
#endif
        if
        :: notedTerm == ownTerm && !isFenced ->
            notedLimit = spent + 1;
            notedUnreserved = 1;
            if
            :: limit = spent + 1; computeUsable()
            :: faults < MAX_FAULTS -> faults++ /* The answer is lost. */
            fi
        :: else -> skip
        fi
    }
    :: break
    od
}

/* Closes the holder if it was fenced at the term that the record has, and uses what is free. */
proctype NextHolder() {
    byte fencedTerm = 0; /* 0 if the witness hasn't fenced the holder. */
    byte fencedLimit = 0;
    byte fencedUnreserved = 0;
    do
    :: atomic { term != 0 && fencedTerm != term ->
        if
#ifdef ANY_TERM
        :: notedTerm != 0 ->
#else
        :: notedTerm == term ->
#endif
#ifndef NO_FENCE
            isFenced = true;
#endif
            fencedTerm = term;
            fencedLimit = notedLimit;
            fencedUnreserved = notedUnreserved
        :: else ->
#ifdef MISSING_NOTE_IS_ZERO
            fencedTerm = term;
            fencedLimit = 0;
            fencedUnreserved = 0
#else
            skip
#endif
        fi
    }
    :: atomic { fencedTerm != 0 && fencedTerm == term ->
        if
        :: !mayExceed -> fencedLimit = fencedLimit - fencedUnreserved; mayExceed = (fencedUnreserved > 0)
        :: mayExceed -> skip
        fi;
        if
        :: fencedLimit < granted -> granted = fencedLimit
        :: else -> skip
        fi;
        term = 0;
        fencedTerm = 0;
        isCurrent = false
    }
    :: atomic { granted + grantedNext < BUDGET -> grantedNext++; isCurrent = false; runTurn() }
    :: break
    od
}

proctype Witness() {
    byte kills = 0;
    do
    :: atomic { kills < MAX_FAULTS -> kills++; notedTerm = 0 }
    :: break
    od
}

init {
    atomic {
        run Holder();
        run NextHolder();
        run Witness()
    }
}
