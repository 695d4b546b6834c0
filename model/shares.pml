/* mutants: CLEAN_ALWAYS NO_DROP NO_WITNESS SHORT_PROMISE */
/*
 * Share leases of one target: three routers with one slot each, capacity three. Every router may
 * own the shard, follow an owner and ask for grants; views differ without limit (a router may turn to
 * any owner whenever its promise allows). Grants are read at any later time, or never; a router that
 * does nothing for any time stands for one that sleeps. Bounds: MAX_MOVES lapses and turns, and
 * MAX_GRANTS grants. Checked: outstanding grants never exceed the capacity.
 *
 * Time is abstract. A lease is counted by the owner (counts[o] has bit f) only while the follower
 * is bound to it (bound[f] == o): `lapse` ends the owner's count first and the follower's promise
 * afterwards, as the owner counts from the sending of its challenge and the follower from the
 * receipt. Each router is a failure domain of its own.
 *
 * The longest life of a grant never passes in a run: an encumbered share stays so unless the
 * owner's knowledge is complete. Rules of the same names are in docs/design/ownership.md.
 */
#define N 3
#define C 3
#define NONE 3
#define MAX_MOVES 5
#define MAX_GRANTS 4
#define BIT(i) (1 << (i))

byte bound[N];       /* the owner that a router may follow by its promises; NONE */
bool reg[N];         /* registered there */
byte counts[N];      /* per owner: whose leases it counts */
byte clean[N];       /* per owner: whose shares it may use */
byte last[N];        /* the owner a router registered with last */
/* Sets of grants, a bit for each: in use at a router, ... */
byte use[N];
/* ... known to owner o as in use at router x: KNOWN(o, x), ... */
byte known[9];
#define KNOWN(o, x) known[(o) * N + (x)]
/* ... granted by o to x and under way, ... */
byte flight[9];
#define FLIGHT(o, x) flight[(o) * N + (x)]
/* ... granted by o to itself and kept in mind by router w: WITNESS(w, o). */
byte witness[9];
#define WITNESS(w, o) witness[(w) * N + (o)]
byte grants;
byte moves;

#define BIT_OF(set, i) (((set) >> (i)) & 1)
#define COUNT(set) \
    (BIT_OF(set, 0) + BIT_OF(set, 1) + BIT_OF(set, 2) + BIT_OF(set, 3) + BIT_OF(set, 4))

/* Uses known to owner o in all, and all uses. */
#define ALL_KNOWN(o) COUNT(KNOWN(o, 0) | KNOWN(o, 1) | KNOWN(o, 2))
#define USES COUNT(use[0] | use[1] | use[2])
/* Rule limit: the shares that are lent, clean and not in use. */
#define HAS_ROOM(o) (ALL_KNOWN(o) < COUNT(counts[o] & clean[o]))
#define OWNS(o) (bound[o] == o && reg[o])

/* Rule complete: at most one router is missing. A clean lender stays clean. */
inline consider(o) {
    if
#ifdef MUTANT_CLEAN_ALWAYS
    :: true -> clean[o] = clean[o] | counts[o]
#else
    :: COUNT(counts[o]) >= N - 1 -> clean[o] = clean[o] | counts[o]
    :: else
#endif
    fi
}

/* Rule register: router f tells owner o all that it knows. */
inline enrol(f, o) {
    /* Its own use is the truth; what it knows of silent ones is taken over. */
    KNOWN(o, f) = use[f];
#ifndef MUTANT_NO_DROP
    /* Rule drop: grants from before the registration are void. */
    FLIGHT(o, f) = 0;
#endif
    x = 0;
    do
    :: x < N ->
        if
        :: x != f && !(counts[o] & BIT(x)) && x != o ->
            KNOWN(o, x) = KNOWN(o, x) | WITNESS(f, x);
            if
            :: f != o -> KNOWN(o, x) = KNOWN(o, x) | KNOWN(f, x)
            :: else
            fi
        :: else
        fi;
        x++
    :: else -> break
    od;
    x = 0;
    if
    :: last[f] != o -> clean[o] = clean[o] & (7 - BIT(f))
    :: else
    fi;
    last[f] = o;
    reg[f] = true;
    counts[o] = counts[o] | BIT(f);
    consider(o)
}

/* An owner that follows another gives up its part: its leases end. */
inline resign(o) {
    counts[o] = 0;
    clean[o] = 0
}

active proctype fleet() {
    byte f, o, w, n, x;
    x = 0;
    do
    :: x < N -> bound[x] = 0; last[x] = 0; reg[x] = true; x++
    :: else -> break
    od;
    x = 0;
    counts[0] = 7;
    clean[0] = 7;
end:
    do
    :: atomic {
        /* Some router acts as follower f, some as owner o. */
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
        /* Rule lapse: the owner stops counting; later the promise ends. */
        :: counts[o] & BIT(f) && f != o && moves < MAX_MOVES ->
            printf("lapse %d at %d\n", f, o);
            counts[o] = counts[o] & (7 - BIT(f));
            moves++
        /* Rule promise: a router turns to another owner only when nobody counts on it. */
        :: bound[f] != o && moves < MAX_MOVES &&
#ifndef MUTANT_SHORT_PROMISE
           (bound[f] == NONE || !(counts[bound[f]] & BIT(f)) || bound[f] == f) &&
#endif
           true ->
            printf("turn %d to %d\n", f, o);
            if
            :: bound[f] == f -> resign(f)
            :: else
            fi;
            bound[f] = o;
            reg[f] = false;
            moves++
        /* Rule register, with an owner that follows itself. */
        :: bound[f] == o && (f == o || OWNS(o)) &&
           !(counts[o] & BIT(f)) ->
            printf("register %d with %d, uses %d\n", f, o, use[f]);
            enrol(f, o)
        /* Rule grant, to another router: owner and requester know of it. */
        :: f != o && OWNS(o) && (counts[o] & BIT(f)) && grants < MAX_GRANTS ->
            if
            :: HAS_ROOM(o) ->
                printf("grant by %d to %d\n", o, f);
                KNOWN(o, f) = KNOWN(o, f) | BIT(grants);
                FLIGHT(o, f) = FLIGHT(o, f) | BIT(grants);
                grants++
            :: else
            fi
        /* Rule witness: a grant to itself is known to another lender before it is used. */
        :: f == o && OWNS(o) && (counts[o] & BIT(o)) && grants < MAX_GRANTS ->
            if
            :: HAS_ROOM(o) ->
                w = (o + 1) % N;
                if
                :: !(counts[o] & BIT(w)) -> w = (o + 2) % N
                :: else
                fi;
                if
#ifdef MUTANT_NO_WITNESS
                :: true ->
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN(o, o) = KNOWN(o, o) | BIT(grants);
                    use[o] = use[o] | BIT(grants);
                    grants++
#else
                /* The witness answers while it still follows. */
                :: (counts[o] & BIT(w)) && bound[w] == o && reg[w] ->
                    WITNESS(w, o) = WITNESS(w, o) | BIT(grants);
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN(o, o) = KNOWN(o, o) | BIT(grants);
                    use[o] = use[o] | BIT(grants);
                    grants++
                /* Nobody else lends: only the own share is used. */
                :: counts[o] == BIT(o) ->
                    printf("own grant of %d, witness %d\n", o, w);
                    KNOWN(o, o) = KNOWN(o, o) | BIT(grants);
                    use[o] = use[o] | BIT(grants);
                    grants++
                :: else
#endif
                fi
            :: else
            fi
        /* Rule drop: a grant counts only from the owner that is followed and registered with. */
        :: FLIGHT(o, f) != 0 ->
            printf("%d reads a grant by %d\n", f, o);
            n = FLIGHT(o, f) & -FLIGHT(o, f);
            FLIGHT(o, f) = FLIGHT(o, f) & ~n;
            if
#ifdef MUTANT_NO_DROP
            :: true -> use[f] = use[f] | n
#else
            :: bound[f] == o && reg[f] -> use[f] = use[f] | n
            :: else
#endif
            fi
        /* A request ends; the owner that is followed may learn of it. */
        :: use[f] != 0 && f != o && OWNS(o) && bound[f] == o && reg[f] && FLIGHT(o, f) == 0 ->
            printf("%d ends a request, %d learns it\n", f, o);
            n = use[f] & -use[f];
            use[f] = use[f] & ~n;
            KNOWN(o, f) = KNOWN(o, f) & ~n
        :: else
        fi;
        f = 0; o = 0; w = 0; n = 0;
        assert(USES <= C)
    }
    od
}
