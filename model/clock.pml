/*
 * Lines in the table: the owner of a share writes rows with a line and a time that the
 * table's clock had reached, and stays below the lines of all rows that may be in force. A
 * line is a mark until FLAT has passed since the row was sent, and then rises by the rate of
 * the row. The owner dies at any time, and its writes may take effect late or lose their
 * answers. The table may come back from a copy. A closer returns the grant less what the line
 * of the row allows at the time at which the process that came after the owner began, or
 * nothing if that time is not known in the row's era. The property: use and what is returned
 * never exceed the grant.
 */

// mutants: RISE_EARLY STAMP_LATE FORGET_PENDING RAISE_BEFORE_ACK CLOSE_EARLY CLOSE_LIVE
// mutants: NO_ERA NO_MARK BORN_EARLY NO_RISE NEWEST_RATE

#define GRANT 4
#define FLAT  1   /* time for which a line is flat */
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
  byte rate;
  byte stamp;
  byte era;
}
Row row;
Row copy;
bit copied;
bit closed;

/* The writes of the owner: the one with an answer last, and one that may take effect. */
byte ackedMark;
byte ackedRate;
byte ackedAt;
byte ackedSeq;
byte state;       /* of the write in flight */
byte mark;
byte rate;
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

#ifdef MUTANT_RISE_EARLY
#define rising(t) (now - (t) >= FLAT -> now - (t) - FLAT + 1 : 0)
#else
#define rising(t) (now - (t) > FLAT -> now - (t) - FLAT : 0)
#endif
#ifdef MUTANT_FORGET_PENDING
#define pending (state != NONE && waiting)
#else
#define pending (state != NONE)
#endif
#ifdef MUTANT_NEWEST_RATE
#define rateOfAcked (pending -> rate : ackedRate)
#else
#define rateOfAcked ackedRate
#endif
#define below(x, m, r, t) ((x) <= (m) + (r) * rising(t))
#ifdef MUTANT_RAISE_BEFORE_ACK
#define limited(x) (pending -> below(x, mark, rate, at) : below(x, ackedMark, ackedRate, ackedAt))
#else
#define limited(x) (below(x, ackedMark, rateOfAcked, ackedAt) && (!pending || below(x, mark, rate, at)))
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
     if
     :: rate = 0
     :: rate = 1
     fi;
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
     ackedRate = rate;
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
     row.rate = rate;
     row.stamp = stamp;
     row.era = stampEra;
     state = DONE }
  :: d_step { !copied ->
     copied = 1;
     copy.seq = row.seq;
     copy.mark = row.mark;
     copy.rate = row.rate;
     copy.stamp = row.stamp;
     copy.era = row.era }
  :: d_step { copied && era == 0 && !closed ->
     era = 1;
     row.seq = copy.seq;
     row.mark = copy.mark;
     row.rate = copy.rate;
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
#ifdef MUTANT_NO_ERA
#define known_end (born >= row.stamp && row.seq > 0)
#else
#define known_end (born >= row.stamp && row.seq > 0 && row.era == bornEra && row.era == era)
#endif
#ifdef MUTANT_CLOSE_EARLY
#define passed (born > row.stamp -> born - row.stamp - 1 : 0)
#else
#define passed (born - row.stamp)
#endif
     if
     :: known_end ->
#ifdef MUTANT_NO_RISE
        keep = row.mark
#else
        keep = row.mark + row.rate * (passed > FLAT -> passed - FLAT : 0)
#endif
     :: else
     fi;
     if
     :: keep > GRANT -> keep = GRANT
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
