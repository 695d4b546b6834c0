/* mutants: NO_AGE AGE_OF_PEER ANY_REVISION NO_TIMEOUT */
/* Updates of the store that gateways pass on: the first hub (node 0), a hub of another group (1),
 * and its follower (2).
 *
 * Time is counted in ticks, the interval of reports. The first hub queries the store, the hub
 * queries the first hub, and the follower queries the hub: each node's upstream is the node before
 * it. A reply has the sender's revision and the age of its data: the time since the sender's data
 * last came from the store, on whatever path. A gateway accepts a reply if its revision isn't older
 * than its own and the age is within a limit. Otherwise, and after a time without replies, it
 * queries the store itself until replies are usable again. Watches reply within a tick.
 *
 * At any moment a gateway may pause, or its path to the store or to its upstream may be cut, and
 * each may recover later; the store changes once. A run has at most MAX_DISTURBANCES of these.
 *
 * Checked: no gateway's revision decreases; a gateway that runs and reaches the store has each
 * change after a bounded time, whatever happens to its peers.
 *
 * Mutants: NO_AGE accepts data of any age; AGE_OF_PEER reports the time since the last reply of the
 * upstream instead of the age of the data; ANY_REVISION accepts older revisions; NO_TIMEOUT waits
 * for a reply without limit.
 */

#define NODES 3
#define MAX_REVISION 1
#define MAX_AGE 2
#define TIMEOUT 1
#define MAX_DISTURBANCES 6
/* Ticks: the age limit, the timeout for replies, and one tick for each of three steps. */
#define BOUND (MAX_AGE + TIMEOUT + 3)

byte revision = 0;
/* Ticks since the store's last change. */
byte ticks_since_change = 0;
byte disturbances = 0;
byte sent_age = 0;

byte known_revision[NODES];
byte data_age[NODES];
/* Ticks without a reply from the upstream. */
byte ticks_without_reply[NODES];
bool polls_store[NODES];

/* Ticks for which a gateway has been running with access to the store. */
byte reachable_ticks[NODES];
bool paused[NODES];
bool store_path_cut[NODES];
bool upstream_path_cut[NODES];

inline count_up_to(limit, value) {
    if
    :: value < limit -> value++
    :: else
    fi
}

inline query_store(self) {
    if
    :: !store_path_cut[self] -> known_revision[self] = revision; data_age[self] = 0
    :: else
    fi
}

inline handle_reply(self, reply_revision, reply_age) {
    if
#ifdef MUTANT_NO_AGE
    :: reply_revision >= known_revision[self] ->
#else
#ifdef MUTANT_ANY_REVISION
    :: reply_age <= MAX_AGE ->
#else
    :: reply_revision >= known_revision[self] && reply_age <= MAX_AGE ->
#endif
#endif
        assert(reply_revision >= known_revision[self]);
        known_revision[self] = reply_revision;
        data_age[self] = reply_age;
        polls_store[self] = false
    :: else -> polls_store[self] = true
    fi
}

inline query_upstream(self) {
    if
    :: !paused[self - 1] && !upstream_path_cut[self] ->
        ticks_without_reply[self] = 0;
        sent_age = data_age[self - 1];
#ifdef MUTANT_AGE_OF_PEER
        if
        :: self == 2 -> sent_age = ticks_without_reply[1]
        :: else
        fi;
#endif
        handle_reply(self, known_revision[self - 1], sent_age);
        sent_age = 0
    :: else ->
        count_up_to(TIMEOUT + 1, ticks_without_reply[self]);
        if
#ifndef MUTANT_NO_TIMEOUT
        :: ticks_without_reply[self] > TIMEOUT -> polls_store[self] = true
#endif
        :: else
        fi
    fi
}

inline run_tick(self) {
    if
    :: paused[self] || store_path_cut[self] -> reachable_ticks[self] = 0
    :: else -> count_up_to(BOUND, reachable_ticks[self])
    fi;
    if
    :: paused[self]
    :: else ->
        count_up_to(MAX_AGE + 1, data_age[self]);
        if
        :: self > 0 -> query_upstream(self)
        :: else
        fi;
        if
        :: self == 0 || polls_store[self] -> query_store(self)
        :: else
        fi
    fi
}

inline check_freshness(self) {
    assert(!(reachable_ticks[self] >= BOUND && ticks_since_change >= BOUND) ||
           known_revision[self] == revision)
}

inline apply_disturbance() {
    if
    :: revision < MAX_REVISION -> revision++; ticks_since_change = 0
    :: paused[0] = !paused[0]
    :: paused[1] = !paused[1]
    :: paused[2] = !paused[2]
    :: store_path_cut[0] = !store_path_cut[0]
    :: store_path_cut[1] = !store_path_cut[1]
    :: upstream_path_cut[1] = !upstream_path_cut[1]
    :: upstream_path_cut[2] = !upstream_path_cut[2]
    fi
}

/* At most one disturbance or store change per tick. */
inline maybe_disturb() {
    if
    :: true
    :: disturbances < MAX_DISTURBANCES -> disturbances++; apply_disturbance()
    fi
}

init {
    do
    :: atomic {
        maybe_disturb();
        run_tick(0);
        run_tick(1);
        run_tick(2);
        count_up_to(BOUND, ticks_since_change);
        check_freshness(0);
        check_freshness(1);
        check_freshness(2)
    }
    od
}
