/*
 * The escrow of one prepaid budget: two nodes draw shares of one pool, use
 * them, transfer them to each other and return them. Answers and messages are
 * lost, repeated and delayed, and other nodes may close either node while it
 * still runs. The property: the total use of the nodes never exceeds what was
 * paid.
 *
 * net(i) = use + sent - received. A node uses or sends tokens only while net
 * stays within every allowance that its share row may hold, and sends only
 * while sent stays within the sendable of the row. Closing returns granted -
 * allowance; with the sealed log it returns granted - (use + sendable -
 * received of the row) if that is more.
 */

// mutants: USE_BEYOND_ALLOWANCE PASS_BEYOND_ALLOWANCE RAISE_BEFORE_ACK
// mutants: LOWER_AFTER_ACK LOST_IS_DONE FORGET_PENDING SHARE_UNCHECKED
// mutants: BUDGET_UNCHECKED ADD_TRANSFER SEND_UNRECORDED EXACT_UNSEALED
// mutants: EXACT_WITHOUT_SENDABLE CLOSE_TWICE TOPUP_TWICE

#define PAID      2  /* tokens paid before the start */
#define TOPUP     1  /* tokens of the one top-up */
#define WRITES(i) (2 - (i))  /* transactions that node i may begin */
#define FREE      0  /* slot states */
#define IN_FLIGHT 1
#define APPLIED   2
#define REFUSED   3
#define IDLE      0  /* node states */
#define WAITING   1
#define READING   2
#define FENCED    3  /* has read that its row is closed */
#define OPEN      0  /* row states */
#define TOMBSTONE 1
#define RETURNED  2

/* The budget row. */
byte total = PAID;
byte granted;       /* net of returns */
byte bversion;

/* The top-up row, and the number of the operator's attempts. */
bit topped;
byte attempts;

/* The share rows. */
typedef Row {
  byte version;
  byte state;
  short granted;
  short allowance;
  short sendable;
  short received;
}
Row row[2];

/* A transaction in flight: the versions it expects and the values it writes. */
typedef Slot {
  byte state;
  byte version;
  byte bversion;
  bit budget;       /* also writes the budget row */
  short granted;
  short allowance;
  short sendable;
  short received;
  byte total;       /* new granted of the budget row */
}
Slot slot[4];       /* two per node */

/* The state that each node holds in memory. */
typedef Node {
  byte state;
  byte writes;
  byte current;     /* slot whose answer is awaited */
  byte version;
  short granted;
  short allowance;
  short sendable;
  short received;   /* as in the row */
  short use;
  short sent;
  short recv;
}
Node node[2];
bit sealed[2];

/* pend: the transaction in slot k may still take effect. within: x stays within
 * every allowance that the row of node i may hold. */
#define net(i) (node[i].use + node[i].sent - node[i].recv)
#define A(k) slot[k].allowance
#define busy(k) (slot[k].state == IN_FLIGHT || slot[k].state == APPLIED)
#ifdef MUTANT_FORGET_PENDING
#define pend(i, k) (busy(k) && node[i].state == WAITING)
#else
#define pend(i, k) busy(k)
#endif
#define under(i, k, x) (!pend(i, k) || (x) <= A(k))
#ifdef MUTANT_LOWER_AFTER_ACK
#define within(i, x) ((x) <= node[i].allowance)
#else
#define within(i, x) ((x) <= node[i].allowance && under(i, 2*i, x) && under(i, 2*i+1, x))
#endif

/* Copies the row to the node; clears slots that can no longer take effect. */
inline apply_row(i) {
  node[i].version = row[i].version;
  node[i].granted = row[i].granted;
  node[i].allowance = row[i].allowance;
  node[i].sendable = row[i].sendable;
  node[i].received = row[i].received;
  clear(2*i);
  clear(2*i+1);
}

inline clear(k) {
  slot[k].state = FREE;
  slot[k].version = 0;
  slot[k].bversion = 0;
  slot[k].budget = 0;
  slot[k].granted = 0;
  slot[k].allowance = 0;
  slot[k].sendable = 0;
  slot[k].received = 0;
  slot[k].total = 0;
}

/* Begins a transaction in the free slot k of node i. */
inline begin(ni, nk, wg, wa, ws, wb, wt) {
  slot[nk].state = IN_FLIGHT;
  slot[nk].version = node[ni].version;
  slot[nk].budget = wb;
  if
  :: wb -> slot[nk].bversion = bversion
  :: else
  fi;
  slot[nk].granted = wg;
  slot[nk].allowance = wa;
  slot[nk].sendable = ws;
  slot[nk].received = node[ni].recv;
  slot[nk].total = wt;
  node[ni].current = nk;
  node[ni].state = WAITING;
  node[ni].writes++;
#ifdef MUTANT_RAISE_BEFORE_ACK
  if
  :: wa > node[ni].allowance -> node[ni].allowance = wa
  :: else
  fi;
#endif
}

/* The table executes the transaction in slot k of node i. */
inline effect(i, k) {
  if
#ifdef MUTANT_SHARE_UNCHECKED
  :: (!slot[k].budget || slot[k].bversion == bversion) ->
#else
#ifdef MUTANT_BUDGET_UNCHECKED
  :: slot[k].version == row[i].version ->
#else
  :: slot[k].version == row[i].version && (!slot[k].budget || slot[k].bversion == bversion) ->
#endif
#endif
     row[i].version++;
     row[i].granted = slot[k].granted;
     row[i].allowance = slot[k].allowance;
     row[i].sendable = slot[k].sendable;
     row[i].received = slot[k].received;
     if
     :: slot[k].budget ->
        granted = slot[k].total;
        bversion++
     :: else
     fi;
     slot[k].state = APPLIED
  :: else ->
     clear(k);
     slot[k].state = REFUSED
  fi;
}

proctype Member(byte i) {
  byte k;
  short wg, wa, ws;
  byte wt;
end:
  do
  /* Uses one token, unless sealed: then no begin record is acknowledged. */
  :: atomic { node[i].state != FENCED && !sealed[i] &&
#ifdef MUTANT_USE_BEYOND_ALLOWANCE
     net(i) + 1 <= node[i].granted ->
#else
     within(i, net(i) + 1) ->
#endif
     node[i].use++;
     assert(node[0].use + node[1].use <= PAID + TOPUP * topped) }

  /* Sends one token: the counter is incremented before any message. */
  :: atomic { node[i].state != FENCED &&
#ifndef MUTANT_SEND_UNRECORDED
     node[i].sent + 1 <= node[i].sendable &&
#endif
#ifdef MUTANT_PASS_BEYOND_ALLOWANCE
     net(i) + 1 <= node[i].granted ->
#else
     within(i, net(i) + 1) ->
#endif
     node[i].sent++ }

  /* Receives the peer's counter; earlier messages may be lost, late or
     repeated. */
#ifdef MUTANT_ADD_TRANSFER
  :: atomic { node[1-i].sent > 0 && node[i].recv < 4 ->
     node[i].recv = node[i].recv + node[1-i].sent }
#else
  :: atomic { node[i].recv < node[1-i].sent -> node[i].recv++ }
#endif

  /* Begins a transaction in a free slot. */
  :: atomic { node[i].state == IDLE && node[i].writes < WRITES(i) &&
     (slot[2*i].state == FREE || slot[2*i+1].state == FREE) ->
     k = 2*i + (slot[2*i].state != FREE);
     wg = node[i].granted;
     wa = node[i].allowance;
     ws = node[i].sendable;
     wt = granted;
     if
     :: total - granted >= 1 ->   /* draws one, raises the allowance now or later */
        wg = wg + 1;
        wt = wt + 1;
        if
        :: wa = wa + 1
        :: skip
        fi
     :: total - granted >= 2 ->   /* draws two and prepares to send one */
        wg = wg + 2;
        wt = wt + 2;
        wa = wa + 2;
        ws = ws + 1
     :: wa < wg -> wa = wa + 1   /* raises the allowance */
     :: ws < 2 && net(i) < wa -> ws = ws + 1
     :: granted >= 1 && within(i, net(i) + 1) ->   /* returns one */
        wg = wg - 1;
        wt = wt - 1;
        wa = wa - 1
     :: else   /* records what was received */
     fi;
     begin(i, k, wg, wa, ws, (wt != granted), wt);
     k = 0;
     wg = 0;
     wa = 0;
     ws = 0;
     wt = 0 }

  /* Receives the answer, or times out. */
  :: d_step { node[i].state == WAITING && slot[node[i].current].state == APPLIED ->
     node[i].version = slot[node[i].current].version + 1;
     node[i].granted = slot[node[i].current].granted;
     node[i].allowance = slot[node[i].current].allowance;
     node[i].sendable = slot[node[i].current].sendable;
     node[i].received = slot[node[i].current].received;
     clear(2*i);
     clear(2*i+1);
     node[i].state = IDLE }
  :: d_step { node[i].state == WAITING && slot[node[i].current].state == REFUSED ->
     clear(node[i].current);
     node[i].state = READING }
  :: d_step { node[i].state == WAITING ->
#ifdef MUTANT_LOST_IS_DONE
     node[i].granted = slot[node[i].current].granted;
     node[i].allowance = slot[node[i].current].allowance;
     node[i].sendable = slot[node[i].current].sendable;
     node[i].state = IDLE
#else
     node[i].state = READING
#endif
     }

  /* Rereads its row. */
  :: d_step { node[i].state == READING ->
     if
     :: row[i].state != OPEN -> node[i].state = FENCED
     :: row[i].state == OPEN && row[i].version != node[i].version ->
        apply_row(i);
        node[i].state = IDLE
     :: else ->
        if
        :: slot[2*i].state == REFUSED -> clear(2*i)
        :: else
        fi;
        if
        :: slot[2*i+1].state == REFUSED -> clear(2*i+1)
        :: else
        fi;
        node[i].state = IDLE
     fi }
  od
}

/* The table: executes transactions at any time. */
proctype Table() {
  byte k;
end:
  do
  :: atomic { slot[0].state == IN_FLIGHT || slot[1].state == IN_FLIGHT ||
     slot[2].state == IN_FLIGHT || slot[3].state == IN_FLIGHT ->
     if
     :: slot[0].state == IN_FLIGHT -> k = 0
     :: slot[1].state == IN_FLIGHT -> k = 1
     :: slot[2].state == IN_FLIGHT -> k = 2
     :: slot[3].state == IN_FLIGHT -> k = 3
     fi;
     effect((k / 2), k);
     k = 0 }
  od
}

/* Closes node i: any closer writes the tombstone, then returns the tokens. */
proctype Closer(byte i) {
  short keep;
end:
  do
  :: d_step { !sealed[i] -> sealed[i] = 1 }
  :: d_step { row[i].state == OPEN ->
     row[i].state = TOMBSTONE;
     row[i].version++ }
  :: d_step {
#ifdef MUTANT_CLOSE_TWICE
     row[i].state == TOMBSTONE || row[i].state == RETURNED ->
#else
     row[i].state == TOMBSTONE ->
#endif
     keep = row[i].allowance;
#ifdef MUTANT_EXACT_UNSEALED
     if
     :: 1 ->
#else
     if
     :: sealed[i] ->
#endif
#ifdef MUTANT_EXACT_WITHOUT_SENDABLE
        if
        :: node[i].use - row[i].received < keep ->
           keep = node[i].use - row[i].received
        :: else
        fi
#else
        if
        :: node[i].use + row[i].sendable - row[i].received < keep ->
           keep = node[i].use + row[i].sendable - row[i].received
        :: else
        fi
#endif
     :: else
     fi;
     if
     :: granted >= row[i].granted - keep -> granted = granted - (row[i].granted - keep)
     :: else -> granted = 0
     fi;
     bversion++;
     row[i].state++;
     keep = 0 }
  od
}

/* An operator retries one top-up until it is confirmed. */
proctype Operator() {
end:
  do
  :: d_step { attempts < 2 ->
     attempts++;
     if
#ifdef MUTANT_TOPUP_TWICE
     :: 1 ->
#else
     :: !topped ->
#endif
        topped = 1;
        total = total + TOPUP;
        bversion++
     :: else
     fi }
  od
}

init {
  atomic {
    run Member(0);
    run Member(1);
    run Table();
    run Closer(0);
    run Operator();
  }
}
