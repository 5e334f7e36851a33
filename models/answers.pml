/* The path of a call and its answer. A caller sends call n of its program to an entry, which forwards it to the program's
 * owner. Messages may be lost, duplicated or delayed, the owner may be replaced, and a repeatable call may have two
 * attempts at endpoints. The model checks that the caller receives the answer to its own call only, and that a call
 * reported as "not run" has not reached an endpoint.
 *
 * Variants that must fail, selected with -D:
 * ACCEPT_ANY_ANSWER: an entry matches any answer on the link with the request that it waits for.
 * ALWAYS_NOT_RUN: a call that is given up is always reported as "not run".
 */

#define CALL_COUNT 2

chan toOwner = [2] of { byte }; /* number of the call */
chan toEntry = [2] of { byte }; /* number of the call that the answer belongs to */

byte committed = 0;                   /* number of the last call with an outcome; durable state of the owner */
bool reachedEndpoint[CALL_COUNT + 1]; /* ghost variable: the call has reached an endpoint */

proctype Owner() {
    byte n;
end:
    do
    :: toOwner ? n ->
        if
        :: n <= committed -> /* a duplicate gets the stored answer */
            if
            :: nfull(toEntry) -> toEntry ! n
            :: skip
            fi
        :: n == committed + 1 ->
            reachedEndpoint[n] = true;
            if
            :: committed = n; /* the outcome is committed */
                if
                :: nfull(toEntry) -> toEntry ! n
                :: skip /* the answer is lost */
                fi
            :: skip /* the owner crashes first; the next owner runs a repeatable call again */
            fi
        :: else -> skip /* out of order: rejected */
        fi
    od
}

/* The caller and its entry: sends the calls in order, and retries each until it has an answer or is given up. */
proctype Caller() {
    byte n = 1;
    byte received;
    byte attempts;
    bool wasForwarded;
    do
    :: n > CALL_COUNT -> break
    :: else ->
        attempts = 0;
        wasForwarded = false;
        do
        :: attempts < 3 ->
            attempts++;
            if
            :: nfull(toOwner) -> atomic { toOwner ! n; wasForwarded = true }
            :: skip /* the owner is unknown */
            fi;
            if
            :: toEntry ? received ->
#ifdef ACCEPT_ANY_ANSWER
                assert(received == n);
                n++;
                break
#else
                if
                :: received == n -> n++; break
                :: else -> skip /* an answer to another request is ignored */
                fi
#endif
            :: skip /* timeout or broken link */
            fi
        :: attempts >= 3 ->
            /* The call is given up. */
#ifdef ALWAYS_NOT_RUN
            assert(!reachedEndpoint[n]);
#else
            if
            :: !wasForwarded -> assert(!reachedEndpoint[n]) /* reported as not run */
            :: else -> skip                 /* reported as may have run */
            fi;
#endif
            goto stopped
        od
    od;
stopped:
    skip
}

init {
    atomic {
        run Owner();
        run Caller()
    }
}
