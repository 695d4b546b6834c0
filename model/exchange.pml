/* mutants: NO_AGE AGE_OF_PEER ANY_REVISION NO_TIMEOUT */
/* News of the store that gateways pass on: the first hub, a hub of another group, its follower.
 *
 * Time goes in ticks, the interval of reports. The first hub asks the store, the hub asks the first
 * hub, the follower asks the hub. An answer carries the revision that its sender knows and its age:
 * for how long the sender has heard nothing from the store, on whatever path. A gateway takes it if
 * the revision is not behind its own and the age is within a bound; else, and when no answer has come
 * for a while, it asks the store itself until answers are of use again. Watches answer within a tick.
 *
 * At any moment a gateway stands still, or its path to the store or to the one above it goes silent,
 * and later works again; the store changes once. At most six such things happen in a run.
 *
 * Checked: no gateway goes back a revision; one that runs and reaches the store knows each change
 * after a bounded time, whatever happens to the others.
 *
 * Mutants: NO_AGE takes news of any age; AGE_OF_PEER states since when the sender heard from the one
 * above it, not from the store; ANY_REVISION takes news that are behind; NO_TIMEOUT waits for an
 * answer for ever.
 */

#define NODES 3
#define MAX_REVISION 1
#define MAX_AGE 2
#define TIMEOUT 1
#define MAX_DISTURBANCES 6
/* Of the own age, of a silent sender, and a tick for each step. */
#define BOUND (MAX_AGE + TIMEOUT + 3)

byte revision = 0;
/* Ticks since it was made. */
byte made = 0;
byte disturbances = 0;
byte told = 0;

byte known[NODES];
byte age[NODES];
/* Ticks without an answer from the one above. */
byte silent[NODES];
bool direct[NODES];

/* Ticks for which a gateway has run and reached the store. */
byte sound[NODES];
bool stands_still[NODES];
bool store_cut[NODES];
bool above_cut[NODES];

inline count_to(limit, value) {
    if
    :: value < limit -> value++
    :: else
    fi
}

inline ask_store(me) {
    if
    :: !store_cut[me] -> known[me] = revision; age[me] = 0
    :: else
    fi
}

inline take(me, given_revision, given_age) {
    if
#ifdef MUTANT_NO_AGE
    :: given_revision >= known[me] ->
#else
#ifdef MUTANT_ANY_REVISION
    :: given_age <= MAX_AGE ->
#else
    :: given_revision >= known[me] && given_age <= MAX_AGE ->
#endif
#endif
        assert(given_revision >= known[me]);
        known[me] = given_revision;
        age[me] = given_age;
        direct[me] = false
    :: else -> direct[me] = true
    fi
}

inline ask_above(me) {
    if
    :: !stands_still[me - 1] && !above_cut[me] ->
        silent[me] = 0;
        told = age[me - 1];
#ifdef MUTANT_AGE_OF_PEER
        if
        :: me == 2 -> told = silent[1]
        :: else
        fi;
#endif
        take(me, known[me - 1], told);
        told = 0
    :: else ->
        count_to(TIMEOUT + 1, silent[me]);
        if
#ifndef MUTANT_NO_TIMEOUT
        :: silent[me] > TIMEOUT -> direct[me] = true
#endif
        :: else
        fi
    fi
}

inline work(me) {
    if
    :: stands_still[me] || store_cut[me] -> sound[me] = 0
    :: else -> count_to(BOUND, sound[me])
    fi;
    if
    :: stands_still[me]
    :: else ->
        count_to(MAX_AGE + 1, age[me]);
        if
        :: me > 0 -> ask_above(me)
        :: else
        fi;
        if
        :: me == 0 || direct[me] -> ask_store(me)
        :: else
        fi
    fi
}

inline check(me) {
    assert(!(sound[me] >= BOUND && made >= BOUND) || known[me] == revision)
}

inline change_one() {
    if
    :: revision < MAX_REVISION -> revision++; made = 0
    :: stands_still[0] = !stands_still[0]
    :: stands_still[1] = !stands_still[1]
    :: stands_still[2] = !stands_still[2]
    :: store_cut[0] = !store_cut[0]
    :: store_cut[1] = !store_cut[1]
    :: above_cut[1] = !above_cut[1]
    :: above_cut[2] = !above_cut[2]
    fi
}

/* At most one thing changes in a tick. */
inline disturb() {
    if
    :: true
    :: disturbances < MAX_DISTURBANCES -> disturbances++; change_one()
    fi
}

init {
    do
    :: atomic {
        disturb();
        work(0);
        work(1);
        work(2);
        count_to(BOUND, made);
        check(0);
        check(1);
        check(2)
    }
    od
}
