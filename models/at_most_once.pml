/* One ticket of a profile that is not idempotent: callers that repeat it through two hosts, the
 * entry process that made it and may be replaced, two dispatch processes that may pause and crash,
 * and an endpoint whose answer may be lost.
 *
 * Each choice of `main` is one step of one process; the names of the C++ functions stand beside.
 * The printed lines are the trace that tests/process/ticket_trace_test.cpp holds the code against.
 * Options: LINK_DOUBLES lets the link double a message (the links of the project don't). For traces,
 * LATE holds the ends of process and ticket back, MAY_END and MAY_EXPIRE one; with CALM links and
 * dispatch processes don't fail, and no deadline passes.
 */

#ifndef CALLS
#define CALLS 3      /* presentations of the ticket */
#endif
#ifndef LATE
#define LATE 0       /* presentations before the process ends or the ticket expires, for traces */
#endif
#ifndef MAY_END
#define MAY_END true
#endif
#ifndef MAY_EXPIRE
#define MAY_EXPIRE true
#endif
#ifdef CALM
#define MAY_FAIL false
#else
#define MAY_FAIL true
#endif
#define ATTEMPTS 2   /* attempts of one request, one at each dispatch process */
#define ENTRY 0      /* the host that made the ticket; host 1 is the other one */
#define OLD 3        /* age at which a message is too old to start */
#define LIMIT 2      /* start_within */

mtype = { unused, running, lost, finished };          /* ticket_book::record */
mtype = { idle, queued, checked, handed, failed };    /* one job at a dispatch process */
mtype = { none, travelling };                         /* a message */
mtype = { no, unknown, whole };                       /* what a caller or the entry is told */

mtype book = unused;
bool made_by_this = true;   /* the running entry process made the ticket */
bool expired = false;
byte calls = 0;

/* a presentation that was checked but is not yet in the book, at the first host */
bool presented = false;
bool entry_runs = false;    /* a request_runner is under way for the ticket */
byte attempt = 0;           /* dispatch process of the current attempt, plus one */
bool tried[2];              /* had_it: tried by the current request */

mtype request[2] = none;    /* dispatch_request on the way to that process */
byte request_age[2];
bool request_is_current[2]; /* sent by the attempt under way, so its answer is awaited */
mtype event[2] = none;      /* dispatch_event on the way back */
mtype event_says[2] = unknown;
bool event_is_current[2];

mtype job[2] = idle;
byte job_age[2];
bool job_is_current[2];     /* its answer goes to the attempt under way */
bool job_is_released[2];    /* an attempt whose `ran: no` was told */

byte ran = 0;               /* runs at endpoints */
byte crashes = 0;
bool told_no = false;       /* the caller was told `ran: no` for its latest request */
byte ran_when_told = 0;
bool checked_late = false;  /* a job passed the last check although it was too old */

/* served_request::settle_ticket */
inline settle(answer) {
    entry_runs = false;
    attempt = 0;
    printf("settle %e\n", answer);
    if
    :: answer == no ->
        book = unused;
        told_no = true;
        ran_when_told = ran;
        job_is_released[0] = job[0] != idle;
        job_is_released[1] = job[1] != idle
    :: answer == unknown -> book = lost
    :: answer == whole -> book = finished
    fi;
    drop_current()
}

/* exchanges.close: later events of the attempt find nobody */
inline drop_current() {
    request_is_current[0] = false; request_is_current[1] = false;
    event_is_current[0] = false; event_is_current[1] = false;
    job_is_current[0] = false; job_is_current[1] = false
}

/* request_runner::start_attempt */
inline start_attempt(d) {
    tried[d] = true;
    attempt = d + 1;
    request[d] = travelling;
    request_age[d] = 0;
    request_is_current[d] = true
}

inline send_event(d, says) {
    event[d] = travelling;
    event_says[d] = says;
    event_is_current[d] = job_is_current[d]
}

inline end_job(d) {
    job[d] = idle; job_age[d] = 0; job_is_current[d] = false; job_is_released[d] = false
}

/* served_request::check_ticket at the host that made the ticket */
inline present() {
    calls++;
    if
#ifdef MUTANT_TICKET_ANY_INCARNATION
    :: true -> presented = true
#else
    :: made_by_this -> presented = !expired
    :: else -> skip      /* ticket_invalid, unknown */
#endif
    fi;
    printf("present %d\n", presented)
}

#ifdef MUTANT_BEGIN_EXPIRED
#define expired_and_refused false
#else
#define expired_and_refused expired
#endif

/* ticket_book::begin */
inline begin() {
    presented = false;
    if
#ifndef MUTANT_BEGIN_EXPIRED
    /* its record may be gone */
    :: expired && book == running -> printf("begin running\n")
    :: expired && book != running -> printf("begin expired\n")
#endif
    :: !expired_and_refused && book == unused ->
        printf("begin unused\n");
#ifndef MUTANT_REMEMBER_AFTER_SEND
        book = running;
#endif
        entry_runs = true;
        attempt = 0;
        told_no = false;
        tried[0] = false; tried[1] = false
    :: !expired_and_refused && book != unused -> printf("begin %e\n", book)
    fi
}

/* request_runner::on_failure; `says` is no or unknown */
inline on_failure(says) {
    if
#ifdef MUTANT_RETRY_AFTER_HANDOFF
    :: !tried[0] || !tried[1] -> attempt = 0; drop_current()
#else
    :: says == no && (!tried[0] || !tried[1]) -> attempt = 0; drop_current()
#endif
    :: else -> settle(says)
    fi
}

#ifdef MUTANT_SILENCE_IS_NO
#define SILENCE no
#else
#define SILENCE unknown
#endif

#ifdef LINK_DOUBLES
#define TAKEN(d) if :: true -> request[d] = none :: true -> skip fi
#else
#define TAKEN(d) request[d] = none
#endif

#define IS_FREE(d) (request[d] == none && event[d] == none && job[d] == idle)

/* steps of dispatch process d */
#define DISPATCH(d)                                                                          \
    /* dispatch_actor: submit and check_age */                                               \
    :: atomic { request[d] == travelling && job[d] == idle && event[d] == none ->            \
        TAKEN(d);                                                                            \
        job_is_current[d] = request_is_current[d];                                           \
        if                                                                                   \
        :: TOO_OLD(request_age[d]) -> send_event(d, no); end_job(d)                          \
        :: !(TOO_OLD(request_age[d])) -> job[d] = queued; job_age[d] = request_age[d]        \
        fi }                                                                                 \
    /* dispatcher::make_last_check on a worker */                                            \
    :: atomic { job[d] == queued && event[d] == none ->                                      \
        if                                                                                   \
        :: TOO_OLD(job_age[d]) -> send_event(d, no); end_job(d)                              \
        :: !(TOO_OLD(job_age[d])) -> job[d] = checked; checked_late = job_age[d] > LIMIT     \
        :: true -> send_event(d, no); end_job(d)  /* no endpoint, or cancelled, in the queue */ \
        fi }                                                                                 \
    /* endpoint_call: the bytes go out; nobody else gets them */                             \
    :: atomic { job[d] == checked ->                                                         \
        job[d] = handed;                                                                     \
        ran++;                                                                               \
        assert(ran <= 1);                                                                    \
        assert(!job_is_released[d]) }                                                        \
    /* no connection: no byte was handed over */                                             \
    :: atomic { job[d] == checked && event[d] == none -> send_event(d, no); end_job(d) }     \
    :: atomic { job[d] == handed && event[d] == none -> send_event(d, whole); end_job(d) }   \
    /* the endpoint's answer is lost */                                                      \
    :: atomic { job[d] == handed && event[d] == none -> send_event(d, LOST_ANSWER); end_job(d) } \
    :: atomic { job[d] != idle && crashes < 2 && MAY_FAIL -> crashes++; end_job(d) }         \
    /* the links lose and delay */                                                           \
    :: atomic { request[d] == travelling && MAY_FAIL -> request[d] = none }                  \
    :: atomic { event[d] == travelling && MAY_FAIL -> event[d] = none }                      \
    :: atomic { request[d] == travelling && request_age[d] < OLD -> request_age[d]++ }       \
    :: atomic { job[d] == queued && job_age[d] < OLD -> job_age[d]++ }                       \
    /* request_runner::on_event */                                                           \
    :: atomic { event[d] == travelling ->                                                    \
        event[d] = none;                                                                     \
        if                                                                                   \
        :: !(entry_runs && event_is_current[d] && attempt == d + 1) -> skip                  \
        :: entry_runs && event_is_current[d] && attempt == d + 1 ->                          \
            if                                                                               \
            :: event_says[d] == whole -> settle(whole)                                       \
            :: else -> on_failure(event_says[d])                                             \
            fi                                                                               \
        fi }                                                                                 \
    /* request_runner::start_attempt */                                                      \
    :: atomic { entry_runs && attempt == 0 && !tried[d] && IS_FREE(d) -> start_attempt(d) }

#ifdef MUTANT_NO_AGE_CHECK
#define TOO_OLD(age) false
#else
#define TOO_OLD(age) (age > LIMIT)
#endif

#ifdef MUTANT_LOST_ANSWER_IS_NO
#define LOST_ANSWER no
#else
#define LOST_ANSWER unknown
#endif

active proctype main() {
    do
    :: atomic { calls < CALLS && !presented -> present() }
    /* the other host answers ticket_elsewhere */
    :: atomic { calls < CALLS && !presented -> calls++;
#ifdef MUTANT_TICKET_ANY_HOST
        /* it has no record: it runs the request by itself, at a process of its own */
        if
        :: job[1] == idle && request[1] == none -> request[1] = travelling; request_age[1] = 0;
            request_is_current[1] = false
        :: else -> skip
        fi
#else
        skip
#endif
        }
    :: atomic { presented -> begin() }
#ifdef MUTANT_REMEMBER_AFTER_SEND
    :: atomic { entry_runs && attempt != 0 && book == unused -> book = running }
#endif
    DISPATCH(0)
    DISPATCH(1)
    /* no attempt is left to begin */
    :: atomic { entry_runs && attempt == 0 && tried[0] && tried[1] -> settle(no) }
#ifndef CALM
    /* request_runner: the deadline, a gone caller, a lost link, a silent dispatch process */
    :: atomic { entry_runs && attempt != 0 -> on_failure(SILENCE) }
#endif
    /* the entry process ends; the next incarnation has another secret and an empty book */
    :: atomic { made_by_this && calls >= LATE && MAY_END -> made_by_this = false; book = unused; entry_runs = false;
        presented = false; attempt = 0; drop_current(); printf("restart\n") }
    /* ticket_book::expire: the record goes once the ticket has expired, unless it runs */
    :: atomic { !expired && calls >= LATE && MAY_EXPIRE -> expired = true; printf("expire\n") }
    :: atomic { expired && (book == lost || book == finished) -> book = unused }
    /* the rules */
    :: atomic { checked_late -> assert(false) }
    :: atomic { told_no && ran != ran_when_told -> assert(false) }
    od
}
