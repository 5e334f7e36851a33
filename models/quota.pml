/* The grants of one partition of a workspace's limit while its home changes. Two instances, First and Second; Second is preferred, and joins
 * the member list, leaves it as planned, crashes and starts again. Each acts by its own copy of the list, which may lag, but not for longer
 * than LIST_AGE: an instance with an older copy grants nothing. Messages may be lost. Time goes on in ticks, of which a window has SPAN.
 *
 * Checked: no span has more than LIMIT grants. A grant's age is kept up to SPAN, at which it has left the window.
 *
 * Variants that must fail, selected with -D:
 * NO_WAIT_AFTER_CHANGE: a home that has joined or has taken over grants at once.
 * NO_WAIT_FOR_OLD_LISTS: a home that has joined waits for the span only.
 * NO_WAIT_AFTER_START: a home that was killed and is listed still grants at once.
 * KEEP_AFTER_TRANSFER: a home that has handed the partition over goes on.
 */
#define SPAN 2
#define LIST_AGE 2
#define LIMIT 1
#define MAX_TICKS 14
#define MAX_CRASHES 1
#define MAX_JOINS 2

byte ticks = 0;
byte crashes = 0;
byte joins = 0;
bool isListed = false; /* Second, in the store. */
byte age[2] = SPAN; /* Since each instance's last grant. */

/* First. */
bool seesSecond = false;
byte listAge = 0;
byte firstWait = 0;
byte firstKnown = SPAN; /* Age of the newest grant that it knows of. */

/* Second. */
bool isRunning = false;
bool mayGrant = false; /* It isn't draining. */
byte secondWait = 0;
byte listedFor = 0; /* Since it was listed, up to the time for which others may have an older list. */
byte secondKnown = SPAN;

/* A transfer on its way; its age is that of the newest grant. */
bool isToSecond = false;
byte toSecond = SPAN;
bool isToFirst = false;
byte toFirst = SPAN;

inline older(value) {
    if
    :: value < SPAN -> value++
    :: else -> skip
    fi
}

inline sooner(value) {
    if
    :: value > 0 -> value--
    :: else -> skip
    fi
}

inline checkGrants() {
    assert(!(age[0] < SPAN && age[1] < SPAN))
}

active proctype Instances() {
    do
    :: atomic { ticks < MAX_TICKS ->
        ticks++;
        older(age[0]); older(age[1]); older(firstKnown); older(secondKnown); older(toSecond); older(toFirst);
        sooner(firstWait); sooner(secondWait);
        if
        :: listAge <= LIST_AGE -> listAge++
        :: else -> skip
        fi;
        if
        :: isListed && listedFor < LIST_AGE + SPAN + 1 -> listedFor++
        :: else -> skip
        fi
    }
    /* First reads the list. */
    :: atomic { listAge > 0 || seesSecond != isListed ->
        if
        :: listAge > LIST_AGE -> firstWait = SPAN + 1 /* Another may have been home meanwhile. */
        :: else -> skip
        fi;
        if
        :: isListed && !seesSecond ->
            if
            :: firstWait == 0 && listAge <= LIST_AGE && joins > 0 -> isToSecond = true; toSecond = firstKnown
            :: true -> skip /* Lost. */
            fi;
            firstKnown = SPAN
        :: !isListed && seesSecond ->
#ifndef NO_WAIT_AFTER_CHANGE
            firstWait = SPAN + 1
#else
            skip
#endif
        :: else -> skip
        fi;
#ifdef KEEP_AFTER_TRANSFER
        seesSecond = false;
#else
        seesSecond = isListed;
#endif
        listAge = 0
    }
    :: atomic { !seesSecond && listAge <= LIST_AGE && firstWait == 0 && firstKnown == SPAN ->
        age[0] = 0;
        firstKnown = 0;
        checkGrants()
    }
    /* What it is told spares it the wait. */
    :: atomic { isToFirst ->
        isToFirst = false;
        if
        :: !isListed && !seesSecond -> firstWait = 0
        :: else -> skip
        fi;
        if
        :: toFirst < firstKnown -> firstKnown = toFirst
        :: else -> skip
        fi
    }
    /* Second joins, or starts again after a crash while it is listed. */
    :: atomic { !isRunning && joins < MAX_JOINS ->
        joins++;
        isRunning = true;
        mayGrant = true;
        secondKnown = SPAN;
        isToSecond = false;
        isToFirst = false;
        if
        :: isListed ->
#ifdef NO_WAIT_AFTER_START
            secondWait = 0
#else
            secondWait = SPAN + 1;
            /* It was listed only lately. */
            if
            :: listedFor < LIST_AGE + SPAN + 1 -> secondWait = LIST_AGE + SPAN + 2
            :: else -> skip
            fi
#endif
        :: !isListed ->
            isListed = true;
            listedFor = 0;
#ifdef NO_WAIT_AFTER_CHANGE
            secondWait = 0
#else
#ifdef NO_WAIT_FOR_OLD_LISTS
            secondWait = SPAN + 1
#else
            secondWait = LIST_AGE + SPAN + 2
#endif
#endif
        fi
    }
    :: atomic { isToSecond && isRunning && mayGrant ->
        isToSecond = false;
        secondWait = 0;
        if
        :: toSecond < secondKnown -> secondKnown = toSecond
        :: else -> skip
        fi
    }
    :: atomic { isRunning && mayGrant && secondWait == 0 && secondKnown == SPAN ->
        age[1] = 0;
        secondKnown = 0;
        checkGrants()
    }
    :: atomic { isRunning && crashes < MAX_CRASHES -> crashes++; isRunning = false; mayGrant = false }
    /* A planned stop: the transfer goes first, the list follows. */
    :: atomic { isRunning && mayGrant ->
        mayGrant = false;
        if
        :: secondWait == 0 -> isToFirst = true; toFirst = secondKnown
        :: true -> skip
        fi
    }
    :: atomic { isRunning && !mayGrant -> isListed = false; isRunning = false }
    :: ticks == MAX_TICKS -> break
    od
}
