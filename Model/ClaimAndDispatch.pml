/*
 * At most once: a claim in the log before a non-idempotent request is dispatched.
 *
 * One idempotency key. Callers submit it to several daemons at once, and again. An append may take
 * effect at once, late, or never, and its answer may be lost either way; the batcher between a daemon
 * and the log adds no further case. The log goes away and comes back. Daemons crash at any step and
 * return under a new incarnation.
 *
 * Checked: the key runs at most once; a submission that was refused as "not run" is not run, neither
 * before nor after the refusal.
 *
 * guard 1: the first claim by offset wins, not every claim that was appended
 * guard 2: an append without an answer is settled by reading, not taken for done
 * guard 3: a claim names incarnation and sequence, not only its daemon
 * guard 4: a submission that was refused stays refused when its claim appears later
 * guard 5: the claim comes before the dispatch
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

/* Appends that were sent. One that is never taken was lost. */
bool sent[CLAIMS];
byte firstClaim = NOBODY; /* of the key's first record; readers heed no later one */
bool logUp = true;
#if NO_GUARD == 1
bool appended[CLAIMS];
#endif

byte crashes = CRASHES;
byte runs = 0;
bool ran[DAEMONS * SUBMISSIONS];
bool saidNo[DAEMONS * SUBMISSIONS];

/* Takes appends in any order, at any time while it is up. */
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
  assert(!saidNo[submission])
}

inline RefuseAsNotRun()
{
  saidNo[submission] = true;
  assert(!ran[submission])
}

/* A crashed daemon keeps nothing; what it sent may still reach the log. */
inline Crash()
{
  crashes--;
  incarnation++
}

proctype Daemon(byte self)
{
  byte incarnation = 0;
  byte submission, claim;
  byte next = 0; /* submissions taken so far */

accept_work:
  atomic {
    claim = 0;
    submission = 0;
    if
    :: next == SUBMISSIONS -> goto done
    :: next < SUBMISSIONS ->
       submission = SUBMISSION(self, next);
#if NO_GUARD == 3
       claim = self;
#else
       claim = (self * (CRASHES + 1) + incarnation) * SUBMISSIONS + next;
#endif
       next++
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

  /* With or without an answer: only what stands in the log counts. Sending again changes nothing. */
settle:
  atomic {
    if
    :: logUp && firstClaim == claim -> goto dispatch
    :: logUp && firstClaim != NOBODY && firstClaim != claim ->
       goto accept_work /* joins the winner, or answers "unknown" */
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
  :: goto settle /* goes on settling the claim of what it has refused */
  :: goto accept_work
  fi;
#endif
  goto accept_work;

done:
  atomic {
    incarnation = 0;
    next = 0
  }
}

init {
  atomic { run Daemon(0); run Daemon(1); run Daemon(2) }
}
