/* The budget of a program that two homes draw on. The store may be unreachable, its answers may be lost although the
 * write took effect, and a restarted home has lost its memory. Units are turns: a turn spends one unit, the budget is
 * BUDGET units, and at most one turn more may run (the overrun that the users allow).
 *
 * A home runs a turn out of what the store has granted to its current incarnation. While the store is unreachable, the
 * preferred home may instead run turns out of a provisional grant of half the budget, unless it knows of a record in the
 * store. Before that it stores a mark, which outlasts its restarts. When another home creates the record, it reserves the
 * provisional grant less one turn. A restarted home makes no provisional grant, and reserves nothing if there is no mark.
 *
 * Variants that must fail, selected with -D:
 * FREE_FIRST_TURN: while the store is unreachable, each home runs the first turn that it sees of a program without a grant.
 * KEEP_GRANT_ON_RESTART: a restarted home uses the grant of its previous incarnation without knowing how much is spent.
 * LOST_IS_REFUSED: a grant whose answer is lost counts as not made, and is requested again in addition.
 * GRANT_AT_BOTH_HOMES: the second home makes a provisional grant as well.
 * GRANT_AFTER_RESTART: a restarted home makes a provisional grant although its previous incarnation may have made one.
 * GRANT_BEFORE_MARK: the mark is stored after the provisional grant.
 * NO_RESERVE: nothing is reserved for a provisional grant that the store has not been told of.
 */
#define BUDGET 4
#define SLACK 1
#define PROVISIONAL_GRANT 2
#define MAX_FAULTS 2 /* Each home's restarts and lost answers, and the store's outages. */

byte granted = 0; /* In the store: the sum of all grants. */
byte reserve = 0; /* In the store: reserved for a provisional grant. */
bool recordExists = false; /* The program has a record in the store. */
byte turnsRun = 0;
bool isStoreDown = false;
bool isMarked = false; /* On the archives: the first home may have made a provisional grant. */

/* The home that made the provisional grant knows what it has spent of it, so it needs no reserve: the unreported turns
 * count as granted first. */
inline writeRecord() {
    if
    :: mayGrantProvisionally -> granted = granted + unreported; unreported = 0; provisionalLeft = 0; reserve = 0
    :: !mayGrantProvisionally && !recordExists && isFirst && !isMarked -> skip
    :: !mayGrantProvisionally && !recordExists && (!isFirst || isMarked) ->
#ifdef NO_RESERVE
        skip
#else
        reserve = PROVISIONAL_GRANT - SLACK
#endif
    :: else -> skip
    fi;
    recordExists = true;
    knowsRecord = true
}

proctype Home(bool isFirst) {
    byte grantLeft = 0; /* What this incarnation may still spend of its grants. */
    byte provisionalLeft = 0; /* And of its provisional grant. */
    byte unreported = 0; /* Spent of the provisional grant and not yet written to the store. */
    byte restarts = 0;
    byte lostAnswers = 0;
    bool knowsRecord = false; /* Whether this incarnation has seen the program's record. */
    bool hasGrantedProvisionally = false;
    bool hasSeenProgram = false;
    bool mayGrantProvisionally = isFirst;
#ifdef GRANT_AT_BOTH_HOMES
    mayGrantProvisionally = true;
#endif
    do
    :: atomic { grantLeft > 0 -> grantLeft--; turnsRun++; assert(turnsRun <= BUDGET + SLACK) }
    :: atomic { provisionalLeft > 0 -> provisionalLeft--; unreported++; turnsRun++; assert(turnsRun <= BUDGET + SLACK) }
    :: atomic { isStoreDown && mayGrantProvisionally && !isMarked -> isMarked = true }
#ifdef GRANT_BEFORE_MARK
    :: atomic { isStoreDown && mayGrantProvisionally && !knowsRecord && !hasGrantedProvisionally ->
#else
    :: atomic { isStoreDown && mayGrantProvisionally && isMarked && !knowsRecord && !hasGrantedProvisionally ->
#endif
        hasGrantedProvisionally = true;
        provisionalLeft = PROVISIONAL_GRANT
    }
    :: atomic { !isStoreDown ->
        writeRecord();
        if
        :: granted + reserve < BUDGET -> granted++; grantLeft++; hasSeenProgram = true
        :: else -> skip
        fi
    }
    /* The store makes the grant, but its answer is lost. Reading the record back shows the grant. */
    :: atomic { !isStoreDown && lostAnswers < MAX_FAULTS ->
        writeRecord();
        lostAnswers++;
        if
        :: granted + reserve < BUDGET ->
            granted++;
#ifdef LOST_IS_REFUSED
            granted--; /* The home overwrites the record with the state that it assumes. */
            grantLeft++;
#endif
            grantLeft++
        :: else -> skip
        fi
    }
#ifdef FREE_FIRST_TURN
    :: atomic { isStoreDown && !hasSeenProgram && grantLeft == 0 ->
        hasSeenProgram = true;
        turnsRun++;
        assert(turnsRun <= BUDGET + SLACK)
    }
#endif
    :: atomic { restarts < MAX_FAULTS ->
        restarts++;
        hasSeenProgram = false;
        hasGrantedProvisionally = false;
        knowsRecord = false;
        provisionalLeft = 0;
        unreported = 0;
#ifndef GRANT_AFTER_RESTART
        mayGrantProvisionally = false;
#endif
#ifdef KEEP_GRANT_ON_RESTART
        grantLeft = granted; /* The home reads its grant from the store and treats all of it as unspent. */
#else
        grantLeft = 0
#endif
    }
    :: break
    od
}

proctype Store() {
    byte outages = 0;
    do
    :: atomic { !isStoreDown && outages < MAX_FAULTS -> isStoreDown = true; outages++ }
    :: isStoreDown -> isStoreDown = false
    :: break
    od
}

init {
    atomic {
        run Home(true);
        run Home(false);
        run Store()
    }
}
