/* mutants: WATCH_ON REVISION_ORDER PEER_REVISION LATE_PAGE */
/* A store that comes back from an older copy, a hub that reads it, and a follower that gets what the
 * hub has read.
 *
 * The store holds two objects, each with the revision of its last change. Each write takes the next
 * revision. A copy may be made at any time; a restore brings the copy's objects and revision back
 * and raises the era, after which revisions are given out again. A watch returns the objects that
 * changed since a revision; it fails if the store does not have that revision yet. A response may
 * be delayed while the store goes on.
 *
 * Gateways order what they read by era, then by revision. A hub whose era is older than a response's
 * lists instead of watching on; it sends a follower of an earlier era everything it has, and a
 * follower of a later era nothing. Pages of an earlier era are ignored.
 *
 * Checked: no gateway's position decreases, and once a gateway's position is the store's, so is its
 * content.
 *
 * Mutants: WATCH_ON watches on from its revision across eras; REVISION_ORDER compares revisions
 * without their eras, as a gateway that ignores the era does; PEER_REVISION makes the hub send a
 * follower the changes since its revision, whatever the era; LATE_PAGE accepts pages of an earlier
 * era.
 */

#define MAX_WRITES 4
#define MAX_RESTORES 2

/* The store: era, revision, and of both objects the content and the revision of its last change. */
byte era = 1, revision = 1;
byte content_a = 0, content_b = 0, changed_a = 1, changed_b = 1;
byte copy_revision = 1, copy_a = 0, copy_b = 0, copy_changed_a = 1, copy_changed_b = 1;
byte last_content = 0, writes = 0, restores = 0;

/* The hub (0) and the follower (1). */
byte known_era[2], known_revision[2];
byte known_a[2], known_b[2], known_changed_a[2], known_changed_b[2];

/* A response of the store to the hub that is on its way. */
bool has_page = false, page_is_list = false;
byte page_era, page_revision, page_a, page_b, page_changed_a, page_changed_b;
bool page_has_a, page_has_b;

inline write_object(content, changed) {
    writes++;
    last_content++;
    revision++;
    content = last_content;
    changed = revision
}

inline make_copy() {
    copy_revision = revision;
    copy_a = content_a; copy_b = content_b;
    copy_changed_a = changed_a; copy_changed_b = changed_b
}

inline restore() {
    restores++;
    era++;
    revision = copy_revision;
    content_a = copy_a; content_b = copy_b;
    changed_a = copy_changed_a; changed_b = copy_changed_b
}

/* The store responds to the hub. The hub learns a later era from the response and lists next. */
inline query(is_list) {
    has_page = true;
    page_is_list = is_list;
    page_era = era; page_revision = revision;
    page_a = content_a; page_b = content_b;
    page_changed_a = changed_a; page_changed_b = changed_b;
    page_has_a = is_list || changed_a > known_revision[0];
    page_has_b = is_list || changed_b > known_revision[0]
}

inline take_page(self) {
    known_era[self] = page_era;
    known_revision[self] = page_revision;
    if
    :: page_has_a -> known_a[self] = page_a; known_changed_a[self] = page_changed_a
    :: else
    fi;
    if
    :: page_has_b -> known_b[self] = page_b; known_changed_b[self] = page_changed_b
    :: else
    fi
}

inline receive_page() {
    has_page = false;
    if
#ifdef MUTANT_LATE_PAGE
    :: page_era < known_era[0] -> take_page(0)
#else
    :: page_era < known_era[0]
#endif
#ifdef MUTANT_REVISION_ORDER
    :: page_era >= known_era[0] && page_revision < known_revision[0]
    :: page_era >= known_era[0] && page_revision >= known_revision[0] -> take_page(0)
#else
#ifdef MUTANT_WATCH_ON
    :: page_era > known_era[0] -> take_page(0)
#else
    /* A watch's page of a later era is dropped; the hub lists. */
    :: page_era > known_era[0] && page_is_list -> take_page(0)
    :: page_era > known_era[0] && !page_is_list -> query(true)
#endif
    :: page_era == known_era[0] && page_revision >= known_revision[0] -> take_page(0)
    :: page_era == known_era[0] && page_revision < known_revision[0]
#endif
    fi
}

/* Another hub, which has just read the whole store, supplies this one while a response is on its way. */
inline take_from_peer() {
    known_era[0] = era; known_revision[0] = revision;
    known_a[0] = content_a; known_b[0] = content_b;
    known_changed_a[0] = changed_a; known_changed_b[0] = changed_b
}

/* The hub's reply to the follower's report. */
inline send_update() {
    if
#ifdef MUTANT_PEER_REVISION
    :: known_revision[0] >= known_revision[1] && known_era[0] >= known_era[1] ->
        if
        :: known_changed_a[0] > known_revision[1] -> known_a[1] = known_a[0]; known_changed_a[1] = known_changed_a[0]
        :: else
        fi;
        if
        :: known_changed_b[0] > known_revision[1] -> known_b[1] = known_b[0]; known_changed_b[1] = known_changed_b[0]
        :: else
        fi;
        known_era[1] = known_era[0]; known_revision[1] = known_revision[0]
#else
    :: known_era[0] > known_era[1] || known_era[0] == known_era[1] && known_revision[0] >= known_revision[1] ->
        if
        :: known_era[0] > known_era[1] || known_changed_a[0] > known_revision[1] ->
            known_a[1] = known_a[0]; known_changed_a[1] = known_changed_a[0]
        :: else
        fi;
        if
        :: known_era[0] > known_era[1] || known_changed_b[0] > known_revision[1] ->
            known_b[1] = known_b[0]; known_changed_b[1] = known_changed_b[0]
        :: else
        fi;
        known_era[1] = known_era[0]; known_revision[1] = known_revision[0]
#endif
    :: else
    fi
}

inline check(self, era_before, revision_before) {
    assert(known_era[self] > era_before || known_era[self] == era_before && known_revision[self] >= revision_before);
    assert(!(known_era[self] == era && known_revision[self] == revision) ||
           (known_a[self] == content_a && known_b[self] == content_b))
}

byte era_before[2], revision_before[2];

init {
    known_era[0] = 1; known_era[1] = 1;
    known_revision[0] = 1; known_revision[1] = 1;
    known_changed_a[0] = 1; known_changed_a[1] = 1;
    known_changed_b[0] = 1; known_changed_b[1] = 1;
    do
    :: atomic {
        era_before[0] = known_era[0]; revision_before[0] = known_revision[0];
        era_before[1] = known_era[1]; revision_before[1] = known_revision[1];
        if
        :: writes < MAX_WRITES -> write_object(content_a, changed_a)
        :: writes < MAX_WRITES -> write_object(content_b, changed_b)
        :: make_copy()
        :: restores < MAX_RESTORES -> restore()
        /* A watch from a revision that the store does not have fails, and the hub lists. */
        :: !has_page && known_revision[0] <= revision -> query(false)
        :: !has_page && known_revision[0] > revision -> query(true)
        :: has_page -> receive_page()
        :: has_page -> take_from_peer()
        :: send_update()
        fi;
        check(0, era_before[0], revision_before[0]);
        check(1, era_before[1], revision_before[1]);
        era_before[0] = 0; revision_before[0] = 0; era_before[1] = 0; revision_before[1] = 0
    }
    od
}
