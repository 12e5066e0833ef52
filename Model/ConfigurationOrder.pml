/*
 * One order of configurations on every reader.
 *
 * Publishers race: each appends a record on top of the offset that it believes to be in force. A
 * record counts only if that base is the offset in force where the record stands in the log. A
 * checkpoint, written by a reader that may lag, says which offset was in force after which record.
 * The log drops its oldest records at any time, needed or not. Readers read at their own pace, restart
 * with nothing, and take the state of peers, which may be older than their own.
 *
 * Checked: the offset in force never goes down on a reader between restarts; whatever a reader holds
 * in force is what the whole log gives at the position up to which it has read, so that readers at
 * one position hold the same; what a publisher was told to have won did follow on its base.
 *
 * guard 1: a record counts only if its base is the offset in force
 * guard 2: a reader that finds the log's start past its own position stops and reloads
 * guard 3: a checkpoint is taken only with the position that it is true for, and read on from there
 * guard 4: a peer's state is taken only if it is newer than one's own
 * guard 5: a reader that starts with nothing takes nothing for in force before a checkpoint or a peer
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define READERS 2
#define RECORDS 6 /* offsets 1..RECORDS; 0 stands for "nothing published yet" */
#define RESTARTS 1 /* over all readers */
#define CONFIG 1
#define CHECKPOINT 2

byte logStart = 1;
byte logEnd = 1;
byte kind[RECORDS + 1];
byte base[RECORDS + 1]; /* CONFIG: its base. CHECKPOINT: the offset in force */
byte upTo[RECORDS + 1]; /* CHECKPOINT: the last record that its writer had read */

/* The oracle: in force after each record, from the whole log */
byte truth[RECORDS + 1];

/* Readers */
bool known[READERS];     /* has a state */
byte inForce[READERS];
byte position[READERS];  /* last record read */
byte restarts = RESTARTS;

inline Append(aKind, aBase, aUpTo)
{
  kind[logEnd] = aKind;
  base[logEnd] = aBase;
  upTo[logEnd] = aUpTo;
#if NO_GUARD == 1
  truth[logEnd] = (aKind == CONFIG -> logEnd : truth[logEnd - 1]);
#else
  truth[logEnd] = (aKind == CONFIG && aBase == truth[logEnd - 1] -> logEnd : truth[logEnd - 1]);
#endif
  /* Whoever won did follow on its base */
  assert(truth[logEnd] != logEnd || truth[logEnd - 1] == aBase);
  logEnd++
}

inline SetState(r, aInForce, aPosition)
{
  assert(!known[r] || aInForce >= inForce[r]);
  assert(aInForce == truth[aPosition]);
  known[r] = true;
  inForce[r] = aInForce;
  position[r] = aPosition
}

/* Both go by what a reader holds, which may be far behind the log's end. */
active proctype Writers()
{
end:
  do
  :: atomic { known[0] && logEnd <= RECORDS -> Append(CONFIG, inForce[0], 0) }
  :: atomic { known[1] && logEnd <= RECORDS -> Append(CONFIG, inForce[1], 0) }
  :: atomic {
       known[1] && position[1] > 0 && logEnd <= RECORDS ->
       Append(CHECKPOINT, inForce[1], position[1])
     }
  od
}

active proctype Retention()
{
end:
  do
  :: atomic { logStart < logEnd -> logStart++ }
  od
}

proctype Reader(byte r)
{
  byte next, peer;
end:
  do
  /* The next record, while the log still keeps it */
  :: atomic {
       known[r] && position[r] + 1 < logEnd &&
#if NO_GUARD == 2
       true ->
       next = (position[r] + 1 < logStart -> logStart : position[r] + 1);
       if
       :: next == logEnd -> next = logEnd - 1
       :: else
       fi;
#else
       position[r] + 1 >= logStart ->
       next = position[r] + 1;
#endif
       if
#if NO_GUARD == 1
       :: kind[next] == CONFIG -> SetState(r, next, next)
#else
       :: kind[next] == CONFIG && base[next] == inForce[r] -> SetState(r, next, next)
#endif
       :: else -> SetState(r, inForce[r], next)
       fi;
       next = 0
     }

  /* Behind the start, or new: a checkpoint from whose position on every record is still kept */
  :: atomic {
       (!known[r] || position[r] + 1 < logStart) && logStart < logEnd ->
       select (next : 1 .. RECORDS);
       if
       :: next >= logStart && next < logEnd && kind[next] == CHECKPOINT &&
          (!known[r] || upTo[next] > position[r]) ->
#if NO_GUARD == 3
          SetState(r, base[next], next)
#else
          if
          :: upTo[next] + 1 >= logStart -> SetState(r, base[next], upTo[next])
          :: else
          fi
#endif
       :: else
       fi;
       next = 0
     }

#if NO_GUARD == 5
  /* New: the oldest record that is kept is taken for the first one */
  :: atomic {
       !known[r] && logStart < logEnd && kind[logStart] == CONFIG -> SetState(r, logStart, logStart)
     }
#endif

  /* New, and the log is whole */
  :: atomic { !known[r] && logStart == 1 -> SetState(r, 0, 0) }

  /* A peer's state */
  :: atomic {
       peer = 1 - r;
       if
#if NO_GUARD == 4
       :: known[peer] -> SetState(r, inForce[peer], position[peer])
#else
       :: known[peer] && (!known[r] || position[peer] > position[r]) ->
          SetState(r, inForce[peer], position[peer])
#endif
       :: else
       fi;
       peer = 0
     }

  /* Restart */
  :: atomic {
       known[r] && restarts > 0 ->
       restarts--;
       known[r] = false;
       inForce[r] = 0;
       position[r] = 0
     }
  od
}

init {
  atomic {
    run Reader(0); run Reader(1)
  }
}
