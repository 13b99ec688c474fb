/* Buckets of one account at two hosts, with loans between them, a capacity that moves from host 0
 * to host 1, restarts and lost messages.
 *
 * The clock is global and moves by `tick`; a term is TERM ticks, and drift is left out, so the
 * lender's lengthened term is TERM too. Loan 1 goes from host 0 to host 1, loan 2 the same way, or
 * the other way with -DBOTH_WAYS. Refill is any amount up to the room at any time. The rules are
 * those of each moment: rates and windows are not modelled.
 */

#define CAPACITY 2           /* of each host */
#define BURST 4              /* of the account: both capacities */
#define TERM 2               /* ticks: loan_term and settle_term */
#define LOANS 2
#define RESTARTS 2

#ifdef BOTH_WAYS
#define LENDER(l) (l)
#else
#define LENDER(l) 0
#endif
#define BORROWER(l) (1 - LENDER(l))

mtype = { closed, asked, granted, held, settled };   /* the borrower's side, with its messages */

byte level[2], lent[2];
byte capacity[2];
byte start_wait[2];          /* ticks until m_accrues_from */
byte settle_wait = 0;
bool is_moving = false, has_moved = false;
byte restarts = 0;

mtype loan[LOANS] = closed;
byte since_asked[LOANS];     /* ticks, at most TERM */
byte tokens[LOANS];          /* of the grant */
byte returned[LOANS];        /* of the settlement on the way */
bool is_over[LOANS];         /* the question's reservation has ended */

bool is_open[LOANS];         /* the lender's side */
byte open_tokens[LOANS];
byte since_lent[LOANS];

/* token_bucket::room */
#ifdef MUTANT_LEND_WITHOUT_CAPACITY
#define ROOM(h) capacity[h]
#else
#define ROOM(h) (capacity[h] > lent[h] -> capacity[h] - lent[h] : 0)
#endif

#ifdef MUTANT_USE_AFTER_TERM
#define USABLE(l) true
#else
#define USABLE(l) (since_asked[l] < TERM)
#endif

#ifdef MUTANT_END_EARLY
#define HOLD (TERM - 1)
#else
#define HOLD TERM
#endif

#ifdef MUTANT_NO_START_WAIT
#define START_WAIT 0
#else
#define START_WAIT TERM
#endif

#ifdef MUTANT_GAIN_WITHOUT_SETTLE_TERM
#define SETTLE_WAIT 0
#else
#define SETTLE_WAIT TERM
#endif

/* what the borrower may still spend of a grant */
#define AVAILABLE(l) (((loan[l] == granted || loan[l] == held) && USABLE(l)) -> tokens[l] : 0)

inline check() {
    assert(level[0] + level[1] + AVAILABLE(0) + AVAILABLE(1) <= BURST);
    assert(level[0] <= ROOM(0) && level[1] <= ROOM(1))
}

/* token_bucket::end_loan */
inline end_loan(l) {
    lent[LENDER(l)] = lent[LENDER(l)] - open_tokens[l];
    is_open[l] = false; open_tokens[l] = 0; since_lent[l] = 0
}

inline close_loan(l) {
    loan[l] = closed; tokens[l] = 0; returned[l] = 0; since_asked[l] = 0; is_over[l] = false
}

/* the lender's clock reaches the end of a loan: token_bucket::advance */
inline end_old(l) {
    if
    :: is_open[l] && since_lent[l] >= HOLD -> end_loan(l)
    :: else -> skip
    fi
}

inline tick() {
    if :: loan[0] != closed && since_asked[0] < TERM -> since_asked[0]++ :: else -> skip fi;
    if :: loan[1] != closed && since_asked[1] < TERM -> since_asked[1]++ :: else -> skip fi;
    if :: is_open[0] -> since_lent[0]++ :: else -> skip fi;
    if :: is_open[1] -> since_lent[1]++ :: else -> skip fi;
    if :: start_wait[0] > 0 -> start_wait[0]-- :: else -> skip fi;
    if :: start_wait[1] > 0 -> start_wait[1]-- :: else -> skip fi;
    if :: settle_wait > 0 -> settle_wait-- :: else -> skip fi;
    end_old(0);
    end_old(1)
}

/* a new process: nothing is remembered */
inline restart(h) {
    restarts++;
    level[h] = 0; lent[h] = 0;
    start_wait[h] = START_WAIT;
    restart_loan(h, 0);
    restart_loan(h, 1)
}

inline restart_loan(h, l) {
    if
    :: LENDER(l) == h && is_open[l] -> is_open[l] = false; open_tokens[l] = 0; since_lent[l] = 0
    :: else -> skip
    fi;
    /* a settlement on the way to the earlier incarnation stays: its loan is unknown there */
    if
    :: BORROWER(l) == h && loan[l] != closed && loan[l] != settled -> close_loan(l)
    :: else -> skip
    fi
}

/* limiter::close: what is settled, spent or returned */
inline settle(l, back) {
    returned[l] = back;
    loan[l] = settled
}

#define LOAN(l)                                                                              \
    /* limiter::request_missing_of */                                                        \
    :: atomic { loan[l] == closed && !is_open[l] -> loan[l] = asked; since_asked[l] = 0 }    \
    /* limiter::on_loan_request, token_bucket::lend */                                       \
    :: atomic { loan[l] == asked && level[LENDER(l)] > 0 && !is_open[l] ->                   \
        if                                                                                   \
        :: tokens[l] = 1                                                                     \
        :: tokens[l] = level[LENDER(l)]                                                      \
        fi;                                                                                  \
        LEND(l);                                                                             \
        open_tokens[l] = tokens[l];                                                          \
        lent[LENDER(l)] = lent[LENDER(l)] + tokens[l];                                       \
        is_open[l] = true; since_lent[l] = 0;                                                \
        loan[l] = granted; check() }                                                         \
    /* the reservation ends before the grant comes */                                        \
    :: atomic { loan[l] == asked || loan[l] == granted -> is_over[l] = true }                \
    /* limiter::on_loan_grant */                                                             \
    :: atomic { loan[l] == granted ->                                                        \
        ARRIVES(l);                                                                          \
        if                                                                                   \
        :: is_over[l] -> settle(l, tokens[l])                                                \
        :: else -> loan[l] = held                                                            \
        fi; check() }                                                                        \
    /* limiter::close: spent, given back in part, or too late */                             \
    :: atomic { loan[l] == held && USABLE(l) -> settle(l, SPENT_BACK(l)); check() }          \
    :: atomic { loan[l] == held && USABLE(l) -> settle(l, tokens[l]); check() }              \
    :: atomic { loan[l] == held && !(USABLE(l)) -> settle(l, 0); check() }                   \
    /* limiter::on_loan_settle, token_bucket::settle */                                      \
    :: atomic { loan[l] == settled ->                                                        \
        if                                                                                   \
        :: is_open[l] ->                                                                     \
            end_loan(l);                                                                     \
            GAIN(LENDER(l), returned[l])                                                     \
        :: else -> NOT_OPEN(l)                                                               \
        fi;                                                                                  \
        close_loan(l); check() }                                                             \
    /* the links lose */                                                                     \
    :: atomic { loan[l] == asked || loan[l] == granted || loan[l] == settled -> close_loan(l) }

#define GAIN(h, amount) \
    level[h] = (level[h] + amount < ROOM(h) -> level[h] + amount : ROOM(h))

#ifdef MUTANT_LEND_WITHOUT_SUBTRACTING
#define LEND(l) skip
#else
#define LEND(l) level[LENDER(l)] = level[LENDER(l)] - tokens[l]
#endif

#ifdef MUTANT_TERM_FROM_ANSWER
#define ARRIVES(l) since_asked[l] = 0
#else
#define ARRIVES(l) skip
#endif

#ifdef MUTANT_SETTLE_ENDED_LOAN
/* adds what comes back past the room */
#define NOT_OPEN(l) level[LENDER(l)] = level[LENDER(l)] + returned[l]
#else
#define NOT_OPEN(l) skip
#endif

#define SPENT_BACK(l) (tokens[l] - 1)   /* one token was spent */

#define HOST(h)                                                                              \
    /* token_bucket::refill */                                                               \
    :: atomic { level[h] < ROOM(h) && start_wait[h] == 0 -> level[h] = ROOM(h); check() }    \
    :: atomic { level[h] < ROOM(h) && start_wait[h] == 0 -> level[h]++; check() }            \
    /* token_bucket::take_up_to */                                                           \
    :: atomic { level[h] > 0 -> level[h]-- }                                                 \
    :: atomic { restarts < RESTARTS -> restart(h); check() }

active proctype main() {
    capacity[0] = CAPACITY;
    capacity[1] = CAPACITY;
    start_wait[0] = START_WAIT;
    start_wait[1] = START_WAIT;
    do
    :: atomic { true -> tick(); check() }
    HOST(0)
    HOST(1)
    LOAN(0)
    LOAN(1)
    /* token_bucket::set_rights: one token of capacity leaves host 0, and comes to host 1 when
     * the loans that rested on it have ended: host_shares::committed */
    :: atomic { !is_moving && !has_moved ->
        is_moving = true;
        capacity[0]--;
        settle_wait = SETTLE_WAIT;
        level[0] = (level[0] < ROOM(0) -> level[0] : ROOM(0));
        check() }
    :: atomic { is_moving && settle_wait == 0 ->
        is_moving = false; has_moved = true; capacity[1]++; check() }
    od
}
