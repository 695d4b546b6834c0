/* mutants: BLIND_WRITE EARLY_COMPLETED REFRESHED_LEASE LOST_REVERT UNNAMED_STATUS */
/* A rollout order of one service, its status in the store, two processes that both take themselves
 * for the decider, and a gateway.
 *
 * The store's object has an order number, a status with the number of the order it belongs to, and a
 * revision. Its order may be replaced. A decider reads the object, gathers evidence, which may differ
 * between the two, and ends the order by a write that is conditional on the revision it has read. The
 * write takes effect or not, and its answer may be lost. Directives carry the order and the phase; a
 * gateway receives them in any order, or not at all. Time passes for leases only: a lease ends after
 * a tick, or while the gateway is paused.
 *
 * Checked: an order ends once, so that the store never changes from one final status of an order to
 * another; a gateway sends to the new version without limit only if the store has completed that
 * order; it sends canary requests only under a lease that has not expired, and not after it has
 * learned of `reverted` for the order.
 *
 * Mutants: BLIND_WRITE writes the status whatever the revision; EARLY_COMPLETED issues `completed`
 * before the store has it; REFRESHED_LEASE counts the lease from the receipt of a directive instead
 * of its issue; LOST_REVERT lets a later directive replace `reverted`; UNNAMED_STATUS takes a status
 * for the present order's without comparing the order it names.
 */

#define MAX_ORDERS 2
#define RUNNING 0
#define COMPLETED 2
#define REVERTED 3

/* The store. */
byte order = 1, status = RUNNING, status_order = 0, revision = 1;

/* The deciders: the object as read, and the decision; RUNNING before it. */
byte read_order[2], read_status[2], read_revision[2], decision[2];

/* A directive on its way: its order, phase, and whether its lease has expired. */
bool has_directive = false, directive_expired;
byte directive_order, directive_phase;

/* The gateway: the object as read, and what directives have stated of that order. */
byte seen_order = 1, seen_status = RUNNING, directed = RUNNING;
bool has_lease = false, lease_expired = false, was_told_reverted = false;

byte before_order, before_status;

inline stored_status(result) {
    result = RUNNING;
    if
#ifdef MUTANT_UNNAMED_STATUS
    :: status != RUNNING -> result = status
#else
    :: status != RUNNING && status_order == order -> result = status
#endif
    :: else
    fi
}

inline replace_order() {
    order++;
    revision++
}

inline read_object(self) {
    if
    :: read_order[self] != order -> decision[self] = RUNNING
    :: else
    fi;
    read_order[self] = order;
    read_revision[self] = revision;
    stored_status(read_status[self]);
    if
    /* The loser follows the store. */
    :: read_status[self] != RUNNING -> decision[self] = read_status[self]
    :: else
    fi
}

/* The decision to revert is kept; one to complete may still be withdrawn. */
inline decide(self) {
    if
    :: decision[self] == RUNNING -> decision[self] = COMPLETED
    :: decision[self] != REVERTED -> decision[self] = REVERTED
    fi
}

/* The decider does not learn whether the write had an effect; it reads the object again. */
inline write_status(self) {
    if
#ifdef MUTANT_BLIND_WRITE
    :: order == read_order[self] ->
#else
    :: revision == read_revision[self] ->
#endif
        status = decision[self];
        status_order = read_order[self];
        revision++
    :: else
    fi
}

inline issue(self) {
    has_directive = true;
    directive_expired = false;
    directive_order = read_order[self];
    if
    :: read_status[self] != RUNNING -> directive_phase = read_status[self]
    :: read_status[self] == RUNNING && decision[self] == REVERTED -> directive_phase = REVERTED
#ifdef MUTANT_EARLY_COMPLETED
    :: read_status[self] == RUNNING && decision[self] == COMPLETED -> directive_phase = COMPLETED
#else
    :: read_status[self] == RUNNING && decision[self] == COMPLETED -> directive_phase = RUNNING
#endif
    :: read_status[self] == RUNNING && decision[self] == RUNNING -> directive_phase = RUNNING
    fi
}

inline receive() {
    has_directive = false;
    if
    :: directive_order == seen_order ->
        if
        :: directive_phase == REVERTED -> was_told_reverted = true
        :: else
        fi;
        if
#ifdef MUTANT_LOST_REVERT
        :: true -> directed = directive_phase
#else
        :: directive_phase > directed -> directed = directive_phase
        :: else
#endif
        fi;
        if
#ifdef MUTANT_REFRESHED_LEASE
        :: true -> has_lease = true; lease_expired = directive_expired
#else
        :: !directive_expired -> has_lease = true; lease_expired = false
        :: else
#endif
        fi
    :: else
    fi
}

/* The gateway reads the object. A new order begins without directives. */
inline observe() {
    if
    :: seen_order != order -> directed = RUNNING; has_lease = false; lease_expired = false;
        was_told_reverted = false
    :: else
    fi;
    seen_order = order;
    stored_status(seen_status)
}

/* The gateway sends a request; it does not see lease_expired but as its own clock states it. */
inline send() {
    if
    /* Without limit. */
    :: seen_status == COMPLETED || seen_status == RUNNING && directed == COMPLETED ->
        assert(seen_order != order || status_order == order && status == COMPLETED)
    /* A canary request. */
    :: seen_status == RUNNING && directed == RUNNING && has_lease ->
        assert(!lease_expired && !was_told_reverted)
    :: else
    fi
}

/* Time passes: all leases that were issued before end, also while the gateway is paused. */
inline tick() {
    directive_expired = true;
#ifndef MUTANT_REFRESHED_LEASE
    has_lease = false;
#endif
    lease_expired = true
}

init {
    read_object(0);
    read_object(1);
    do
    :: atomic {
        before_order = 0; before_status = RUNNING;
        if
        :: status != RUNNING && status_order == order -> before_order = order; before_status = status
        :: else
        fi;
        if
        :: order < MAX_ORDERS -> replace_order()
        :: true -> read_object(0)
        :: true -> read_object(1)
        :: decision[0] != REVERTED && read_status[0] == RUNNING -> decide(0)
        :: decision[1] != REVERTED && read_status[1] == RUNNING -> decide(1)
        :: decision[0] != RUNNING && read_status[0] == RUNNING -> write_status(0)
        :: decision[1] != RUNNING && read_status[1] == RUNNING -> write_status(1)
        :: true -> issue(0)
        :: true -> issue(1)
        :: has_directive -> receive()
        :: has_directive -> has_directive = false
        :: true -> observe()
        :: true -> send()
        :: true -> tick()
        fi;
        /* An order ends once. */
        assert(before_order != order || before_status == RUNNING ||
               (status_order == order && status == before_status));
        before_order = 0; before_status = RUNNING
    }
    od
}
