/* mutants: NO_AGE AGE_OF_PEER ANY_REVISION NO_QUERY LAGGING_LIST */
/* Updates of the store that gateways pass on: the first hub (node 0), a hub of another group (1),
 * and its follower (2).
 *
 * Time is counted in ticks, the interval of reports. The first hub queries the store, the hub
 * queries the first hub, and the follower queries the hub. A first hub whose content is too old
 * queries the other hub instead. A reply has the sender's revision and the age of its content: the
 * time since the content last came from the store, on whatever path. A gateway accepts a reply if
 * its revision isn't older than its own and the age is within the gateway's limit, which is lower
 * for hubs. The age counts from the report that the reply is for, so that no delay hides in it. It queries the store only while its own content is older than that limit.
 *
 * A gateway that starts has read a list that may lag: an older revision of unknown age. It passes
 * this on to nobody, and queries the store only if no peer has confirmed it within the limit.
 *
 * At any moment a gateway may pause, restart, or lose its path to the store or to its upstream, and
 * each may recover later; the store changes once. A run has at most MAX_DISTURBANCES of these.
 *
 * Checked: no gateway's revision decreases while it runs; a gateway that runs and reaches the store
 * has each change after a bounded time, whatever happens to its peers.
 *
 * Mutants: NO_AGE takes every reply for fresh; AGE_OF_PEER reports the time since the last reply of
 * the upstream instead of the age of the content; ANY_REVISION accepts older revisions; NO_QUERY
 * relies on peers without limit; LAGGING_LIST takes a list that may lag for confirmed.
 */

#define NODES 3
#define MAX_REVISION 1
#define HUB_AGE 1
#define FOLLOWER_AGE 3
#define MAX_DISTURBANCES 5
/* Ticks: the follower's age limit, and one tick for each of three steps. */
#define BOUND (FOLLOWER_AGE + 3)
#define TOO_OLD (FOLLOWER_AGE + 1)

byte revision = 0;
/* Ticks since the store's last change. */
byte ticks_since_change = 0;
byte disturbances = 0;
byte sent_age = 0;

byte known_revision[NODES];
/* Ticks since the content was confirmed, or since the list that may lag. */
byte data_age[NODES];
bool unconfirmed[NODES];
byte ticks_without_reply[NODES];

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
    :: !store_path_cut[self] ->
        known_revision[self] = revision;
        data_age[self] = 0;
        unconfirmed[self] = false
    :: else
    fi
}

inline handle_reply(self, max_age, reply_revision, reply_age) {
    if
#ifdef MUTANT_ANY_REVISION
    :: reply_age <= max_age ->
#else
    :: reply_revision >= known_revision[self] && reply_age <= max_age ->
#endif
        assert(reply_revision >= known_revision[self]);
        known_revision[self] = reply_revision;
        data_age[self] = reply_age;
        unconfirmed[self] = false
    :: else
    fi
}

inline query_peer(self, max_age, peer) {
    if
    :: !paused[peer] && !upstream_path_cut[self] ->
        sent_age = data_age[peer];
#ifndef MUTANT_LAGGING_LIST
        if
        :: unconfirmed[peer] -> sent_age = TOO_OLD
        :: else
        fi;
#endif
#ifdef MUTANT_NO_AGE
        sent_age = 0;
#endif
#ifdef MUTANT_AGE_OF_PEER
        if
        :: self == 2 -> sent_age = ticks_without_reply[1]
        :: else
        fi;
#endif
        ticks_without_reply[self] = 0;
        handle_reply(self, max_age, known_revision[peer], sent_age);
        sent_age = 0
    :: else -> count_up_to(TOO_OLD, ticks_without_reply[self])
    fi
}

inline query_store_if_older(self, max_age) {
    if
#ifndef MUTANT_NO_QUERY
    :: data_age[self] > max_age -> query_store(self)
#endif
    :: else
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
        if
        :: self == 0 ->
            query_store(0);
            if
            :: data_age[0] > HUB_AGE || unconfirmed[0] -> query_peer(0, HUB_AGE, 1)
            :: else
            fi
        :: self == 1 -> query_peer(1, HUB_AGE, 0); query_store_if_older(1, HUB_AGE)
        :: self == 2 -> query_peer(2, FOLLOWER_AGE, 1); query_store_if_older(2, FOLLOWER_AGE)
        fi
    fi
}

inline check_freshness(self) {
    assert(!(reachable_ticks[self] >= BOUND && ticks_since_change >= BOUND) ||
           known_revision[self] == revision)
}

/* The list at the start may lag: it has any revision so far. */
inline restart(self) {
    if
    :: known_revision[self] = 0
    :: known_revision[self] = revision
    fi;
    data_age[self] = 0;
    unconfirmed[self] = true;
    reachable_ticks[self] = 0;
    ticks_without_reply[self] = 0
}

inline apply_disturbance() {
    if
    :: revision < MAX_REVISION -> revision++; ticks_since_change = 0
    :: paused[0] = !paused[0]
    :: paused[1] = !paused[1]
    :: paused[2] = !paused[2]
    :: restart(0)
    :: restart(1)
    :: restart(2)
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
        /* The clock counts the time in which a machine is suspended. */
        count_up_to(TOO_OLD, data_age[0]);
        count_up_to(TOO_OLD, data_age[1]);
        count_up_to(TOO_OLD, data_age[2]);
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
