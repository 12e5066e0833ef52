/*
 * All readers apply configurations in the same order.
 *
 * Publishers race: each appends a record with the offset that it believes to be in force as its base. A
 * record takes effect only if its base is the offset in force at the record's position in the log. A
 * checkpoint, written by a reader that may lag, contains the offset that was in force after a given record.
 * The log may drop its oldest records at any time, whether or not readers still need them. Readers read at
 * any speed, restart without state, and adopt the state of peers, which may be older than their own.
 *
 * Checked: the offset in force never decreases on a reader between restarts; a reader's offset in force is
 * the one that the complete log gives at the reader's position, so that readers at the same position have
 * the same offset in force; a record that was reported to its publisher as the winner directly follows its
 * base.
 *
 * guard 1: a record takes effect only if its base is the offset in force
 * guard 2: a reader whose next record has been dropped from the log stops and reloads
 * guard 3: a checkpoint is adopted only together with the position that it describes, and reading continues there
 * guard 4: a peer's state is adopted only if it is newer than the reader's own
 * guard 5: a reader without state puts no record in force before it has adopted a checkpoint or a peer's state
 */
#ifndef NO_GUARD
#define NO_GUARD 0
#endif

#define READERS 2
#define RECORDS 6 /* offsets 1..RECORDS; 0 means "nothing published yet" */
#define RESTARTS 1 /* over all readers */
#define CONFIG 1
#define CHECKPOINT 2

byte logStart = 1;
byte logEnd = 1;
byte kind[RECORDS + 1];
byte base[RECORDS + 1]; /* CONFIG: its base. CHECKPOINT: the offset in force */
byte upTo[RECORDS + 1]; /* CHECKPOINT: the last record that its writer had read */

/* The oracle: offset in force after each record, computed from the complete log */
byte expectedInForce[RECORDS + 1];

/* Readers */
bool hasState[READERS];     /* whether the reader has a state */
byte inForce[READERS];
byte position[READERS];  /* last record read */
byte restarts = RESTARTS;

inline Append(aKind, aBase, aUpTo)
{
  kind[logEnd] = aKind;
  base[logEnd] = aBase;
  upTo[logEnd] = aUpTo;
#if NO_GUARD == 1
  expectedInForce[logEnd] = (aKind == CONFIG -> logEnd : expectedInForce[logEnd - 1]);
#else
  expectedInForce[logEnd] =
    (aKind == CONFIG && aBase == expectedInForce[logEnd - 1] -> logEnd : expectedInForce[logEnd - 1]);
#endif
  /* A record that takes effect directly follows its base */
  assert(expectedInForce[logEnd] != logEnd || expectedInForce[logEnd - 1] == aBase);
  logEnd++
}

inline SetState(r, aInForce, aPosition)
{
  assert(!hasState[r] || aInForce >= inForce[r]);
  assert(aInForce == expectedInForce[aPosition]);
  hasState[r] = true;
  inForce[r] = aInForce;
  position[r] = aPosition
}

/* A publisher for each reader and a checkpoint writer. They use the reader's state, which may lag far behind the
   log's end. */
active proctype Writers()
{
end:
  do
  :: atomic { hasState[0] && logEnd <= RECORDS -> Append(CONFIG, inForce[0], 0) }
  :: atomic { hasState[1] && logEnd <= RECORDS -> Append(CONFIG, inForce[1], 0) }
  :: atomic {
       hasState[1] && position[1] > 0 && logEnd <= RECORDS ->
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
  /* Reads the next record, if the log still retains it */
  :: atomic {
       hasState[r] && position[r] + 1 < logEnd &&
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

  /* The next record has been dropped, or the reader has no state: adopts a checkpoint for a position after which
     every record is still retained */
  :: atomic {
       (!hasState[r] || position[r] + 1 < logStart) && logStart < logEnd ->
       select (next : 1 .. RECORDS);
       if
       :: next >= logStart && next < logEnd && kind[next] == CHECKPOINT &&
          (!hasState[r] || upTo[next] > position[r]) ->
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
  /* No state: treats the oldest retained record as the first one */
  :: atomic {
       !hasState[r] && logStart < logEnd && kind[logStart] == CONFIG -> SetState(r, logStart, logStart)
     }
#endif

  /* No state, and the log is complete */
  :: atomic { !hasState[r] && logStart == 1 -> SetState(r, 0, 0) }

  /* Adopts a peer's state */
  :: atomic {
       peer = 1 - r;
       if
#if NO_GUARD == 4
       :: hasState[peer] -> SetState(r, inForce[peer], position[peer])
#else
       :: hasState[peer] && (!hasState[r] || position[peer] > position[r]) ->
          SetState(r, inForce[peer], position[peer])
#endif
       :: else
       fi;
       peer = 0
     }

  /* Restart */
  :: atomic {
       hasState[r] && restarts > 0 ->
       restarts--;
       hasState[r] = false;
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
