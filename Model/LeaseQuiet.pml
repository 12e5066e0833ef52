/*
 * Leadership does not alternate too fast: no host acts, is succeeded by another host that acts, and acts again
 * within the minimum return time that the receiver of the orders enforces.
 *
 * Hosts read the lease log, append a record based on the last one that they read, act, release the lease
 * and apply for it again, each at any moment and after any pause. An append may take effect late or never.
 * Hosts share only the log and a clock that includes suspension.
 *
 * guard 1: a host that has seen another leader does not act for the minimum return time
 * guard 2: it considers each record in the log, also one that was replaced before it read
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define HOSTS 2
#define LEASE 1
#define HANDOVER 0
#define MINIMUM_RETURN_TIME 2
#define LAST_TICK 3
#define RECORDS 6
#define NONE 255

byte now = 0;

/* The log. Offset 0 means "no holder yet"; records that do not take effect are omitted. */
byte logEnd = 1;
byte holder[RECORDS];
byte sentAt[RECORDS];
bool releases[RECORDS];
byte inForce = 0;

/* One append in flight for each host, stored at any later moment. An append that is replaced by another was lost. */
bool appending[HOSTS];
byte appendBase[HOSTS];
byte appendSentAt[HOSTS];
bool appendReleases[HOSTS];

/* Actions as observed by the receiver of the orders */
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
  appendReleases[who] = false
}

inline StoreAppend(who)
{
  if
  :: appending[who] && logEnd < RECORDS && appendBase[who] == inForce ->
     holder[logEnd] = who;
     sentAt[logEnd] = appendSentAt[who];
     releases[logEnd] = appendReleases[who];
     inForce = logEnd;
     logEnd++;
     ClearAppend(who)
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

proctype Host(byte self)
{
  byte lastRead = 0;        /* record in force at the last read */
  byte lastReadAt = 0;      /* time of the first read of that record */
  byte leaseEnd = 0;    /* zero: not the leader */
  byte otherLeaderAt = NONE;  /* time at which it last read a record of another leader; NONE: never */
  byte offset;

end:
  do
  /* Read the log */
  :: atomic {
       lastRead != inForce ->
#if NO_GUARD == 2
       if
       :: holder[inForce] != self && !releases[inForce] -> otherLeaderAt = now
       :: else
       fi;
#else
       for (offset : 1 .. RECORDS - 1) {
         if
         :: offset > lastRead && offset < logEnd && holder[offset] != self -> otherLeaderAt = now
         :: else
         fi
       };
       offset = 0;
#endif
       lastRead = inForce;
       lastReadAt = now;
       if
       :: holder[lastRead] == self && !releases[lastRead] ->
          leaseEnd = sentAt[lastRead] + LEASE
       :: else -> leaseEnd = 0
       fi
     }

  /* Acquire or renew, or release */
  :: atomic {
       logEnd < RECORDS &&
       (lastRead == 0 || (holder[lastRead] == self) ||
        (releases[lastRead] && now >= lastReadAt + HANDOVER) || now >= lastReadAt + LEASE + HANDOVER) ->
       appending[self] = true;
       appendBase[self] = lastRead;
       appendSentAt[self] = now;
       appendReleases[self] = false
     }
  :: atomic {
       logEnd < RECORDS && leaseEnd > 0 ->
       leaseEnd = 0;
       appending[self] = true;
       appendBase[self] = lastRead;
       appendSentAt[self] = now;
       appendReleases[self] = true
     }
  /* Act */
  :: atomic {
       leaseEnd > 0 && now < leaseEnd &&
#if NO_GUARD == 1
       true ->
#else
       (otherLeaderAt == NONE || now >= otherLeaderAt + MINIMUM_RETURN_TIME) ->
#endif
       assert(lastActor == NONE || lastActor == self || lastActAt[self] == NONE ||
              now >= lastActAt[self] + MINIMUM_RETURN_TIME);
       lastActor = self;
       lastActAt[self] = now
     }
  od
}

init {
  atomic { run Host(0); run Host(1) }
}
