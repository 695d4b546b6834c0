/* mutants: CLEAN_ALWAYS NO_DROP NO_WITNESS SHORT_PROMISE */
/*
 * Share leases of one target: three routers with one slot each, capacity three. Every router may
 * own the shard, follow an owner and request grants. The routers' views differ without limit: a
 * router may switch to any owner whenever its promise allows. A grant is received at any later time
 * or never; a router that takes no step for any time stands for a paused process. Bounds: MAX_MOVES
 * lease expirations and switches of owner, and MAX_GRANTS grants. Checked: grants in use never
 * exceed the capacity.
 *
 * Time is abstract. An owner counts a lease (counted_leases[o] has bit f) only while the follower
 * is bound to that owner (followed_owner[f] == o): the owner's count ends first and the follower's
 * promise afterwards, since the owner counts from sending its challenge and the follower from
 * receiving it. Each router is a failure domain of its own.
 *
 * The maximum lifetime of a grant never passes in a run: an encumbered share, one that may still be
 * in use without the owner's knowledge, stays encumbered unless the owner's knowledge is complete.
 * The rules with these names are in docs/design/ownership.md.
 */
#define ROUTERS 3
#define CAPACITY 3
#define NONE 3
#define MAX_MOVES 5
#define MAX_GRANTS 4
#define BIT(i) (1 << (i))

byte followed_owner[ROUTERS]; /* the owner that a router is bound to by its promise, or NONE */
bool registered[ROUTERS]; /* registered with that owner */
byte counted_leases[ROUTERS]; /* per owner: the followers whose leases it counts */
byte uses_known[ROUTERS]; /* per owner: the followers whose shares it may use */
byte last_owner[ROUTERS]; /* the owner that a router last registered with */
/* Grants are bits in sets. Grants in use at each router. */
byte grants_in_use[ROUTERS];
/* Grants that owner o knows to be in use at router x. */
byte known_grants[9];
#define KNOWN_GRANTS(o, x) known_grants[(o) * ROUTERS + (x)]
/* Grants in transit from owner o to router x. */
byte grants_in_transit[9];
#define GRANTS_IN_TRANSIT(o, x) grants_in_transit[(o) * ROUTERS + (x)]
/* Grants of owner o to itself that its witness, router w, has recorded. */
byte witnessed_grants[9];
#define WITNESSED_GRANTS(w, o) witnessed_grants[(w) * ROUTERS + (o)]
byte grants;
byte moves;

#define BIT_OF(set, i) (((set) >> (i)) & 1)
#define COUNT(set) \
    (BIT_OF(set, 0) + BIT_OF(set, 1) + BIT_OF(set, 2) + BIT_OF(set, 3) + BIT_OF(set, 4))

/* Number of grants that owner o knows of, and of all grants in use. */
#define COUNT_KNOWN_GRANTS(o) COUNT(KNOWN_GRANTS(o, 0) | KNOWN_GRANTS(o, 1) | KNOWN_GRANTS(o, 2))
#define COUNT_GRANTS_IN_USE COUNT(grants_in_use[0] | grants_in_use[1] | grants_in_use[2])
/* Rule limit: o knows of fewer grants in use than it has lent shares whose uses it knows. */
#define HAS_FREE_SHARE(o) (COUNT_KNOWN_GRANTS(o) < COUNT(counted_leases[o] & uses_known[o]))
#define OWNS(o) (followed_owner[o] == o && registered[o])

/* Rule complete: with at most one lender missing, the uses of all lenders are known and stay so. */
inline update_uses_known(o) {
    if
#ifdef MUTANT_CLEAN_ALWAYS
    :: true -> uses_known[o] = uses_known[o] | counted_leases[o]
#else
    :: COUNT(counted_leases[o]) >= ROUTERS - 1 -> uses_known[o] = uses_known[o] | counted_leases[o]
    :: else
#endif
    fi
}

/* Rule register: router f reports all grants that it knows of to owner o. */
inline register_follower(f, o) {
    /* Its report replaces what o knew about f; for routers that o has no lease of, it is added. */
    KNOWN_GRANTS(o, f) = grants_in_use[f];
#ifndef MUTANT_NO_DROP
    /* Rule drop: grants from before the registration are invalid. */
    GRANTS_IN_TRANSIT(o, f) = 0;
#endif
    x = 0;
    do
    :: x < ROUTERS ->
        if
        :: x != f && !(counted_leases[o] & BIT(x)) && x != o ->
            KNOWN_GRANTS(o, x) = KNOWN_GRANTS(o, x) | WITNESSED_GRANTS(f, x);
            if
            :: f != o -> KNOWN_GRANTS(o, x) = KNOWN_GRANTS(o, x) | KNOWN_GRANTS(f, x)
            :: else
            fi
        :: else
        fi;
        x++
    :: else -> break
    od;
    x = 0;
    if
    :: last_owner[f] != o -> uses_known[o] = uses_known[o] & (7 - BIT(f))
    :: else
    fi;
    last_owner[f] = o;
    registered[f] = true;
    counted_leases[o] = counted_leases[o] | BIT(f);
    update_uses_known(o)
}

/* An owner that follows another one stops being an owner: its leases end. */
inline end_leases(o) {
    counted_leases[o] = 0;
    uses_known[o] = 0
}

active proctype fleet() {
    byte f, o, w, n, x;
    x = 0;
    do
    :: x < ROUTERS -> followed_owner[x] = 0; last_owner[x] = 0; registered[x] = true; x++
    :: else -> break
    od;
    x = 0;
    counted_leases[0] = 7;
    uses_known[0] = 7;
end:
    do
    :: atomic {
        /* Any router acts as follower f, and any as owner o. */
        if
        :: f = 0
        :: f = 1
        :: f = 2
        fi;
        if
        :: o = 0
        :: o = 1
        :: o = 2
        fi;
        if
        /* Rule lapse: the lease expires at the owner first; the follower's promise ends later. */
        :: counted_leases[o] & BIT(f) && f != o && moves < MAX_MOVES ->
            printf("lease of %d expires at %d\n", f, o);
            counted_leases[o] = counted_leases[o] & (7 - BIT(f));
            moves++
        /* Rule promise: a router switches to another owner only when no owner counts its lease. */
        :: followed_owner[f] != o && moves < MAX_MOVES &&
#ifndef MUTANT_SHORT_PROMISE
           (followed_owner[f] == NONE || !(counted_leases[followed_owner[f]] & BIT(f)) ||
            followed_owner[f] == f) &&
#endif
           true ->
            printf("%d switches to %d\n", f, o);
            if
            :: followed_owner[f] == f -> end_leases(f)
            :: else
            fi;
            followed_owner[f] = o;
            registered[f] = false;
            moves++
        /* Rule register: only with an owner that follows itself. */
        :: followed_owner[f] == o && (f == o || OWNS(o)) &&
           !(counted_leases[o] & BIT(f)) ->
            printf("register %d with %d, uses %d\n", f, o, grants_in_use[f]);
            register_follower(f, o)
        /* Rule grant: a grant to another router is known to the owner and the requester. */
        :: f != o && OWNS(o) && (counted_leases[o] & BIT(f)) && grants < MAX_GRANTS ->
            if
            :: HAS_FREE_SHARE(o) ->
                printf("grant by %d to %d\n", o, f);
                KNOWN_GRANTS(o, f) = KNOWN_GRANTS(o, f) | BIT(grants);
                GRANTS_IN_TRANSIT(o, f) = GRANTS_IN_TRANSIT(o, f) | BIT(grants);
                grants++
            :: else
            fi
        /* Rule witness: another lender records an owner's grant to itself before it is used. */
        :: f == o && OWNS(o) && (counted_leases[o] & BIT(o)) && grants < MAX_GRANTS ->
            if
            :: HAS_FREE_SHARE(o) ->
                w = (o + 1) % ROUTERS;
                if
                :: !(counted_leases[o] & BIT(w)) -> w = (o + 2) % ROUTERS
                :: else
                fi;
                if
#ifdef MUTANT_NO_WITNESS
                :: true ->
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN_GRANTS(o, o) = KNOWN_GRANTS(o, o) | BIT(grants);
                    grants_in_use[o] = grants_in_use[o] | BIT(grants);
                    grants++
#else
                /* The witness replies only while it still follows the owner. */
                :: (counted_leases[o] & BIT(w)) && followed_owner[w] == o && registered[w] ->
                    WITNESSED_GRANTS(w, o) = WITNESSED_GRANTS(w, o) | BIT(grants);
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN_GRANTS(o, o) = KNOWN_GRANTS(o, o) | BIT(grants);
                    grants_in_use[o] = grants_in_use[o] | BIT(grants);
                    grants++
                /* There is no other lender: only the owner's own share is used. */
                :: counted_leases[o] == BIT(o) ->
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN_GRANTS(o, o) = KNOWN_GRANTS(o, o) | BIT(grants);
                    grants_in_use[o] = grants_in_use[o] | BIT(grants);
                    grants++
                :: else
#endif
                fi
            :: else
            fi
        /* Rule drop: a grant is valid only from the owner that the router follows and is registered with. */
        :: GRANTS_IN_TRANSIT(o, f) != 0 ->
            printf("%d receives a grant by %d\n", f, o);
            n = GRANTS_IN_TRANSIT(o, f) & -GRANTS_IN_TRANSIT(o, f);
            GRANTS_IN_TRANSIT(o, f) = GRANTS_IN_TRANSIT(o, f) & ~n;
            if
#ifdef MUTANT_NO_DROP
            :: true -> grants_in_use[f] = grants_in_use[f] | n
#else
            :: followed_owner[f] == o && registered[f] -> grants_in_use[f] = grants_in_use[f] | n
            :: else
#endif
            fi
        /* A request ends, and the followed owner is notified. */
        :: grants_in_use[f] != 0 && f != o && OWNS(o) && followed_owner[f] == o && registered[f] &&
           GRANTS_IN_TRANSIT(o, f) == 0 ->
            printf("%d ends a request, %d is notified\n", f, o);
            n = grants_in_use[f] & -grants_in_use[f];
            grants_in_use[f] = grants_in_use[f] & ~n;
            KNOWN_GRANTS(o, f) = KNOWN_GRANTS(o, f) & ~n
        :: else
        fi;
        f = 0; o = 0; w = 0; n = 0;
        assert(COUNT_GRANTS_IN_USE <= CAPACITY)
    }
    od
}
