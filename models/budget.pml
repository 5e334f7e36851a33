/* A program's budget over two homes, a store that may be away, answers that are lost or take effect later, and homes
 * that restart without memory. Units are turns: a turn spends one unit, the budget is BUDGET units, and one turn more
 * may be handed out at most (the slack that the users allow).
 *
 * As built, a home lets a turn run only out of what the store has granted to this life of it. Variants that break it:
 * CREDIT: a home lets the first turn that it sees of a program run while the store is away, and asks later.
 * GRANT_KEPT: a restarted home goes on with the grant of its former life, of which it doesn't know what is spent.
 * LOST_IS_REFUSED: a grant whose answer is lost is taken as not made, and asked for again on top.
 */
#define HOMES 2
#define BUDGET 3
#define SLACK 1
#define CHANGES 2 /* Restarts of each home, and outages. */

byte granted = 0; /* In the store: the sum over all holders. */
byte handed = 0; /* Turns that have run. */
bool isAway = false;

proctype Home() {
    byte has = 0; /* What this life may still hand out. */
    byte restarts = 0;
    byte lost = 0;
    bool hasSeen = false;
    do
    :: atomic { has > 0 -> has--; handed++; assert(handed <= BUDGET + SLACK) }
    :: atomic { !isAway && granted < BUDGET -> granted++; has++; hasSeen = true }
    /* The store has made the grant, but its answer is lost; reading the record shows it. */
    :: atomic { !isAway && granted < BUDGET && lost < CHANGES ->
        granted++;
        lost++;
#ifdef LOST_IS_REFUSED
        granted--; /* The home writes its own idea of the record again. */
        has++;
#endif
        has++
    }
#ifdef CREDIT
    :: atomic { isAway && !hasSeen && has == 0 -> hasSeen = true; handed++; assert(handed <= BUDGET + SLACK) }
#endif
    :: atomic { restarts < CHANGES ->
        restarts++;
        hasSeen = false;
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
    byte n = 0;
    atomic {
        do
        :: n < HOMES -> run Home(); n++
        :: else -> break
        od;
        run Store()
    }
}
