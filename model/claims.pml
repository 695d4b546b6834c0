/* mutants: FILES NO_FLOOR LATE_SEND EARLY_ANSWER */
/* Claims of one idempotency key: two requests, two owners of the key's shard, and the store.
 *
 * The store's head object has a version, the key's record (the claimer, and whether the claim was
 * released) and the floor. An owner evaluates a call on the version that it has read and writes
 * conditionally on that version. Any write may be rejected by a conflict, lose its reply before or
 * after its effect, or take effect late. Owners crash and lose their memory. A request's router may
 * crash, abort the request or release the claim at any moment. Either owner may raise the floor
 * above the key's date at any moment, whatever the clock of the other one says, and removes the
 * record with it. Copies of old calls may arrive at any time.
 *
 * Checked: the key is executed at most once, and a request with the outcome "not run" never sends.
 *
 * Mutants: FILES keeps claims in files that are created if absent and removed later; NO_FLOOR
 * removes a record without rejecting its key from then on; LATE_SEND sends on a claim that arrives
 * after the request was aborted; EARLY_ANSWER replies before the write is known to have taken
 * effect.
 */

#ifdef MUTANT_FILES
#define MAX_VERSION 2
#else
#define MAX_VERSION 5
#endif
#define NO_REQUEST 2

/* The store's head object. */
byte version = 0;
byte claimer = NO_REQUEST;
bool released = false;
bool expired = false; /* the floor is above the key's date */

#ifdef MUTANT_FILES
bool claim_file[MAX_VERSION];
#define MAY_WRITE(expected) (expected < MAX_VERSION && !claim_file[expected])
#define APPLY_WRITE(expected) \
    claim_file[expected] = true; version = (expected == version -> version + 1 : version)
#else
#define MAY_WRITE(expected) (expected < MAX_VERSION && version == expected)
#define APPLY_WRITE(expected) version++
#endif

/* A write that is still in transit. */
bool write_delayed = false;
byte delayed_expected = 0;
byte delayed_claimer = NO_REQUEST;
bool delayed_released = false;

/* Replies that each request received, and whether it has returned its claim. */
bool replied_claimed[2];
bool replied_rejected[2];
bool claim_returned[2];

byte executions = 0;

inline send() {
    executions++;
    assert(executions <= 1);
    assert(!not_run);
    sent = true
}

proctype request(byte self) {
    bool sent = false;
    bool not_run = false;
end:
    do
    :: atomic { replied_claimed[self] && !sent && !not_run -> send() } /* within the claim's validity */
    :: atomic { /* aborted, claim released */
        !sent && !not_run -> not_run = true; claim_returned[self] = true
       }
    :: atomic { replied_rejected[self] && !sent && !not_run -> not_run = true }
#ifdef MUTANT_LATE_SEND
    :: atomic { replied_claimed[self] && !sent && not_run -> send() }
#endif
    :: break /* the router crashes */
    od
}

inline reply_claimed(receiver) {
    if
    :: receiver < NO_REQUEST -> replied_claimed[receiver] = true
    :: else
    fi
}

/* Writes a record on the version that was read. Must be called within atomic. */
inline commit(new_claimer, new_released, receiver) {
#ifdef MUTANT_EARLY_ANSWER
    reply_claimed(receiver);
#endif
    if
    :: MAY_WRITE(read_version) -> /* takes effect */
        APPLY_WRITE(read_version);
        claimer = new_claimer;
        released = new_released;
        if
        :: read_version++; read_claimer = claimer; read_released = released; reply_claimed(receiver)
        :: loaded = false /* the reply is lost */
        fi
    :: !write_delayed && read_version < MAX_VERSION -> /* delayed, may take effect later */
        write_delayed = true;
        delayed_expected = read_version;
        delayed_claimer = new_claimer;
        delayed_released = new_released;
        loaded = false
    :: loaded = false /* a conflict, or lost for good: the head is read again */
    fi
}

proctype owner() {
    bool loaded = false;
    byte read_version = 0;
    byte read_claimer = NO_REQUEST;
    bool read_released = false;
    bool read_expired = false;
    byte caller = 0;
end:
    do
    :: !loaded -> /* also the read-back after a lost reply, and the start of a new incarnation */
        d_step {
            read_version = version;
            read_claimer = claimer;
            read_released = released;
            read_expired = expired;
            loaded = true
        }
    :: loaded -> /* a call of either request, possibly an old copy */
        atomic {
            if
            :: caller = 0
            :: caller = 1
            fi;
            if
            :: read_expired -> replied_rejected[caller] = true /* expired */
            :: !read_expired && read_claimer == caller && !read_released -> replied_claimed[caller] = true
            :: !read_expired && (read_claimer == NO_REQUEST || (read_released && read_claimer != caller)) ->
                commit(caller, false, caller)
            :: else /* taken, or released by the same request */
            fi;
            caller = 0
        }
    :: loaded && read_claimer != NO_REQUEST && !read_released && claim_returned[read_claimer] ->
        atomic { commit(read_claimer, true, NO_REQUEST) }
    :: loaded && !read_expired && MAY_WRITE(read_version) -> /* by this owner's clock the key is too old */
        atomic {
            if
            :: MAY_WRITE(read_version) ->
                APPLY_WRITE(read_version);
                claimer = NO_REQUEST;
                released = false;
#ifndef MUTANT_NO_FLOOR
                expired = true
#endif
            :: else
            fi;
            loaded = false
        }
#ifdef MUTANT_FILES
    :: loaded && read_version == version -> /* removes the files that a snapshot covers; `caller` counts them */
        d_step {
            do
            :: caller < version -> claim_file[caller] = false; caller++
            :: else -> break
            od;
            caller = 0
        }
#endif
    :: d_step { loaded -> loaded = false; read_version = 0; read_claimer = NO_REQUEST; read_released = false;
                read_expired = false } /* crashes */
    od
}

proctype network() {
end:
    do
    :: atomic {
        write_delayed ->
        if
        :: MAY_WRITE(delayed_expected) ->
            APPLY_WRITE(delayed_expected);
            claimer = delayed_claimer;
            released = delayed_released
        :: else
        fi;
        write_delayed = false;
        delayed_expected = 0;
        delayed_claimer = NO_REQUEST;
        delayed_released = false
       }
    od
}

init {
    atomic {
        run request(0);
        run request(1);
        run owner();
        run owner();
        run network()
    }
}
