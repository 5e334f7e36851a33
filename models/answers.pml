/* The answer path: a caller sends call n of its program to an entry, which forwards it to the program's owner. Messages
 * may be lost, doubled and late; the owner may be replaced; a repeatable call may have two attempts at endpoints. The
 * caller gets exactly the answer to its own call, and "not run" is true.
 *
 * Variants that must fail, by -D: BY_ARRIVAL (an entry takes any answer on the link for the one that it waits for),
 * ALWAYS_NOT_RUN (giving up is always reported as "not run").
 */

#define CALLS 2

chan toOwner = [2] of { byte };        /* number of the call */
chan toEntry = [2] of { byte };        /* number of the call that the answer belongs to */

byte done = 0;                         /* calls with an outcome; the owner's durable state */
bool runs[CALLS + 1];                  /* ghost: the call has reached an endpoint */

proctype Owner() {
    byte n;
end:
    do
    :: toOwner ? n ->
        if
        :: n <= done -> /* a repeat gets the stored answer */
            if
            :: nfull(toEntry) -> toEntry ! n
            :: skip
            fi
        :: n == done + 1 ->
            runs[n] = true;
            if
            :: done = n; /* the outcome is committed */
                if
                :: nfull(toEntry) -> toEntry ! n
                :: skip /* the answer is lost */
                fi
            :: skip /* the owner dies first; the next one runs a repeatable call again */
            fi
        :: else -> skip /* out of order: refused */
        fi
    od
}

/* The caller and the entry it speaks to: calls in order, each repeated until it has an answer or is given up. */
proctype Caller() {
    byte n = 1;
    byte got;
    byte tries;
    bool wasSent;
    do
    :: n > CALLS -> break
    :: else ->
        tries = 0;
        wasSent = false;
        do
        :: tries < 3 ->
            tries++;
            if
            :: nfull(toOwner) -> atomic { toOwner ! n; wasSent = true }
            :: skip /* the owner can't be found */
            fi;
            if
            :: toEntry ? got ->
#ifdef BY_ARRIVAL
                assert(got == n);
                n++;
                break
#else
                if
                :: got == n -> n++; break
                :: else -> skip /* an answer to another request is passed over */
                fi
#endif
            :: skip /* nothing comes in time, or the link breaks */
            fi
        :: tries >= 3 ->
            /* Given up. */
#ifdef ALWAYS_NOT_RUN
            assert(!runs[n]);
#else
            if
            :: !wasSent -> assert(!runs[n]) /* reported as not run */
            :: else -> skip                 /* reported as may have run */
            fi;
#endif
            goto over
        od
    od;
over:
    skip
}

init {
    atomic {
        run Owner();
        run Caller()
    }
}
