/*
 * Who may order endpoints: lease records in the log; the offset of a tenure's first record is its
 * fencing number.
 *
 * Candidates read the log, append a record on top of the one they saw last, and order an engine that
 * checks fencing numbers and one that does not. A candidate may be paused between any two steps; time
 * goes on meanwhile. There is no common clock: a holder counts its lease from before its append was
 * sent, the others from when they read the record. An append may take effect late or never and its
 * answer may be lost; it is settled by reading. A daemon that restarts is a new candidate.
 *
 * Checked for the engine that checks: no order of an older tenure is obeyed after one of a newer
 * tenure, however long the holder was paused, however late the order arrives, and even if the holder
 * goes on past its lease because the log is away; no two candidates share a number.
 * Checked for the engine that does not check: the same, as long as an order arrives within the
 * handover time after the holder looked at its lease. An order that arrives later is the one thing
 * that is not prevented there: it must be found by observing the engine, and corrected.
 *
 * guard 1: the engine refuses an order with an older fencing number
 * guard 2: the holder looks at its lease right before each order, not only when it renews
 * guard 3: a successor waits the handover time beyond the end of the lease
 * guard 4: a lease is counted from before its append was sent, not from when it was read back
 * guard 5: a record counts only on top of the record that was in force
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define CANDIDATES 2
#define LEASE 2
#define HANDOVER 1
#define LAST_TICK 5
#define RECORDS 4
#define NONE 255

byte now = 0; /* what every clock counts, suspension included */

/* The log. Offset 0 stands for "nobody yet"; records that do not count are left out. */
byte logEnd = 1;
byte holder[RECORDS];
byte tenure[RECORDS]; /* offset of the tenure's first record */
byte sentAt[RECORDS]; /* known to the sender only, by the record's sequence */
byte inForce = 0;

/* One append under way for each candidate. One that is never taken was lost. */
bool appending[CANDIDATES];
byte appendBase[CANDIDATES];
byte appendSentAt[CANDIDATES];

/* One order under way from each candidate to the engine that checks, for any time */
byte orderTenure[CANDIDATES];

/* Latest arrival of an order under way to the engine that does not check */
byte orderDue[CANDIDATES] = NONE;

/* What the engines have obeyed */
byte checkingHighest = 0;
byte checkingHolder[RECORDS] = NONE;
byte uncheckingHighest = 0;

/* Time may pass at any moment, but not beyond an order that has to be there by now */
active proctype Time()
{
end:
  do
  :: atomic {
       now < LAST_TICK && (orderDue[0] == NONE || now < orderDue[0]) &&
       (orderDue[1] == NONE || now < orderDue[1]) -> now++
     }
  od
}

inline TakeAppend(who)
{
  if
  :: appending[who] && logEnd < RECORDS &&
#if NO_GUARD == 5
     true ->
#else
     appendBase[who] == inForce ->
#endif
     holder[logEnd] = who;
     sentAt[logEnd] = appendSentAt[who];
     if
     :: inForce > 0 && holder[inForce] == who -> tenure[logEnd] = tenure[inForce]
     :: else -> tenure[logEnd] = logEnd
     fi;
     inForce = logEnd;
     logEnd++;
     appending[who] = false;
     appendBase[who] = 0;
     appendSentAt[who] = 0
  fi
}

active proctype LogService()
{
end:
  do
  :: atomic { TakeAppend(0) }
  :: atomic { TakeAppend(1) }
  od
}

inline Obey(who)
{
  if
  :: orderTenure[who] > 0 ->
#if NO_GUARD != 1
     if
     :: orderTenure[who] >= checkingHighest ->
#endif
        assert(orderTenure[who] >= checkingHighest);
        assert(checkingHolder[orderTenure[who]] == NONE ||
               checkingHolder[orderTenure[who]] == who);
        checkingHolder[orderTenure[who]] = who;
        checkingHighest = orderTenure[who]
#if NO_GUARD != 1
     :: else /* stale_fencing */
     fi
#endif
     ;
     orderTenure[who] = 0
  fi
}

active proctype CheckingEngine()
{
end:
  do
  :: atomic { Obey(0) }
  :: atomic { Obey(1) }
  od
}

proctype Candidate(byte self)
{
  byte seen = 0;   /* record in force when it read last */
  byte seenAt = 0; /* when it read that record first */
  byte leaseEnd = 0;
  byte number = 0; /* its fencing number; 0: does not lead */

end:
  do
  /* Read the log */
  :: atomic {
       seen != inForce ->
       seen = inForce;
       seenAt = now;
       if
       :: holder[seen] == self ->
#if NO_GUARD == 4
          leaseEnd = now + LEASE;
#else
          leaseEnd = sentAt[seen] + LEASE;
#endif
          number = tenure[seen]
       :: else ->
          leaseEnd = 0;
          number = 0
       fi
     }

  /* Acquire or renew */
  :: atomic {
       !appending[self] && logEnd < RECORDS &&
       (seen == 0 || holder[seen] == self ||
#if NO_GUARD == 3
        now >= seenAt + LEASE) ->
#else
        now >= seenAt + LEASE + HANDOVER) ->
#endif
       appending[self] = true;
       appendBase[self] = seen;
       appendSentAt[self] = now
     }
  :: atomic { appending[self] -> appending[self] = false; appendBase[self] = 0; appendSentAt[self] = 0 }

  /* Order the engine that checks; the lease may have lapsed */
  :: atomic { number > 0 && orderTenure[self] == 0 -> orderTenure[self] = number }

  /* Order the engine that does not check: look, then send */
  :: atomic {
       number > 0 && orderDue[self] == NONE &&
#if NO_GUARD == 2
       true ->
#else
       now < leaseEnd ->
#endif
       orderDue[self] = now + HANDOVER
     }
  :: atomic {
       orderDue[self] != NONE ->
       assert(number >= uncheckingHighest);
       uncheckingHighest = number;
       orderDue[self] = NONE
     }
  od
}

init {
  atomic { run Candidate(0); run Candidate(1) }
}
