/* mutants: UNCONDITIONAL NO_READ_BACK ADOPT_ANY BLIND_START */
/* The configuration's root object, two routers that accept and spread it, and two operators.
 *
 * Each operator asks one router for one change (a preset), named by its request id, and repeats it
 * after a lost answer. A router reads the root, answers a known id as the first time, and else
 * writes conditionally on the version that it read. A write may conflict, lose its answer before
 * or after its effect, or take effect late. Routers push to each other, lose pushes, die and start
 * again; the store goes down at any moment. A router that starts takes work only once it has the
 * store's version, or, while the store is down, the highest of its peers.
 *
 * Checked: one preset at each version; every change is accepted at most once; within its life a
 * router never goes back; a router that starts has at least what the store or, without it, its
 * peer has.
 *
 * Mutants: UNCONDITIONAL writes without the expected version; NO_READ_BACK writes again after a
 * lost answer without looking for the request id; ADOPT_ANY takes a push of any version;
 * BLIND_START takes work with whatever answers first.
 */

#define ROUTERS 2
#define OPERATORS 2
#define MAX_VERSION 4

/* The store's root: version, preset, and the ids of accepted changes, a bit each. */
byte root_version = 0;
byte root_preset = 0;
byte root_ids = 0;
bool store_up = true;
byte outages = 0;

/* What every version holds, once it was accepted. */
byte preset_of[MAX_VERSION + 1];
bool was_accepted[MAX_VERSION + 1];
byte accepted_times[OPERATORS];

/* A write that is still on its way. */
bool late = false;
byte late_expected;
byte late_preset;
byte late_ids;
byte late_operator;

/* In force at each router. */
bool ready[ROUTERS];
byte in_force[ROUTERS];
byte in_force_preset[ROUTERS];

/* Pushes on their way to each router, one at a time. */
bool pushed[ROUTERS];
byte push_version[ROUTERS];
byte push_preset[ROUTERS];

inline accept(new_preset, new_ids, by) {
    root_version++;
    root_preset = new_preset;
    root_ids = new_ids;
    assert(!was_accepted[root_version] || preset_of[root_version] == new_preset);
    was_accepted[root_version] = true;
    preset_of[root_version] = new_preset;
    accepted_times[by]++;
    assert(accepted_times[by] <= 1)
}

inline adopt(me, new_version, new_preset) {
    if
#ifdef MUTANT_ADOPT_ANY
    :: true ->
#else
    :: !ready[me] || new_version > in_force[me] ->
#endif
        assert(!ready[me] || new_version >= in_force[me]);
        in_force[me] = new_version;
        in_force_preset[me] = new_preset;
        assert(new_version == 0 || preset_of[new_version] == new_preset)
#ifndef MUTANT_ADOPT_ANY
    :: else
#endif
    fi
}

/* The change of one operator, carried by the router of the same number. */
proctype operator(byte me) {
    byte expected;
    byte base;
    byte ids;
end:
    do
    :: store_up && ready[me] && root_version < MAX_VERSION ->
        atomic { expected = root_version; base = root_version; ids = root_ids };
        if
#ifdef MUTANT_NO_READ_BACK
        :: false -> skip
#else
        :: (ids & (1 << me)) -> break /* answered as the first time */
#endif
        :: else ->
            if
            :: atomic { /* takes effect and is answered */
#ifdef MUTANT_UNCONDITIONAL
                store_up && root_version < MAX_VERSION ->
                root_version = base;
#else
                store_up && root_version == expected ->
#endif
                accept(me + 1, ids | (1 << me), me);
                adopt(me, root_version, root_preset);
                pushed[1 - me] = true;
                push_version[1 - me] = root_version;
                push_preset[1 - me] = root_preset
               };
               break
            :: atomic { /* takes effect, the answer is lost */
                store_up && root_version == expected ->
                accept(me + 1, ids | (1 << me), me)
               }
            :: atomic { /* on its way */
                !late ->
                late = true; late_expected = expected; late_preset = me + 1;
                late_ids = ids | (1 << me); late_operator = me
               }
            :: skip /* conflict, refused, or lost for good */
            fi
        fi;
        d_step { expected = 0; base = 0; ids = 0 }
    od
}

proctype router(byte me) {
end:
    do
    :: !ready[me] -> /* start */
        atomic {
            if
#ifdef MUTANT_BLIND_START
            :: ready[1 - me] ->
                in_force[me] = in_force[1 - me]; in_force_preset[me] = in_force_preset[1 - me]
#else
            :: !store_up && ready[1 - me] ->
                in_force[me] = in_force[1 - me]; in_force_preset[me] = in_force_preset[1 - me]
#endif
            :: store_up ->
                in_force[me] = root_version; in_force_preset[me] = root_preset
            fi;
            assert(!store_up || in_force[me] >= root_version);
            assert(!ready[1 - me] || in_force[me] >= in_force[1 - me] || store_up);
            ready[me] = true
        }
    :: ready[me] && store_up -> /* watch */
        atomic { adopt(me, root_version, root_preset) }
    :: ready[me] && pushed[me] ->
        atomic {
            pushed[me] = false;
            adopt(me, push_version[me], push_preset[me]);
            push_version[me] = 0;
            push_preset[me] = 0
        }
    :: ready[me] && !pushed[1 - me] -> /* a push that was old when it was sent, or is sent again */
        atomic {
            pushed[1 - me] = true;
            push_version[1 - me] = in_force[me];
            push_preset[1 - me] = in_force_preset[me]
        }
    :: atomic { pushed[me] -> pushed[me] = false; push_version[me] = 0; push_preset[me] = 0 }
    :: atomic { ready[me] -> ready[me] = false; in_force[me] = 0; in_force_preset[me] = 0 }
    od
}

proctype network() {
end:
    do
    :: late ->
        atomic {
            if
            :: root_version == late_expected && root_version < MAX_VERSION ->
                accept(late_preset, late_ids, late_operator)
            :: else
            fi;
            late = false;
            late_expected = 0;
            late_preset = 0;
            late_ids = 0;
            late_operator = 0
        }
    :: store_up && outages < 2 -> atomic { store_up = false; outages++ }
    :: !store_up -> store_up = true
    od
}

init {
    atomic {
        run router(0);
        run router(1);
        run operator(0);
        run operator(1);
        run network()
    }
}
