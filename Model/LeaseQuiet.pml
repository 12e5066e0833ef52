/*
 * Leadership never goes to and fro: no host acts, is succeeded by another that acts, and acts again within
 * the span in which whoever obeys the orders forbids it.
 *
 * Hosts read the lease log, append a record on top of the one that they saw last, act, give the lease up
 * and stand again, each at any moment and after any pause. An append may take effect late or never.
 * Nothing but the log and a clock that counts suspension is shared.
 *
 * guard 1: a host that saw another lead keeps quiet for the forbidden span
 * guard 2: it counts each record that it reads, also one that was replaced before it looked
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define HOSTS 2
#define LEASE 1
#define HANDOVER 0
#define FORBIDDEN 2
#define LAST_TICK 3
#define RECORDS 6
#define NONE 255

byte now = 0;

/* The log. Offset 0 stands for "nobody yet"; records that do not count are left out. */
byte logEnd = 1;
byte holder[RECORDS];
byte sentAt[RECORDS];
bool givesUp[RECORDS];
byte inForce = 0;

/* One append under way for each host, taken at any later moment. One that another replaces was lost. */
bool appending[HOSTS];
byte appendBase[HOSTS];
byte appendSentAt[HOSTS];
bool appendGivesUp[HOSTS];

/* Acts, as seen by whoever obeys them */
byte lastActor = NONE;
byte lastActAt[HOSTS] = NONE;

active proctype Time()
{
end:
  do
  :: atomic { now < LAST_TICK -> now++ }
  od
}

inline ClearAppend(who)
{
  appending[who] = false;
  appendBase[who] = 0;
  appendSentAt[who] = 0;
  appendGivesUp[who] = false
}

inline TakeAppend(who)
{
  if
  :: appending[who] && logEnd < RECORDS && appendBase[who] == inForce ->
     holder[logEnd] = who;
     sentAt[logEnd] = appendSentAt[who];
     givesUp[logEnd] = appendGivesUp[who];
     inForce = logEnd;
     logEnd++;
     ClearAppend(who)
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

proctype Host(byte self)
{
  byte seen = 0;        /* record in force when it read last */
  byte seenAt = 0;      /* when it read that record first */
  byte leaseEnd = 0;    /* zero: does not lead */
  byte otherAt = NONE;  /* last sight of another leader; NONE: never */
  byte offset;

end:
  do
  /* Read the log */
  :: atomic {
       seen != inForce ->
#if NO_GUARD == 2
       if
       :: holder[inForce] != self && !givesUp[inForce] -> otherAt = now
       :: else
       fi;
#else
       for (offset : 1 .. RECORDS - 1) {
         if
         :: offset > seen && offset < logEnd && holder[offset] != self -> otherAt = now
         :: else
         fi
       };
       offset = 0;
#endif
       seen = inForce;
       seenAt = now;
       if
       :: holder[seen] == self && !givesUp[seen] ->
          leaseEnd = sentAt[seen] + LEASE
       :: else -> leaseEnd = 0
       fi
     }

  /* Acquire or renew, or give up */
  :: atomic {
       logEnd < RECORDS &&
       (seen == 0 || (holder[seen] == self) ||
        (givesUp[seen] && now >= seenAt + HANDOVER) || now >= seenAt + LEASE + HANDOVER) ->
       appending[self] = true;
       appendBase[self] = seen;
       appendSentAt[self] = now;
       appendGivesUp[self] = false
     }
  :: atomic {
       logEnd < RECORDS && leaseEnd > 0 ->
       leaseEnd = 0;
       appending[self] = true;
       appendBase[self] = seen;
       appendSentAt[self] = now;
       appendGivesUp[self] = true
     }
  /* Act */
  :: atomic {
       leaseEnd > 0 && now < leaseEnd &&
#if NO_GUARD == 1
       true ->
#else
       (otherAt == NONE || now >= otherAt + FORBIDDEN) ->
#endif
       assert(lastActor == NONE || lastActor == self || lastActAt[self] == NONE ||
              now >= lastActAt[self] + FORBIDDEN);
       lastActor = self;
       lastActAt[self] = now
     }
  od
}

init {
  atomic { run Host(0); run Host(1) }
}
