/* Change tickets: two operators race over one object, each through a control of its own. A control appends its ticket to
 * the configuration journal (here: one compare-and-swap on the journal's end), answers can be lost, the store can go
 * away, and peers tell each other what is in force. An accepted ticket is one that its operator was told is accepted.
 *
 * Variants that must fail, by -D: NO_ORDER (a process installs whatever it hears last), LOST_IS_REFUSED (a lost answer is
 * reported as a refusal), PEER_BEFORE_STORE (a ticket is spread before the store holds it).
 */

#define CONTROLS 3
#define MAX 4

byte storeEnd = 0;        /* length of the journal */
byte storeTicket = 0;     /* the newest ticket in the journal */
byte inForce[CONTROLS];
byte accepted = 0;        /* ghost: the newest ticket an operator was told is accepted */
byte refused = 0;         /* ghost: bit set of tickets that were reported as refused */
byte changes = 0;         /* bounds the number of spreadings */
bool storeUp = true;

inline install(control, ticket) {
    atomic {
        if
#ifdef NO_ORDER
        :: true ->
#else
        :: ticket > inForce[control] ->
#endif
            assert(ticket >= inForce[control]); /* nothing reverts */
            inForce[control] = ticket
        :: else
        fi
    }
}

proctype Control(byte me; byte ticket) {
    byte end;
    byte known;
again:
    atomic { storeUp -> end = storeEnd; known = storeTicket }
    install(me, known);
    if
    :: known == ticket -> goto accept /* an earlier try of this very ticket took effect */
    :: known > ticket ->
        atomic { refused = refused | (1 << ticket); assert(storeTicket != ticket) }
        goto done
    :: else
    fi;
#ifdef PEER_BEFORE_STORE
    install((me + 1) % CONTROLS, ticket);
    if
    :: goto done /* the control dies before the append */
    :: skip
    fi;
#endif
    atomic {
        if
        :: storeUp && storeEnd == end -> storeEnd++; storeTicket = ticket
        :: else -> goto again
        fi
    }
    if
    :: goto accept
    :: /* the answer is lost */
#ifdef LOST_IS_REFUSED
        atomic { refused = refused | (1 << ticket); assert(storeTicket != ticket) }
        goto done
#else
        goto again
#endif
    fi;
accept:
    install(me, ticket);
    atomic {
        if
        :: ticket > accepted -> accepted = ticket
        :: else
        fi;
        assert(storeTicket >= ticket) /* accepted means kept */
    }
done:
    skip
}

proctype Peers() {
    byte from;
    byte to;
    do
    :: changes < MAX ->
        select(from : 0 .. CONTROLS - 1);
        select(to : 0 .. CONTROLS - 1);
        changes++;
        byte heard = inForce[from];
        install(to, heard);
        /* What is in force anywhere is in the store. */
        assert(heard <= storeTicket)
    :: break
    od
}

proctype Outage() {
    storeUp = false;
    storeUp = true
}

init {
    atomic {
        run Control(0, 1);
        run Control(1, 2);
        run Peers();
        run Outage()
    }
}
