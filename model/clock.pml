/*
 * Marks in the table: the owner of a share writes rows with a mark and a time that the
 * table's clock had reached, stays within the marks of all rows that may be in force
 * until FREE has passed since it sent them, and then uses all of its grant. It dies at any
 * time, and its writes may take effect late or lose their answers. The table may come back
 * from a copy. A closer returns the grant less the mark of the row if the process that
 * came after the owner began less than FREE after the row's time, and nothing otherwise.
 * The property: use and what is returned never exceed the grant.
 */

// mutants: FREE_EARLY STAMP_LATE FORGET_PENDING RAISE_BEFORE_ACK PROVE_LATE CLOSE_LIVE
// mutants: NO_ERA NO_MARK BORN_EARLY

#define GRANT 3
#define FREE  2   /* time for which a mark holds */
#define END   5   /* of time */
#define WRITES 2
#define NONE  0   /* states of a write */
#define SENT  1
#define DONE  2

/* The table: its clock, its era, the row and a copy of it. */
byte now;
byte era;
typedef Row {
  byte seq;
  byte mark;
  byte stamp;
  byte era;
}
Row row;
Row copy;
bit copied;
bit closed;

/* The writes of the owner: the one with an answer last, and one that may take effect. */
byte ackedMark;
byte ackedAt;
byte ackedSeq;
byte state;       /* of the write in flight */
byte mark;
byte stamp;
byte stampEra;
byte at;
byte seq;
byte seqEra;      /* the era in which the write is sent */
bit waiting;      /* for the answer; otherwise it is lost */

byte use;
byte known;       /* the time that the table's clock had reached by the newest answer */
byte knownEra;
bit dead;
bit begun;        /* the process after the owner */
byte born;
byte bornEra;

#ifdef MUTANT_FREE_EARLY
#define holds(t) (now - (t) < FREE)
#else
#define holds(t) (now - (t) <= FREE)
#endif
#ifdef MUTANT_FORGET_PENDING
#define pending (state != NONE && waiting)
#else
#define pending (state != NONE)
#endif
#ifdef MUTANT_RAISE_BEFORE_ACK
#define limited(x) (pending -> (!holds(at) || (x) <= mark) : (!holds(ackedAt) || (x) <= ackedMark))
#else
#define limited(x) ((!holds(ackedAt) || (x) <= ackedMark) && (!pending || !holds(at) || (x) <= mark))
#endif

proctype Clock() {
end:
  do
  :: d_step { now < END -> now++ }
  od
}

proctype Owner() {
  byte m;
end:
  do
  :: d_step { !dead && use < GRANT && limited(use + 1) -> use++ }

  /* Writes a row: with a mark of at least its use. */
  :: atomic { !dead && state == NONE && ackedSeq < WRITES ->
     if
     :: m = use
     :: use + 1 <= GRANT -> m = use + 1
     :: use + 2 <= GRANT -> m = use + 2
     fi;
     mark = m;
     m = 0;
     at = now;
     stamp = known;
#ifdef MUTANT_STAMP_LATE
     stamp = now + 1;
#endif
     stampEra = knownEra;
     seq = ackedSeq + 1;
     seqEra = knownEra;
     state = SENT;
     waiting = 1 }

  /* An answer, or none. */
  :: d_step { !dead && state == DONE ->
     ackedMark = mark;
     ackedAt = at;
     ackedSeq = seq;
     known = now;
     knownEra = era;
     state = NONE;
     waiting = 0 }
  :: d_step { !dead && state != NONE && waiting -> waiting = 0 }

  /* Any other answer tells the clock. */
  :: d_step { !dead && known < now -> known = now; knownEra = era }

  :: d_step { !dead -> dead = 1 }
  od
}

proctype Table() {
end:
  do
  :: d_step { state == SENT && !closed && seqEra == era ->
     row.seq = seq;
     row.mark = mark;
     row.stamp = stamp;
     row.era = stampEra;
     state = DONE }
  :: d_step { !copied ->
     copied = 1;
     copy.seq = row.seq;
     copy.mark = row.mark;
     copy.stamp = row.stamp;
     copy.era = row.era }
  :: d_step { copied && era == 0 && !closed ->
     era = 1;
     row.seq = copy.seq;
     row.mark = copy.mark;
     row.stamp = copy.stamp;
     row.era = copy.era }
  od
}

proctype Closer() {
  byte keep;
end:
  do
#ifdef MUTANT_BORN_EARLY
  :: d_step { !begun -> begun = 1; born = now; bornEra = era }
#else
  :: d_step { dead && !begun -> begun = 1; born = now; bornEra = era }
#endif
#ifdef MUTANT_CLOSE_LIVE
  :: d_step { !closed ->
     if
     :: !begun -> born = now; bornEra = era
     :: else
     fi;
#else
  :: d_step { begun && dead && !closed ->
#endif
     keep = GRANT;
     if
#ifdef MUTANT_NO_ERA
     :: born >= row.stamp && born - row.stamp <= FREE && row.seq > 0 -> keep = row.mark
#else
#ifdef MUTANT_PROVE_LATE
     :: born >= row.stamp && born - row.stamp <= FREE + 1 && row.seq > 0 && row.era == bornEra && row.era == era -> keep = row.mark
#else
     :: born >= row.stamp && born - row.stamp <= FREE && row.seq > 0 && row.era == bornEra && row.era == era -> keep = row.mark
#endif
#endif
     :: else
     fi;
#ifdef MUTANT_NO_MARK
     keep = 0;
#endif
     closed = 1;
     born = (begun -> born : 0);
     assert(use <= keep) }
  :: d_step { closed && keep < GRANT -> assert(use <= keep) }
  od
}

init {
  atomic {
    ackedMark = 0;
    run Clock();
    run Owner();
    run Table();
    run Closer();
  }
}
