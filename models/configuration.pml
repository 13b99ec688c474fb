/* Published revisions on their way from the platform, fresh or stale or down, to three hosts that
 * relay them and may be replaced. A revision may have faults; it is then held but not in force.
 *
 * Names follow src/version/replica.cpp and docs/design/configuration.md. Entries are two keys;
 * the value of a key is the revision that set it. Revision r sets key r modulo 2. A host's answer
 * is the state it has when it answers; it may come late, doubled, out of order or never.
 *
 * The printed lines are the trace that tests/version/replica_trace_test.cpp holds replica against.
 */

#define HOSTS 3
#ifndef REVISIONS
#define REVISIONS 3
#endif
#define FAULTY(r) ((r) == 2)
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define ANSWERS 2            /* on the way at once */

/* entries of revision r: the newest revision that set each key */
#define EVEN(r) ((r) - (r) % 2)
#define ODD(r) ((r) == 0 -> 0 : (r) - 1 + (r) % 2)

byte published = 1;
bool is_down = false;

byte held[HOSTS], even[HOSTS], odd[HOSTS];
byte in_force[HOSTS];
byte force_even[HOSTS], force_odd[HOSTS];
byte highest[HOSTS];         /* ever in force in this process */
byte heard[HOSTS];           /* newest that a peer told in a form that applies */
byte restarts = 0;

/* updates on the way: to a host, with a base; base 0 is a snapshot */
bool is_used[ANSWERS];
byte to[ANSWERS], from[ANSWERS], base[ANSWERS], revision[ANSWERS];
byte new_even[ANSWERS], new_odd[ANSWERS];

#define PLATFORM HOSTS

/* for traces: only hosts to which changes are on their way */
#ifdef RESTART_BEFORE_CHANGES
#define MAY_RESTART(h) ((is_used[0] && base[0] > 0 && to[0] == h) || \
    (is_used[1] && base[1] > 0 && to[1] == h))
#else
#define MAY_RESTART(h) true
#endif

inline check(h) {
    assert(in_force[h] >= highest[h]);
    highest[h] = in_force[h];
    assert(in_force[h] == 0 || (force_even[h] == EVEN(in_force[h]) &&
        force_odd[h] == ODD(in_force[h])));
    assert(!FAULTY(in_force[h]) || in_force[h] == 0);
}

/* replica::accept_held */
inline accept_held(h) {
    if
#ifndef MUTANT_FAULTY_IN_FORCE
    :: FAULTY(held[h]) -> printf("outcome refused\n")
#endif
    :: else -> in_force[h] = held[h]; force_even[h] = even[h]; force_odd[h] = odd[h];
        printf("outcome accepted\n")
    fi
}

#define PRINT_STATE(h)                                                                       \
    printf("state %d %d %d %d %d %d %d\n", h, held[h], even[h], odd[h], in_force[h],         \
        force_even[h], force_odd[h])

/* changes of the update are those after its base */
#define NEWER(value, u) (value > base[u])

/* replica::apply of update u at host h */
inline apply(h, u) {
    if
#ifndef MUTANT_ACCEPT_LOWER_REVISION
    :: revision[u] <= held[h] -> printf("outcome ignored\n")
#endif
#ifndef MUTANT_CHANGES_ABOVE_HELD
    :: base[u] > held[h] -> printf("outcome needs_snapshot\n")
#endif
    :: else ->
        if
        :: base[u] == 0 -> even[h] = new_even[u]; odd[h] = new_odd[u]
        :: else ->
            if :: NEWER(new_even[u], u) -> even[h] = new_even[u] :: else -> skip fi;
            if :: NEWER(new_odd[u], u) -> odd[h] = new_odd[u] :: else -> skip fi
        fi;
        held[h] = revision[u];
        accept_held(h)
    fi;
    PRINT_STATE(h);
    check(h)
}

inline free(u) {
    is_used[u] = false; to[u] = 0; from[u] = 0; base[u] = 0; revision[u] = 0;
    new_even[u] = 0; new_odd[u] = 0
}

/* replica::changes_since: a snapshot, or the changes after what the asker held */
inline send(u, h, sender, r, e, o, after) {
    is_used[u] = true;
    to[u] = h; from[u] = sender;
    base[u] = after;
    revision[u] = r; new_even[u] = e; new_odd[u] = o;
    printf("send %d %d %d %d %d\n", u, sender, r, after, h)
}

#define UPDATE(u)                                                                            \
    :: atomic { is_used[u] -> take(u); free(u) }                                             \
    :: atomic { is_used[u] -> take(u) }          /* doubled */                               \
    :: atomic { is_used[u] -> free(u) }          /* lost */

inline take(u) {
    printf("take %d %d\n", u, to[u]);
    if
    :: from[u] != PLATFORM && base[u] <= held[to[u]] ->
        heard[to[u]] = (revision[u] > heard[to[u]] -> revision[u] : heard[to[u]])
    :: else -> skip
    fi;
    apply(to[u], u)
}

#define FREE(u) (!is_used[u])

#define ASK_PEER(h, p, u)                                                                    \
    :: atomic { FREE(u) && held[p] > 0 -> send(u, h, p, held[p], even[p], odd[p], 0) }       \
    :: atomic { FREE(u) && held[h] > 0 && held[p] > held[h] ->                               \
        send(u, h, p, held[p], even[p], odd[p], held[h]) }

#define OTHER(h) ((h + 1) % HOSTS)
#define THIRD(h) ((h + 2) % HOSTS)

#define HOST(h)                                                                              \
    ASK_PEER(h, OTHER(h), 0)                                                                 \
    ASK_PEER(h, THIRD(h), 1)                                                                 \
    /* the platform's answer, stale or not, as a snapshot or changes */                      \
    :: atomic { !is_down && FREE(0) ->                                        \
        if                                                                                   \
        :: send(0, h, PLATFORM, published, EVEN(published), ODD(published), 0)               \
        :: published > held[h] && held[h] > 0 ->                                             \
            send(0, h, PLATFORM, published, EVEN(published), ODD(published), held[h])        \
        :: published > 1 ->                                                                  \
            send(0, h, PLATFORM, published - 1, EVEN((published - 1)), ODD((published - 1)), 0) \
        fi }                                                                                 \
    /* a new process of the host; answers to the earlier one may still come */              \
    :: atomic { restarts < RESTARTS && MAY_RESTART(h) ->                                     \
        restarts++;                                                                          \
        held[h] = 0; even[h] = 0; odd[h] = 0;                                                \
        in_force[h] = 0; force_even[h] = 0; force_odd[h] = 0; highest[h] = 0; heard[h] = 0;  \
        printf("restart %d\n", h) }                                                          \
    /* a host that heard a peer puts nothing lower in force after it */                      \
    :: heard[h] > held[h] -> assert(false)

active proctype main() {
    do
    :: atomic { published < REVISIONS -> published++ }
    :: is_down -> is_down = false
    :: !is_down -> is_down = true
    HOST(0)
    HOST(1)
    HOST(2)
    UPDATE(0)
    UPDATE(1)
    od
}
