/*
 * At-most-once execution: a non-idempotent request is dispatched only after its claim is in the log.
 *
 * The model has one idempotency key. Callers submit it to several daemons concurrently and repeatedly. An
 * append may take effect immediately, late or never, and in each case its answer may be lost. The batcher
 * between a daemon and the log adds no further case, so it is not modelled. The log may become unavailable
 * and available again. Daemons may crash at any step and restart with a new incarnation.
 *
 * Checked: the key runs at most once; a submission that was refused as "not run" is not run, neither
 * before nor after the refusal.
 *
 * guard 1: the first claim by offset wins, not every claim that was appended
 * guard 2: an append without an answer is resolved by reading the log, not assumed to be stored
 * guard 3: a claim contains incarnation and sequence, not only its daemon
 * guard 4: a refused submission stays refused if its claim appears in the log later
 * guard 5: the claim is stored before the dispatch
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define DAEMONS 3
#define SUBMISSIONS 2 /* per daemon */
#define CRASHES 2     /* over all daemons */
#define OUTAGES 2
#define NOBODY 255

#define SUBMISSION(d, k) ((d) * SUBMISSIONS + (k))
#define CLAIMS (DAEMONS * (CRASHES + 1) * SUBMISSIONS)

/* Appends that were sent. An append that LogService never stores was lost. */
bool sent[CLAIMS];
byte firstClaim = NOBODY; /* claim of the key's first record; readers ignore later records */
bool logUp = true;
#if NO_GUARD == 1
bool appended[CLAIMS];
#endif

byte crashes = CRASHES;
byte runs = 0;
bool ran[DAEMONS * SUBMISSIONS];
bool refusedAsNotRun[DAEMONS * SUBMISSIONS];

/* Stores appends in any order, at any time while the log is up. */
active proctype LogService()
{
  byte claim;
  byte outages = OUTAGES;
end:
  do
  :: atomic {
       logUp && firstClaim == NOBODY ->
       select (claim : 0 .. CLAIMS - 1);
       if
       :: sent[claim] -> firstClaim = claim
       :: !sent[claim]
       fi;
       claim = 0
     }
#if NO_GUARD == 1
  :: atomic {
       logUp ->
       select (claim : 0 .. CLAIMS - 1);
       appended[claim] = sent[claim];
       claim = 0
     }
#endif
  :: atomic { logUp && outages > 0 -> logUp = false; outages-- }
  :: !logUp -> logUp = true
  od
}

inline Dispatch()
{
  runs++;
  ran[submission] = true;
  assert(runs <= 1);
  assert(!refusedAsNotRun[submission])
}

inline RefuseAsNotRun()
{
  refusedAsNotRun[submission] = true;
  assert(!ran[submission])
}

/* A crashed daemon loses its state; appends that it sent may still be stored. */
inline Crash()
{
  crashes--;
  incarnation++
}

proctype Daemon(byte self)
{
  byte incarnation = 0;
  byte submission, claim;
  byte taken = 0; /* submissions taken so far */

accept_work:
  atomic {
    claim = 0;
    submission = 0;
    if
    :: taken == SUBMISSIONS -> goto done
    :: taken < SUBMISSIONS ->
       submission = SUBMISSION(self, taken);
#if NO_GUARD == 3
       claim = self;
#else
       claim = (self * (CRASHES + 1) + incarnation) * SUBMISSIONS + taken;
#endif
       taken++
    fi
  }
#if NO_GUARD == 5
  atomic { Dispatch() }
#endif

send_claim:
  atomic {
    if
    :: sent[claim] = true
    :: crashes > 0 -> Crash(); goto accept_work
    fi
  }
#if NO_GUARD == 2
  goto dispatch;
#endif

  /* With or without an answer, only the log's content decides. Sending the append again changes nothing. */
resolve_claim:
  atomic {
    if
    :: logUp && firstClaim == claim -> goto dispatch
    :: logUp && firstClaim != NOBODY && firstClaim != claim ->
       goto accept_work /* subscribes to the winner's run, or answers "unknown" */
#if NO_GUARD == 1
    :: logUp && appended[claim] -> goto dispatch
#endif
    :: firstClaim == NOBODY || !logUp -> goto refuse
    :: crashes > 0 -> Crash(); goto accept_work
    fi
  }

dispatch:
  atomic {
    if
    :: Dispatch()
    :: crashes > 0 -> Crash()
    fi
  }
  goto accept_work;

refuse:
  atomic { RefuseAsNotRun() }
#if NO_GUARD == 4
  if
  :: goto resolve_claim /* still resolves the claim of the refused submission */
  :: goto accept_work
  fi;
#endif
  goto accept_work;

done:
  atomic {
    incarnation = 0;
    taken = 0
  }
}

init {
  atomic { run Daemon(0); run Daemon(1); run Daemon(2) }
}
