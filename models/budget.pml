/* A program's budget over two homes, a store that may be away, answers that are lost or take effect later, and homes
 * that restart without memory. Units are turns: a turn spends one unit, the budget is BUDGET units, and one turn more
 * may be handed out at most (the slack that the users allow).
 *
 * As built, a home lets a turn run out of what the store has granted to this life of it, or, if it is the program's first
 * home and knows of no record, out of a loan of half of the budget while the store is away. Whoever else creates the
 * record leaves the loan alone, less one turn. A life that has just begun doesn't lend. Variants that break it:
 * CREDIT: every home lets the first turn that it sees of a program run while the store is away, and asks later.
 * GRANT_KEPT: a restarted home goes on with the grant of its former life, of which it doesn't know what is spent.
 * LOST_IS_REFUSED: a grant whose answer is lost is taken as not made, and asked for again on top.
 * ALL_LEND: the second home lends as well.
 * LEND_AGAIN: a restarted home lends as its former life may have done.
 * NO_RESERVE: nothing is left alone for a loan that nobody has told of.
 */
#define BUDGET 4
#define SLACK 1
#define LOAN 2
#define CHANGES 2 /* Restarts of each home, and outages. */

byte granted = 0; /* In the store: the sum over all holders. */
byte reserve = 0; /* In the store: left alone for a loan. */
bool exists = false; /* The record. */
byte handed = 0; /* Turns that have run. */
bool isAway = false;

/* The first home knows what it has lent, so it needs no reserve; what it has lent counts as granted first. */
inline touchRecord() {
    if
    :: mayLend -> granted = granted + owed; owed = 0; loanLeft = 0; reserve = 0
    :: !mayLend && !exists ->
#ifdef NO_RESERVE
        skip
#else
        reserve = LOAN - SLACK
#endif
    :: else -> skip
    fi;
    exists = true;
    knows = true
}

proctype Home(bool isFirst) {
    byte has = 0; /* What this life may still hand out of grants. */
    byte loanLeft = 0; /* And of its loan. */
    byte owed = 0; /* Handed out of the loan and not told to the store. */
    byte restarts = 0;
    byte lost = 0;
    bool knows = false; /* Of a record. */
    bool hasLent = false;
    bool hasSeen = false;
    bool mayLend = isFirst;
#ifdef ALL_LEND
    mayLend = true;
#endif
    do
    :: atomic { has > 0 -> has--; handed++; assert(handed <= BUDGET + SLACK) }
    :: atomic { loanLeft > 0 -> loanLeft--; owed++; handed++; assert(handed <= BUDGET + SLACK) }
    :: atomic { isAway && mayLend && !knows && !hasLent -> hasLent = true; loanLeft = LOAN }
    :: atomic { !isAway ->
        touchRecord();
        if
        :: granted + reserve < BUDGET -> granted++; has++; hasSeen = true
        :: else -> skip
        fi
    }
    /* The store has made the grant, but its answer is lost; reading the record shows it. */
    :: atomic { !isAway && lost < CHANGES ->
        touchRecord();
        lost++;
        if
        :: granted + reserve < BUDGET ->
            granted++;
#ifdef LOST_IS_REFUSED
            granted--; /* The home writes its own idea of the record again. */
            has++;
#endif
            has++
        :: else -> skip
        fi
    }
#ifdef CREDIT
    :: atomic { isAway && !hasSeen && has == 0 -> hasSeen = true; handed++; assert(handed <= BUDGET + SLACK) }
#endif
    :: atomic { restarts < CHANGES ->
        restarts++;
        hasSeen = false;
        hasLent = false;
        knows = false;
        loanLeft = 0;
        owed = 0;
#ifndef LEND_AGAIN
        mayLend = false;
#endif
#ifdef GRANT_KEPT
        has = granted; /* It finds its grant in the store and takes all of it for unspent. */
#else
        has = 0
#endif
    }
    :: break
    od
}

proctype Store() {
    byte outages = 0;
    do
    :: atomic { !isAway && outages < CHANGES -> isAway = true; outages++ }
    :: isAway -> isAway = false
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
