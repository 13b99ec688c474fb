/* Fractions of one failure domain's rights at HOSTS hosts: host_shares, with host lists that lag,
 * claims and answers that are lost, delayed and reordered, pauses, and restarts without memory.
 *
 * Names follow src/process/limits/host_shares.cpp; each inline is the function named before it.
 * Fractions are whole parts of UNIT, rounded against the holder. Time is a global tick; ages are
 * kept up to the longest term, so time itself has no bound. Drift is remaining out: the ends of a term
 * at its holder and its granter coincide at worst. A host may act late in every step; what a
 * paused host would use if it acted now is counted at each moment. `rest` is what its loans may
 * still rest on for SETTLE ticks after its fraction fell.
 *
 * Bounds: RESTARTS, LISTS (revisions), QUESTIONS open at once from one host to another.
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef QUESTIONS
#define QUESTIONS 1
#endif
#ifndef CLAIMS
#define CLAIMS 255           /* no bound */
#endif
#ifndef FIRST_LIST
#define FIRST_LIST 0         /* revision that all hosts start with; 0: none */
#endif
#define UNIT 12
#define HOLD 1               /* ticks */
#define ISOLATION 2
#define SETTLE 1
#ifndef REPORT_TERM
#define REPORT_TERM ISOLATION
#endif
#define OLDEST 3             /* ISOLATION + SETTLE */

#if HOSTS == 3
/* 1: hosts 0 and 1; 2: host 2 joins; 3: host 1 is dropped */
#define LISTS 3
#define IS_LISTED(revision, host) \
    ((revision == 1 && host != 2) || revision == 2 || (revision == 3 && host != 1))
#define IS_LIVE(revision, host) IS_LISTED(revision, host)
#else
/* 1: both hosts; 2: host 1 is listed as leaving; 3 (DROPS): host 1 is not listed any more */
#ifdef DROPS
#define LISTS 3
#else
#define LISTS 2
#endif
#define IS_LISTED(revision, host) (revision == 1 || revision == 2 || (revision == 3 && host == 0))
#define IS_LIVE(revision, host) (revision == 1 || (revision >= 2 && host == 0))
#endif

#define PAIRS (HOSTS * HOSTS)
#define SLOTS (PAIRS * QUESTIONS)
#define P(i, j) ((i) * HOSTS + (j))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

mtype = { none, claim, answer };

/* a host */
byte incarnation[HOSTS];
byte revision[HOSTS];
byte fraction[HOSTS];
byte settling[HOSTS];
byte settle_left[HOSTS];
byte rest[HOSTS];            /* of its loans, not known to it */
byte rest_left[HOSTS];
byte least_list[HOSTS];      /* a new process takes no list older than its predecessor's */
bool is_complete[HOSTS];      /* knows of every host that may use something */
byte start_age[HOSTS];       /* of its process */
byte restarts = 0;
byte claims = 0;

/* what a host remembers of another: P(host, other) */
byte known[PAIRS];           /* incarnation; 0: none */
byte retired[PAIRS];         /* bit for each incarnation */
byte lingering[PAIRS], linger_left[PAIRS];
bool has_claimed[PAIRS];
byte granted[PAIRS], granted_age[PAIRS];
bool has_consented[PAIRS];
byte received[PAIRS], received_age[PAIRS];
bool has_promise[PAIRS];
byte promised[PAIRS];
byte newcomer[PAIRS];        /* revision; 0: none */
#if HOSTS == 3
byte report[PAIRS], report_of[PAIRS], report_left[PAIRS];  /* of the third host */
#endif

/* one question and its answer: P(asker, asked) * QUESTIONS + slot */
mtype message[SLOTS] = none;
byte asker_is[SLOTS];        /* incarnations */
byte asked_is[SLOTS];
byte age[SLOTS];             /* since asked */
byte claim_revision[SLOTS];
bool since[SLOTS];           /* the asker has answered the asked host since */
bool is_older[SLOTS];        /* a newer question was sent */
bool is_stale[SLOTS];        /* the answer to a newer question has come */
bool is_overtaken[SLOTS];    /* the asker has since taken the asked host's incarnation as new */
bool vouches[SLOTS];         /* the answerer is complete */
byte told[SLOTS];            /* fraction of the answerer */
byte consent[SLOTS];
#if HOSTS == 3
byte told_report[SLOTS], told_report_of[SLOTS], told_report_left[SLOTS];
#endif

#if HOSTS == 3
#define forget_report(p) report[p] = 0; report_of[p] = 0; report_left[p] = 0
#else
#define forget_report(p) skip
#endif

#if HOSTS == 3
#define clear_report(s) told_report[s] = 0; told_report_of[s] = 0; told_report_left[s] = 0
#else
#define clear_report(s) skip
#endif

#if HOSTS == 3
#define tick_report(p) if :: report_left[p] > 0 -> report_left[p]-- :: else -> skip fi; \
    if :: report_left[p] == 0 -> report[p] = 0; report_of[p] = 0 :: else -> skip fi
#else
#define tick_report(p) skip
#endif

#if HOSTS == 3
#define take_report(p, s) report[p] = told_report[s]; report_of[p] = told_report_of[s]; \
    report_left[p] = told_report_left[s]
#else
#define take_report(p, s) skip
#endif

#if HOSTS != 3
#define make_report(i, j, s) skip
#endif

/* scratch of the steps, not part of the state */
hidden byte a, b, k, p, x, s;
hidden byte allowed[HOSTS];
hidden byte each, live, usable, wanted, before, total, was;
hidden int remaining, targets, room;

#ifdef MUTANT_NO_SETTLING
#define GRANTER_SETTLE 0
#else
#define GRANTER_SETTLE SETTLE
#endif
#ifdef MUTANT_GRANT_ENDS_EARLY
#define GRANTER_HOLD 0
#else
#define GRANTER_HOLD HOLD
#endif

#define LINGERS(p) (linger_left[p] > 0 -> lingering[p] : 0)
/* host_shares::allowance */
#define ALLOWANCE(p) (LINGERS(p) + \
    (granted_age[p] < GRANTER_HOLD + GRANTER_SETTLE -> granted[p] : \
    (granted_age[p] < ISOLATION + GRANTER_SETTLE -> (granted[p] + 1) / 2 : 0)))

/* host_shares::consented */
#ifdef MUTANT_KEEP_WITHOUT_CONSENT
#define CONSENTED(p) (has_consented[p] -> received[p] : 0)
#else
#define CONSENTED(p) (!has_consented[p] -> 0 : (received_age[p] < HOLD -> received[p] : \
    (received_age[p] < ISOLATION -> received[p] / 2 : 0)))
#endif

/* host_shares::committed */
#ifdef MUTANT_NO_SETTLING
#define COMMITTED(i) fraction[i]
#else
#define COMMITTED(i) (settle_left[i] > 0 -> MAX(fraction[i], settling[i]) : fraction[i])
#endif

/* host_shares::forgotten: what hosts may use by consents that the host has forgotten; the rule
 * (counts_forgotten_consents) is needed and on where a list drops a running host */
#if defined(USES_AT_ONCE) || !defined(DROPS)
#define UNKNOWN(i) 0
#else
#define UNKNOWN(i) (is_complete[i] -> 0 : (start_age[i] < HOLD + GRANTER_SETTLE -> UNIT : \
    (start_age[i] < ISOLATION + GRANTER_SETTLE -> (UNIT + 1) / 2 : 0)))
#endif

#define IS_RETIRED(p, n) ((retired[p] >> (n)) & 1)

/* host_shares::allowances and reported, into allowed[] */
inline find_allowances(i) {
    k = 0;
    do
    :: k < HOSTS ->
        allowed[k] = 0;
#if HOSTS == 3
        if
        :: k != i ->
            p = P(i, 3 - i - k);  /* the host that reports of k */
            if
            :: report_left[p] > 0 && !IS_RETIRED(P(i, k), report_of[p]) -> allowed[k] = report[p]
            :: else -> skip
            fi
        :: else -> skip
        fi;
#endif
        p = P(i, k);
        if
        :: k != i && (has_claimed[p] || linger_left[p] > 0) -> allowed[k] = ALLOWANCE(p)
        :: else -> skip
        fi;
        k++
    :: else -> break
    od;
    k = 0
}

/* host_shares::target and scale: the target times its factor, into wanted */
inline find_wanted(i) {
    live = (revision[i] > 0 && IS_LIVE(revision[i], i) -> 1 : 0);
    k = 0;
    do
    :: k < HOSTS ->
        if
        :: k != i && revision[i] > 0 && IS_LIVE(revision[i], k) -> live++
        :: else -> skip
        fi;
        if
        :: k != i && newcomer[P(i, k)] > 0 -> live++
        :: else -> skip
        fi;
        k++
    :: else -> break
    od;
    each = (live == 0 -> 0 : UNIT / live);
    remaining = UNIT - UNKNOWN(i);
    targets = UNIT;
    k = 0;
    do
    :: k < HOSTS ->
        if
        :: k != i ->
            x = ((revision[i] > 0 && IS_LIVE(revision[i], k)) || newcomer[P(i, k)] > 0 ->
                each : 0);
            if
            :: allowed[k] > x -> remaining = remaining - allowed[k]; targets = targets - x
            :: else -> skip
            fi
        :: else -> skip
        fi;
        k++
    :: else -> break
    od;
    if
    :: targets <= 0 || remaining <= 0 -> wanted = 0
    :: else -> wanted = MIN(each, (each * remaining) / targets)
    fi;
    k = 0; x = 0; remaining = 0; targets = 0
}

/* what host_shares::update would let the host use now, into usable */
inline find_usable(i) {
    find_allowances(i);
    find_wanted(i);
    usable = (revision[i] > 0 && IS_LIVE(revision[i], i) -> wanted : 0);
#ifndef MUTANT_GAIN_WITHOUT_WAIT
    room = UNIT - UNKNOWN(i);
    k = 0;
    do
    :: k < HOSTS -> room = room - (k != i -> allowed[k] : 0); k++
    :: else -> break
    od;
    usable = (room <= 0 -> 0 : MIN(usable, room));
    k = 0;
    do
    :: k < HOSTS ->
        if
        :: k != i && revision[i] > 0 && IS_LISTED(revision[i], k) ->
            usable = MIN(usable, CONSENTED(P(i, k)))
        :: else -> skip
        fi;
        k++
    :: else -> break
    od;
#endif
    k = 0; room = 0
}

/* host_shares::update */
inline update(i) {
    find_usable(i);
    if
    :: usable < fraction[i] ->
        settling[i] = COMMITTED(i);
        settle_left[i] = SETTLE
    :: else -> skip
    fi;
    fraction[i] = usable
}

/* the rule: all that is used, or that loans may rest on, is at most the whole */
inline check() {
    total = 0;
    a = 0;
    do
    :: a < HOSTS ->
        find_usable(a);
        if
        :: usable >= rest[a] -> rest[a] = usable; rest_left[a] = SETTLE
        :: else -> skip
        fi;
        total = total + rest[a];
        a++
    :: else -> break
    od;
    assert(total <= UNIT);
    a = 0; total = 0; usable = 0; wanted = 0; each = 0; live = 0; p = 0
}

/* host_shares::retire */
inline retire(p) {
#ifdef MUTANT_RETIRE_AT_ONCE
    was = 0;
#else
    was = ALLOWANCE(p);
#endif
    retired[p] = retired[p] | (1 << known[p]);
    lingering[p] = was;
    linger_left[p] = SETTLE;
    known[p] = 0;
    has_claimed[p] = false; granted[p] = 0; granted_age[p] = OLDEST;
    has_consented[p] = false; received[p] = 0; received_age[p] = OLDEST;
    has_promise[p] = false; promised[p] = 0;
    forget_report(p);
    was = 0
}

/* host_shares::accept: the record is p, the sender's incarnation n */
inline accept(p, n) {
    if
    :: known[p] != n && known[p] != 0 -> retire(p)
    :: else -> skip
    fi;
    known[p] = n
}

/* host_shares::apply */
inline apply(i, to) {
    revision[i] = to;
    k = 0;
    do
    :: k < HOSTS ->
        if
        :: newcomer[P(i, k)] <= to -> newcomer[P(i, k)] = 0
        :: else -> skip
        fi;
        k++
    :: else -> break
    od;
    k = 0;
    update(i)
}

inline clear(s) {
    message[s] = none; asker_is[s] = 0; asked_is[s] = 0; age[s] = 0; claim_revision[s] = 0;
    since[s] = false; is_older[s] = false; is_stale[s] = false; vouches[s] = false;
    is_overtaken[s] = false;
    told[s] = 0; consent[s] = 0;
    clear_report(s)
}

/* host_shares::grant: asker i of host j; into was */
inline grant(i, j, s) {
    p = P(j, i);
    was = 0;
    if
    :: !(revision[j] > 0 && IS_LIVE(revision[j], i)) && newcomer[P(j, i)] == 0 &&
        claim_revision[s] <= revision[j] -> skip
    :: else ->
        find_allowances(j);
        find_wanted(j);
        room = UNIT - COMMITTED(j) - UNKNOWN(j);
        k = 0;
        do
        :: k < HOSTS -> room = room - (k != j && k != i -> allowed[k] : 0); k++
        :: else -> break
        od;
        k = 0;
        p = P(j, i);
        before = (has_claimed[p] -> ALLOWANCE(p) : 0);
        room = MAX(room, before);
#ifdef GRANTS_WITHOUT_ROOM
        was = wanted;
#else
        was = (room <= 0 -> 0 : MIN(wanted, room));
#endif
        granted[p] = MAX(before, was);
        granted_age[p] = 0;
        has_claimed[p] = true;
        room = 0; before = 0
    fi
}

/* host_shares::on_claim at host j */
inline on_claim(i, j, s) {
    if
    :: IS_RETIRED(P(j, i), asker_is[s]) -> clear(s)
    :: else ->
        b = 0;
        do
        :: b < QUESTIONS ->
            if
            :: known[P(j, i)] != asker_is[s] && message[P(j, i) * QUESTIONS + b] != none ->
                is_overtaken[P(j, i) * QUESTIONS + b] = true
            :: else -> skip
            fi;
            b++
        :: else -> break
        od;
        b = 0;
        accept(P(j, i), asker_is[s]);
        if
        :: !(revision[j] > 0 && IS_LISTED(revision[j], i)) && claim_revision[s] > revision[j] ->
            newcomer[P(j, i)] = claim_revision[s]
        :: else -> skip
        fi;
        update(j);
        grant(i, j, s);
        consent[s] = was;
        was = 0;
        update(j);
        told[s] = COMMITTED(j);
        vouches[s] = is_complete[j];
        p = P(j, i);
        promised[p] = told[s];
        has_promise[p] = true;
#ifndef MUTANT_OLD_CONSENTS
        received[p] = MIN(received[p], told[s]);
#endif
        /* questions of j to i under way were asked before this promise */
        b = 0;
        do
        :: b < QUESTIONS ->
            if
            :: message[p * QUESTIONS + b] != none -> since[p * QUESTIONS + b] = true
            :: else -> skip
            fi;
            b++
        :: else -> break
        od;
        b = 0;
        make_report(i, j, s);
        if
        :: asker_is[s] != incarnation[i] -> clear(s)  /* nobody waits for the answer */
        :: else -> message[s] = answer; asked_is[s] = incarnation[j]
        fi;
        p = 0
    fi
}

#if HOSTS == 3
/* host_shares::unlisted_shares, of the third host */
inline make_report(i, j, s) {
    k = 3 - i - j;
    x = P(j, k);
    if
    :: has_claimed[x] && !(revision[j] > 0 && IS_LIVE(revision[j], k)) && ALLOWANCE(x) > 0 ->
        told_report[s] = ALLOWANCE(x);
        told_report_of[s] = known[x];
        told_report_left[s] = (granted_age[x] < REPORT_TERM -> REPORT_TERM - granted_age[x] : 0)
    :: else ->
        if
        :: report_left[P(j, i)] > 0 && !has_claimed[x] &&
            !(revision[j] > 0 && IS_LIVE(revision[j], k)) &&
            !IS_RETIRED(x, report_of[P(j, i)]) ->
            told_report[s] = report[P(j, i)];
            told_report_of[s] = report_of[P(j, i)];
            told_report_left[s] = report_left[P(j, i)]
        :: else -> skip
        fi
    fi;
    k = 0; x = 0
}
#endif

/* host_shares::on_answer at host i */
inline on_answer(i, j, s) {
    if
    :: IS_RETIRED(P(i, j), asked_is[s]) || asker_is[s] != incarnation[i] -> skip
#ifndef OLD_ANSWER_REPLACES
    /* it may come from the incarnation before the known one */
    :: is_overtaken[s] && known[P(i, j)] != asked_is[s] -> skip
#endif
    :: else ->
        accept(P(i, j), asked_is[s]);
        p = P(i, j);
        if
#ifndef FORGETS_WITNESS
        :: (!has_claimed[p] || !is_complete[i]) && told[s] > 0 ->
            has_claimed[p] = true; granted[p] = MAX(granted[p], told[s]); granted_age[p] = 0
#endif
        :: else -> skip
        fi;
        is_complete[i] = is_complete[i] || vouches[s];
        if
#ifdef MUTANT_ANSWER_UNDOES_GRANT
        :: true ->
#else
        :: !has_claimed[p] || !since[s] ->
#endif
            granted[p] = MIN(granted[p], told[s])
#ifndef MUTANT_ANSWER_UNDOES_GRANT
        :: else -> skip
#endif
        fi;
        if
        :: is_stale[s] -> skip
        :: else ->
            received[p] = consent[s];
#ifdef MUTANT_TERM_FROM_ANSWER
            received_age[p] = 0;
#else
            received_age[p] = age[s];
#endif
            has_consented[p] = true;
            if
#ifndef MUTANT_OLD_CONSENTS
            :: has_promise[p] && since[s] -> received[p] = MIN(consent[s], promised[p])
#endif
            :: else -> skip
            fi;
            take_report(p, s)
        fi;
        b = 0;
        do
        :: b < QUESTIONS ->
            if
            :: message[p * QUESTIONS + b] != none && is_older[p * QUESTIONS + b] && !is_older[s] ->
                is_stale[p * QUESTIONS + b] = true
            :: else -> skip
            fi;
            b++
        :: else -> break
        od;
        b = 0; p = 0;
        update(i)
    fi;
    clear(s)
}

inline send_claim(i, j, s) {
    b = 0;
    do
    :: b < QUESTIONS -> is_older[P(i, j) * QUESTIONS + b] =
            (message[P(i, j) * QUESTIONS + b] != none -> true : false); b++
    :: else -> break
    od;
    b = 0;
    clear(s);
    message[s] = claim;
    asker_is[s] = incarnation[i];
    claim_revision[s] = revision[i]
}

inline tick() {
    a = 0;
    do
    :: a < HOSTS ->
        if :: settle_left[a] > 0 -> settle_left[a]-- :: else -> skip fi;
        if :: settle_left[a] == 0 -> settling[a] = 0 :: else -> skip fi;
        if :: !is_complete[a] && start_age[a] < OLDEST -> start_age[a]++ :: else -> skip fi;
        if :: start_age[a] == OLDEST -> is_complete[a] = true; start_age[a] = 0 :: else -> skip fi;
        if :: rest_left[a] > 0 -> rest_left[a]-- :: else -> skip fi;
        if :: rest_left[a] == 0 -> rest[a] = 0 :: else -> skip fi;
        a++
    :: else -> break
    od;
    a = 0;
    do
    :: a < PAIRS ->
        if :: linger_left[a] > 0 -> linger_left[a]-- :: else -> skip fi;
        if :: linger_left[a] == 0 -> lingering[a] = 0 :: else -> skip fi;
        if :: granted_age[a] < OLDEST -> granted_age[a]++ :: else -> skip fi;
        if :: received_age[a] < OLDEST -> received_age[a]++ :: else -> skip fi;
        tick_report(a);
        a++
    :: else -> break
    od;
    a = 0;
    do
    :: a < SLOTS ->
        if :: message[a] != none && age[a] < OLDEST -> age[a]++ :: else -> skip fi;
        a++
    :: else -> break
    od;
    a = 0
}

/* a new process of host i */
inline restart(i) {
    restarts++;
    incarnation[i]++;
#ifndef LISTS_GO_BACK
    least_list[i] = revision[i];
#endif
    is_complete[i] = false; start_age[i] = 0;
    revision[i] = 0; fraction[i] = 0; settling[i] = 0; settle_left[i] = 0;
    x = 0;
    do
    :: x < HOSTS ->
        p = P(i, x);
        known[p] = 0; retired[p] = 0; lingering[p] = 0; linger_left[p] = 0;
        has_claimed[p] = false; granted[p] = 0; granted_age[p] = OLDEST;
        has_consented[p] = false; received[p] = 0; received_age[p] = OLDEST;
        has_promise[p] = false; promised[p] = 0; newcomer[p] = 0;
        forget_report(p);
        /* claims of the earlier process may still come; answers to it are dropped */
        b = 0;
        do
        :: b < QUESTIONS ->
            if
            :: message[p * QUESTIONS + b] == answer -> clear(p * QUESTIONS + b)
            :: else -> skip
            fi;
            b++
        :: else -> break
        od;
        x++
    :: else -> break
    od;
    x = 0; b = 0; p = 0
}

#define ASKS(i, j) ((revision[i] > 0 && IS_LISTED(revision[i], j)) || granted[P(i, j)] > 0)

#define SLOT(i, j, s)                                                                        \
    :: d_step { message[s] == none && ASKS(i, j) && claims < CLAIMS ->                       \
        if :: CLAIMS < 255 -> claims++ :: else -> skip fi;                                   \
        send_claim(i, j, s) }                                                                \
    :: d_step { message[s] == claim -> on_claim(i, j, s); check() }                          \
    :: d_step { message[s] == answer -> on_answer(i, j, s); check() }                        \
    :: d_step { message[s] != none -> clear(s) }

#if QUESTIONS == 2
#define LINK(i, j) SLOT(i, j, (P(i, j) * 2)) SLOT(i, j, (P(i, j) * 2 + 1))
#else
#define LINK(i, j) SLOT(i, j, P(i, j))
#endif

/* host_shares::advance; with PAUSES a pause is a step not taken, else each tick is heard */
#ifdef PAUSES
#define ADVANCE(i) :: d_step { true -> update(i); check() }
#define ADVANCE_ALL skip
#else
#define ADVANCE(i)
#define ADVANCE_ALL a = 0; do :: a < HOSTS -> update(a); a++ :: else -> break od; a = 0
#endif

#define HOST(i)                                                                              \
    :: d_step { revision[i] < 1 && least_list[i] <= 1 -> apply(i, 1); check() }              \
    :: d_step { revision[i] < 2 && least_list[i] <= 2 -> apply(i, 2); check() }              \
    :: d_step { revision[i] < 3 && LISTS == 3 -> apply(i, 3); check() }                                    \
    :: d_step { restarts < RESTARTS -> restart(i); check() }                                 \
    ADVANCE(i)

active proctype main() {
    d_step {
        a = 0;
        do
        :: a < HOSTS -> incarnation[a] = 1; revision[a] = FIRST_LIST; is_complete[a] = true; a++
        :: else -> break
        od;
        a = 0;
        do
        :: a < PAIRS -> granted_age[a] = OLDEST; received_age[a] = OLDEST; a++
        :: else -> break
        od;
        a = 0
    }
    do
    :: d_step { true -> tick(); check(); ADVANCE_ALL }
    HOST(0)
    HOST(1)
    LINK(0, 1)
    LINK(1, 0)
#if HOSTS == 3
    HOST(2)
    LINK(0, 2)
    LINK(2, 0)
    LINK(1, 2)
    LINK(2, 1)
#endif
    od
}
