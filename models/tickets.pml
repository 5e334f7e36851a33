/* Change tickets: two operators change the same object concurrently, each through a different control. A control appends
 * its ticket to the configuration journal (here one compare-and-swap on the journal's end). Answers can be lost, the store
 * can become unreachable, and peers send each other the tickets that they have installed. A ticket is accepted once its
 * operator was told so. The model checks that accepted tickets are kept, that refused tickets are not in the store, and
 * that no control goes back to an older ticket.
 *
 * Variants that must fail, selected with -D:
 * NO_ORDER: a control installs each ticket that it receives, also an older one.
 * LOST_IS_REFUSED: a lost answer is reported as a refusal.
 * SPREAD_BEFORE_APPEND: a ticket is sent to a peer before the store holds it.
 */

#define CONTROL_COUNT 3
#define MAX_EXCHANGES 4

byte storeEnd = 0;    /* length of the journal */
byte storeTicket = 0; /* the newest ticket in the journal */
byte installedTicket[CONTROL_COUNT];
byte accepted = 0;    /* ghost variable: the newest ticket that was reported as accepted */
byte refused = 0;     /* ghost variable: bit set of the tickets that were reported as refused */
byte exchanges = 0;   /* bounds the number of exchanges between peers */
bool isStoreUp = true;

inline install(control, ticket) {
    atomic {
        if
#ifdef NO_ORDER
        :: true ->
#else
        :: ticket > installedTicket[control] ->
#endif
            assert(ticket >= installedTicket[control]); /* no control reverts to an older ticket */
            installedTicket[control] = ticket
        :: else
        fi
    }
}

proctype Control(byte self; byte ticket) {
    byte readEnd;
    byte readTicket;
retry:
    atomic { isStoreUp -> readEnd = storeEnd; readTicket = storeTicket }
    install(self, readTicket);
    if
    :: readTicket == ticket -> goto reportAccepted /* an earlier append of this ticket took effect */
    :: readTicket > ticket ->
        atomic { refused = refused | (1 << ticket); assert(storeTicket != ticket) }
        goto done
    :: else
    fi;
#ifdef SPREAD_BEFORE_APPEND
    install((self + 1) % CONTROL_COUNT, ticket);
    if
    :: goto done /* the control crashes before the append */
    :: skip
    fi;
#endif
    atomic {
        if
        :: isStoreUp && storeEnd == readEnd -> storeEnd++; storeTicket = ticket
        :: else -> goto retry
        fi
    }
    if
    :: goto reportAccepted
    :: /* the answer is lost */
#ifdef LOST_IS_REFUSED
        atomic { refused = refused | (1 << ticket); assert(storeTicket != ticket) }
        goto done
#else
        goto retry
#endif
    fi;
reportAccepted:
    install(self, ticket);
    atomic {
        if
        :: ticket > accepted -> accepted = ticket
        :: else
        fi;
        assert(storeTicket >= ticket) /* an accepted ticket is not lost */
    }
done:
    skip
}

proctype PeerExchange() {
    byte from;
    byte to;
    do
    :: exchanges < MAX_EXCHANGES ->
        select(from : 0 .. CONTROL_COUNT - 1);
        select(to : 0 .. CONTROL_COUNT - 1);
        exchanges++;
        byte sentTicket = installedTicket[from];
        install(to, sentTicket);
        /* The store holds each installed ticket or a newer one. */
        assert(sentTicket <= storeTicket)
    :: break
    od
}

proctype Outage() {
    isStoreUp = false;
    isStoreUp = true
}

init {
    atomic {
        run Control(0, 1);
        run Control(1, 2);
        run PeerExchange();
        run Outage()
    }
}
