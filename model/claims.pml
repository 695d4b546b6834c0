/* mutants: FILES NO_FLOOR LATE_SEND EARLY_ANSWER */
/* Claims of one key: two requests, two owners of its shard, and the store.
 *
 * The head object has a version, the key's record (who claimed it; claimed or released) and the
 * floor. An owner evaluates a call on the version that it has read and writes conditionally on it.
 * Any write may be refused by a conflict, lose its answer before or after its effect, or take
 * effect late. Owners die and lose their memory; a request's router dies, gives up or releases at
 * any moment. Either owner may let the floor pass the key's date at any moment, whatever the other
 * one's clock says, and forgets the record with it. Copies of old calls may arrive at any time.
 *
 * Checked: the key runs at most once, and a request that was answered "not run" never sends.
 *
 * Mutants: FILES keeps claims in files that are created if absent and cleaned up; NO_FLOOR forgets
 * a record without refusing its key for ever; LATE_SEND sends on a claim that arrives after the
 * request was given up; EARLY_ANSWER answers before the write is known to have taken effect.
 */

#ifdef MUTANT_FILES
#define MAX_VERSION 2
#else
#define MAX_VERSION 5
#endif
#define NOBODY 2

/* The store's head object. */
byte version = 0;
byte claimer = NOBODY;
bool released = false;
bool passed = false; /* the floor is above the key's date */

#ifdef MUTANT_FILES
bool file[MAX_VERSION];
#define MAY_WRITE(at) (at < MAX_VERSION && !file[at])
#define COUNT_WRITE(at) file[at] = true; version = (at == version -> version + 1 : version)
#else
#define MAY_WRITE(at) (at < MAX_VERSION && version == at)
#define COUNT_WRITE(at) version++
#endif

/* A write that is still on its way. */
bool late = false;
byte late_expected = 0;
byte late_claimer = NOBODY;
bool late_released = false;

/* What each request was told, and what it asks for. */
bool told_claimed[2];
bool told_refused[2];
bool gave_back[2];

byte runs = 0;

inline send() {
    runs++;
    assert(runs <= 1);
    assert(!not_run);
    sent = true
}

proctype request(byte me) {
    bool sent = false;
    bool not_run = false;
end:
    do
    :: atomic { told_claimed[me] && !sent && !not_run -> send() } /* within the validity */
    :: atomic { !sent && !not_run -> not_run = true; gave_back[me] = true } /* given up, released */
    :: atomic { told_refused[me] && !sent && !not_run -> not_run = true }
#ifdef MUTANT_LATE_SEND
    :: atomic { told_claimed[me] && !sent && not_run -> send() }
#endif
    :: break /* the router dies */
    od
}

inline tell_claimed(whom) {
    if
    :: whom < NOBODY -> told_claimed[whom] = true
    :: else
    fi
}

/* Writes a record on the version that was read; to be called within atomic. */
inline commit(new_claimer, new_released, whom) {
#ifdef MUTANT_EARLY_ANSWER
    tell_claimed(whom);
#endif
    if
    :: MAY_WRITE(seen) -> /* takes effect */
        COUNT_WRITE(seen);
        claimer = new_claimer;
        released = new_released;
        if
        :: seen++; my_claimer = claimer; my_released = released; tell_claimed(whom)
        :: loaded = false /* the answer is lost */
        fi
    :: !late && seen < MAX_VERSION -> /* lost on the way, may arrive later */
        late = true;
        late_expected = seen;
        late_claimer = new_claimer;
        late_released = new_released;
        loaded = false
    :: loaded = false /* a conflict, or lost for good: the head is read again */
    fi
}

proctype owner() {
    bool loaded = false;
    byte seen = 0;
    byte my_claimer = NOBODY;
    bool my_released = false;
    bool my_passed = false;
    byte who = 0;
end:
    do
    :: !loaded -> /* also the read-back after a lost answer, and a new life */
        d_step {
            seen = version;
            my_claimer = claimer;
            my_released = released;
            my_passed = passed;
            loaded = true
        }
    :: loaded -> /* a call of either request, perhaps an old copy of it */
        atomic {
            if
            :: who = 0
            :: who = 1
            fi;
            if
            :: my_passed -> told_refused[who] = true /* expired */
            :: !my_passed && my_claimer == who && !my_released -> told_claimed[who] = true
            :: !my_passed && (my_claimer == NOBODY || (my_released && my_claimer != who)) ->
                commit(who, false, who)
            :: else /* taken, or released by the same request */
            fi;
            who = 0
        }
    :: loaded && my_claimer != NOBODY && !my_released && gave_back[my_claimer] ->
        atomic { commit(my_claimer, true, NOBODY) }
    :: loaded && !my_passed && MAY_WRITE(seen) -> /* by this owner's clock the key is too old */
        atomic {
            if
            :: MAY_WRITE(seen) ->
                COUNT_WRITE(seen);
                claimer = NOBODY;
                released = false;
#ifndef MUTANT_NO_FLOOR
                passed = true
#endif
            :: else
            fi;
            loaded = false
        }
#ifdef MUTANT_FILES
    :: loaded && seen == version -> /* clean-up of the files that a snapshot covers */
        d_step {
            do
            :: who < version -> file[who] = false; who++
            :: else -> break
            od;
            who = 0
        }
#endif
    :: d_step { loaded -> loaded = false; seen = 0; my_claimer = NOBODY; my_released = false;
                my_passed = false } /* dies */
    od
}

proctype network() {
end:
    do
    :: atomic {
        late ->
        if
        :: MAY_WRITE(late_expected) ->
            COUNT_WRITE(late_expected);
            claimer = late_claimer;
            released = late_released
        :: else
        fi;
        late = false;
        late_expected = 0;
        late_claimer = NOBODY;
        late_released = false
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
