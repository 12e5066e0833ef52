/*
 * Leadership, which authorizes orders to endpoints, is decided by lease records in the log. The offset of a
 * tenure's first record is its fencing number.
 *
 * Candidates read the log, append a record based on the last one that they read, and send orders to an
 * engine that checks fencing numbers and to one that does not. A candidate may be paused between any two
 * steps while time advances. There is no common clock: a holder measures its lease from before its append
 * was sent, the other candidates from when they read the record. An append may take effect late or never,
 * and its answer may be lost; its result is determined by reading. A daemon that restarts is a new candidate.
 *
 * Checked for the engine that checks: no order of an older tenure is executed after one of a newer tenure,
 * however long the holder was paused, however late the order arrives, and even if the holder continues
 * after the end of its lease because the log is unavailable; no two candidates have the same fencing number.
 * Checked for the engine that does not check: the same, as long as an order arrives within the handover
 * time after the holder checked its lease. Only an order that arrives later is not prevented there: it has
 * to be detected by observing the engine, and corrected.
 *
 * guard 1: the engine refuses an order with an older fencing number
 * guard 2: the holder checks its lease directly before each order, not only when it renews
 * guard 3: a successor waits the handover time beyond the end of the lease
 * guard 4: a lease is measured from before its append was sent, not from when it was read back
 * guard 5: a record takes effect only if its base is the record in force
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

byte now = 0; /* time of every clock, including suspension */

/* The log. Offset 0 means "no holder yet"; records that do not take effect are omitted. */
byte logEnd = 1;
byte holder[RECORDS];
byte tenure[RECORDS]; /* offset of the tenure's first record */
byte sentAt[RECORDS]; /* known to the sender only, by the record's sequence */
byte inForce = 0;

/* One append in flight for each candidate. An append that LogService never stores was lost. */
bool appending[CANDIDATES];
byte appendBase[CANDIDATES];
byte appendSentAt[CANDIDATES];

/* One order in flight from each candidate to the engine that checks, for any time */
byte orderTenure[CANDIDATES];

/* Latest arrival time of an order in flight to the engine that does not check */
byte orderDue[CANDIDATES] = NONE;

/* Tenures of the orders that the engines have executed */
byte checkingHighest = 0;
byte checkingHolder[RECORDS] = NONE;
byte nonCheckingHighest = 0;

/* Time may advance at any moment, but not past the latest arrival time of an order in flight */
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

inline StoreAppend(who)
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
  :: atomic { StoreAppend(0) }
  :: atomic { StoreAppend(1) }
  od
}

inline ExecuteOrder(who)
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
  :: atomic { ExecuteOrder(0) }
  :: atomic { ExecuteOrder(1) }
  od
}

proctype Candidate(byte self)
{
  byte lastRead = 0;   /* record in force at the last read */
  byte lastReadAt = 0; /* time of the first read of that record */
  byte leaseEnd = 0;
  byte fencing = 0; /* its fencing number; 0: not the leader */

end:
  do
  /* Read the log */
  :: atomic {
       lastRead != inForce ->
       lastRead = inForce;
       lastReadAt = now;
       if
       :: holder[lastRead] == self ->
#if NO_GUARD == 4
          leaseEnd = now + LEASE;
#else
          leaseEnd = sentAt[lastRead] + LEASE;
#endif
          fencing = tenure[lastRead]
       :: else ->
          leaseEnd = 0;
          fencing = 0
       fi
     }

  /* Acquire or renew */
  :: atomic {
       !appending[self] && logEnd < RECORDS &&
       (lastRead == 0 || holder[lastRead] == self ||
#if NO_GUARD == 3
        now >= lastReadAt + LEASE) ->
#else
        now >= lastReadAt + LEASE + HANDOVER) ->
#endif
       appending[self] = true;
       appendBase[self] = lastRead;
       appendSentAt[self] = now
     }
  :: atomic { appending[self] -> appending[self] = false; appendBase[self] = 0; appendSentAt[self] = 0 }

  /* Send an order to the engine that checks; the lease may have expired */
  :: atomic { fencing > 0 && orderTenure[self] == 0 -> orderTenure[self] = fencing }

  /* Send an order to the engine that does not check: check the lease, then send */
  :: atomic {
       fencing > 0 && orderDue[self] == NONE &&
#if NO_GUARD == 2
       true ->
#else
       now < leaseEnd ->
#endif
       orderDue[self] = now + HANDOVER
     }
  :: atomic {
       orderDue[self] != NONE ->
       assert(fencing >= nonCheckingHighest);
       nonCheckingHighest = fencing;
       orderDue[self] = NONE
     }
  od
}

init {
  atomic { run Candidate(0); run Candidate(1) }
}
