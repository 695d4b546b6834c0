/* mutants: UNCONDITIONAL NO_READ_BACK ADOPT_ANY BLIND_START */
/* The configuration's root object, two routers that accept and distribute it, and two operators.
 *
 * Each operator sends one change (a preset), identified by a request id, to one router, and retries
 * it after a lost reply. A router reads the root, replies to a known id with the first result, and
 * otherwise writes conditionally on the version that it read. A write may conflict, lose its reply
 * before or after its effect, or take effect late. Routers push to each other, lose pushes, crash
 * and restart; the store may fail at any moment. A router that starts becomes ready only once it
 * has the store's version or, while the store is down, the highest version of its peers.
 *
 * Checked: each version has one preset; every change is accepted at most once; within an incarnation
 * a router's version never decreases; a router that becomes ready has at least the version of the
 * store or, without it, of its peer.
 *
 * Mutants: UNCONDITIONAL writes without the expected version; NO_READ_BACK writes again after a
 * lost reply without looking for the request id; ADOPT_ANY adopts a push of any version;
 * BLIND_START becomes ready with the first reply from any source.
 */

#define ROUTERS 2
#define OPERATORS 2
#define MAX_VERSION 4

/* The store's root: version, preset, and the ids of accepted changes as a bit set. */
byte root_version = 0;
byte root_preset = 0;
byte root_request_ids = 0;
bool store_up = true;
byte store_outages = 0;

/* The preset of each accepted version, and how often each operator's change was accepted. */
byte accepted_preset[MAX_VERSION + 1];
bool was_accepted[MAX_VERSION + 1];
byte times_accepted[OPERATORS];

/* A write that is still in transit. */
bool write_delayed = false;
byte delayed_expected;
byte delayed_preset;
byte delayed_ids;
byte delayed_operator;

/* The configuration in force at each router. */
bool ready[ROUTERS];
byte active_version[ROUTERS];
byte active_preset[ROUTERS];

/* Pushes in transit to each router, one at a time. */
bool push_pending[ROUTERS];
byte push_version[ROUTERS];
byte push_preset[ROUTERS];

inline accept(new_preset, new_request_ids, author) {
    root_version++;
    root_preset = new_preset;
    root_request_ids = new_request_ids;
    assert(!was_accepted[root_version] || accepted_preset[root_version] == new_preset);
    was_accepted[root_version] = true;
    accepted_preset[root_version] = new_preset;
    times_accepted[author]++;
    assert(times_accepted[author] <= 1)
}

inline adopt(self, new_version, new_preset) {
    if
#ifdef MUTANT_ADOPT_ANY
    :: true ->
#else
    :: !ready[self] || new_version > active_version[self] ->
#endif
        assert(!ready[self] || new_version >= active_version[self]);
        active_version[self] = new_version;
        active_preset[self] = new_preset;
        assert(new_version == 0 || accepted_preset[new_version] == new_preset)
#ifndef MUTANT_ADOPT_ANY
    :: else
#endif
    fi
}

/* One operator's change, processed by the router with the same number. */
proctype operator(byte self) {
    byte expected;
    byte base_version;
    byte request_ids;
end:
    do
    :: store_up && ready[self] && root_version < MAX_VERSION ->
        atomic { expected = root_version; base_version = root_version; request_ids = root_request_ids };
        if
#ifdef MUTANT_NO_READ_BACK
        :: false -> skip
#else
        :: (request_ids & (1 << self)) -> break /* replies with the first result */
#endif
        :: else ->
            if
            :: atomic { /* takes effect, the reply arrives */
#ifdef MUTANT_UNCONDITIONAL
                store_up && root_version < MAX_VERSION ->
                root_version = base_version;
#else
                store_up && root_version == expected ->
#endif
                accept(self + 1, request_ids | (1 << self), self);
                adopt(self, root_version, root_preset);
                push_pending[1 - self] = true;
                push_version[1 - self] = root_version;
                push_preset[1 - self] = root_preset
               };
               break
            :: atomic { /* takes effect, the reply is lost */
                store_up && root_version == expected ->
                accept(self + 1, request_ids | (1 << self), self)
               }
            :: atomic { /* delayed, may take effect later */
                !write_delayed ->
                write_delayed = true; delayed_expected = expected; delayed_preset = self + 1;
                delayed_ids = request_ids | (1 << self); delayed_operator = self
               }
            :: skip /* conflict, rejected, or lost for good */
            fi
        fi;
        d_step { expected = 0; base_version = 0; request_ids = 0 }
    od
}

proctype router(byte self) {
end:
    do
    :: !ready[self] -> /* start */
        atomic {
            if
#ifdef MUTANT_BLIND_START
            :: ready[1 - self] ->
                active_version[self] = active_version[1 - self]; active_preset[self] = active_preset[1 - self]
#else
            :: !store_up && ready[1 - self] ->
                active_version[self] = active_version[1 - self]; active_preset[self] = active_preset[1 - self]
#endif
            :: store_up ->
                active_version[self] = root_version; active_preset[self] = root_preset
            fi;
            assert(!store_up || active_version[self] >= root_version);
            assert(!ready[1 - self] || active_version[self] >= active_version[1 - self] || store_up);
            ready[self] = true
        }
    :: ready[self] && store_up -> /* watch */
        atomic { adopt(self, root_version, root_preset) }
    :: ready[self] && push_pending[self] ->
        atomic {
            push_pending[self] = false;
            adopt(self, push_version[self], push_preset[self]);
            push_version[self] = 0;
            push_preset[self] = 0
        }
    :: ready[self] && !push_pending[1 - self] -> /* a push of an old version, or a repeated one */
        atomic {
            push_pending[1 - self] = true;
            push_version[1 - self] = active_version[self];
            push_preset[1 - self] = active_preset[self]
        }
    :: atomic { /* the push is lost */
        push_pending[self] ->
        push_pending[self] = false; push_version[self] = 0; push_preset[self] = 0
       }
    :: atomic { /* crashes */
        ready[self] ->
        ready[self] = false; active_version[self] = 0; active_preset[self] = 0
       }
    od
}

proctype network() {
end:
    do
    :: write_delayed ->
        atomic {
            if
            :: root_version == delayed_expected && root_version < MAX_VERSION ->
                accept(delayed_preset, delayed_ids, delayed_operator)
            :: else
            fi;
            write_delayed = false;
            delayed_expected = 0;
            delayed_preset = 0;
            delayed_ids = 0;
            delayed_operator = 0
        }
    :: store_up && store_outages < 2 -> atomic { store_up = false; store_outages++ }
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
